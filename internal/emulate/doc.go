// Package emulate plays load against the decisions of the data plane in simulated
// time: services that call each other while they run, callers that come back after
// a refusal, and troubles.
//
// Placement, admission and the journey of a request are the product's own; the
// backend servers, the network and the callers are modelled. So a policy can be
// compared with the one before it in seconds, and a load that went badly can be
// replayed by a test. It is a tool for tests and measurements, and no part of the
// daemon.
package emulate
