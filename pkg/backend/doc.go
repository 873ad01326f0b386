// Package backend implements admission control for the daemon's own backend
// server.
//
// A Gate stands in front of one backend server. It limits the number of
// concurrent requests to the size of its window, queues a bounded number of
// further requests, shares the backend server between customers by weight, and
// rejects the rest before they run. Because the gate runs next to the backend
// server, its limit holds even if remote daemons have an outdated view of the
// backend server's load.
//
// The window is a type parameter. AdaptiveWindow starts small, grows on answers
// while it is full, shrinks when the backend server sheds load, and returns to
// its initial size when a connection to the backend server breaks, which is the
// first sign of a restart. UnboundedWindow imposes no limit; it serves as the
// baseline in comparisons.
//
// A Quarantine rejects requests that were running whenever the backend server
// crashed.
package backend
