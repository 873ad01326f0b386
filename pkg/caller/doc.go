// Package caller defines the outcomes that are reported to callers, and the
// rules by which retries are limited and idempotent requests run at most once.
//
// Every response has an Outcome: the request ran, it did not run, or that is
// unknown. A request that must run at most once and has an idempotency key is
// claimed, before it is sent to any backend server, at three holders in
// different data centres, and needs the votes of two of them. No two daemons can
// therefore win the same key, whichever daemons crash or are partitioned.
// Holders keep their records in memory. A holder that has just started abstains
// on keys whose records it may have lost, until it has run for the policy's
// distrust period. A key that is a UUIDv7 has a creation time, and a holder votes
// at once on keys created after its own start.
//
// Holders are a function of the configuration bundle alone. When a bundle
// changes the slots, a claim needs a majority of the old holders and of the new
// ones until the old holders' records have expired.
package caller
