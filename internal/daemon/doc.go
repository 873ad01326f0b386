// Package daemon implements the process that runs beside a backend server, one
// per slot.
//
// It consists of five parts that interact only through typed calls. The feed
// receives versions from the platform and from peers. The ingress handles the
// requests of callers and of the daemon's own backend server and reports their
// outcomes. The dispatcher selects backend servers and sends requests to them. The
// egress admits requests to the daemon's own backend server. The ledger borrows
// limit tokens and claims idempotency keys.
//
// Decisions are made by the packages under pkg, on a pool of workers over shared
// tables; this package does the input, output and waiting. Each event reads the
// clock once and passes the time to the decisions.
package daemon
