// Package emulate is a discrete-event simulation of the data plane under load: services
// that call each other, callers that retry after a refusal, and faults.
//
// Placement, admission and the retries of a request use the production code. The
// backend servers, the network and the callers are modelled. A policy can thus be
// compared with its predecessor in seconds, and a load that was handled badly can be
// reproduced by a test. The package is a tool for tests and measurements, and no part of
// the daemon.
package emulate
