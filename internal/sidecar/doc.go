// Package sidecar implements the daemon that runs beside one backend server, in a fleet
// that is configured through an operators' store.
//
// Callers on the daemon's machine, and the backend server itself, send their requests
// to the daemon (ingress). It picks an instance of the route's service and forwards the
// request to the daemon of that instance (inbound). Only that daemon can connect to the
// instance (admission). All requests to a backend server therefore pass through one
// process, which decides on its own about the queue, the rate during a warm-up,
// draining, and whether a request has certainly not run.
//
// Each daemon holds a replica of the published configuration and the published
// instances (fleetState). A few daemons of each data centre read the store
// (storeWatcher), and daemons replicate its content to each other (gossiper). Daemons
// never write to the store. Customers' limits are enforced jointly (rateLimiter), and
// failureDetector tracks which daemons do not answer.
//
// The platform's formats are behind the interfaces Protocol, Source and Decoder: this
// package depends neither on the names of the platform's header fields nor on the formats of
// the store's items.
package sidecar
