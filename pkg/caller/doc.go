// Package caller defines the outcomes that are reported to callers, and the
// rules by which retries are limited and requests with an idempotency key run at most
// once. It is used by the daemons that accept callers' requests, one beside each
// backend server.
//
// Every response has an Outcome: the request ran, it did not run, or that is
// unknown. A request that must run at most once and has an idempotency key is
// claimed, before it is sent to any backend server, at three holders: daemons in
// different data centres that keep the record of the key. The claim needs the votes
// of two of them. No two daemons can therefore win the same key, whichever daemons
// crash or are partitioned. Holders keep their records in memory. A holder that has
// just started abstains on keys whose records it may have lost, until it has run for
// the policy's distrust period. A key that is a UUIDv7 has a creation time, and a
// holder votes at once on keys created after its own start.
//
// Holders are a function of the configuration alone. When a new version changes the
// set of backend servers, a claim needs a majority of the old holders and of the new
// ones until the old holders' records have expired.
//
// Two budgets limit retries; a program uses one of them. A RetryBudget is a token
// bucket for each service at each daemon. A ResendBudget bounds the fleet's total in
// any window of a given length and applies only to requests that may have reached a
// backend server.
//
// Budgets, ClaimStore and HolderHistory are safe for concurrent use; a Tally is not.
// The package reads no clock and sends no messages: callers pass in the current time
// and carry claims and votes between daemons.
package caller
