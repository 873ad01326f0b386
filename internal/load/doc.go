// Package load generates load on daemons as callers do and verifies the responses.
//
// The load is open-loop: requests are sent at random instants that follow from a fixed
// seed, whether or not earlier requests have been answered. Afterwards the tool queries
// the stand-in backend servers for the requests that they ran and compares these with
// the responses, so that the verification does not depend on what the daemons report.
package load
