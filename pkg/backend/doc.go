// Package backend implements admission control for one backend server. It is used by
// the daemon that runs beside that backend server and receives all requests to it.
//
// A Gate or a Queue controls admission to one backend server. Both limit the
// number of concurrent requests to the size of a window, queue further requests,
// and reject the rest before they run. They differ in which requests go first and
// which are rejected: a Gate queues a bounded number of requests and shares the
// backend server between customers by weight; a Queue orders requests by priority
// and rejects those that are not expected to be answered in time. Because admission
// is controlled next to the backend server, the limit holds even if remote daemons
// have an outdated view of the backend server's load.
//
// The window is a type parameter. AdaptiveWindow starts small, grows on answers
// while it is full, shrinks when the backend server sheds load, and returns to
// its initial size when a connection to the backend server breaks, which is the
// first sign of a restart. SlotWindow starts at the number of slots, that is, the
// number of requests that the backend server runs concurrently, and shrinks while
// the backend server sheds load. UnboundedWindow imposes no limit; it serves as the
// baseline in comparisons.
//
// A RateLimiter limits the rate of requests while a backend server is cold, that
// is, for a time after its start in which it handles only a reduced rate. A
// Quarantine rejects requests that were running whenever the backend server
// crashed.
//
// Gate, Queue and Quarantine are safe for concurrent use. Windows and RateLimiters
// are not: the Gate or Queue that has one guards it with its own lock. The package
// reads no clock: callers pass in the current time.
package backend
