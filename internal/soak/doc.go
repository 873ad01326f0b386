// Package soak runs the sidecar daemon as separate processes on loopback addresses, with
// stand-ins for the platform's store, the backend servers and the callers, and disrupts them
// from outside: by signals, settings files, configuration versions, log readers, restarts of
// backend servers and a TCP proxy between the daemons.
//
// A seed determines the schedule of disruptions, the requests of each caller and the pauses
// between them. While the load runs, each finished request is checked against what its caller
// and the backend servers have seen of it (see the rules in rules.go), and each daemon against
// its planned stops. The schedule of a seed is always the same; how requests and disruptions
// interleave depends on the machine.
package soak
