// Package daemon implements the process that runs beside a backend server, one
// per slot.
//
// It consists of five components that interact only through Go method calls. The feed
// receives versions of the configuration from the platform and, with its replicator,
// exchanges them with peers. The ingress handles the requests of callers and of the
// daemon's own backend server and reports their outcomes. The dispatcher selects
// backend servers and sends requests to them. The egress admits requests to the
// daemon's own backend server. The ledger borrows limit tokens and claims idempotency
// keys.
//
// A slot is the permanent, named place of one such process and its backend server. The
// process is called the daemon of the slot, and the daemons of other slots are its peers.
// The slots of a backend server in the configuration are something else: the number of
// requests that it runs at once, see platform.Backend.
//
// A caller's request is a Call at the front end and work inside the daemon. Its result is a
// reply between egress and dispatcher and a Response for the front end. Peers exchange a
// schema.Request and a schema.Answer, of which a call and its reply are one kind.
//
// Decisions are made by the packages under pkg, on a pool of workers over shared
// tables; this package does the input, output and waiting, reads the clock, and passes
// the time to the decisions.
package daemon
