// Package peer keeps a daemon's membership view of the other daemons and makes
// choices among them without leader election. A daemon runs beside each backend
// server.
//
// The view merges the platform's instance list, which lags and may be stale,
// with what daemons report about themselves, which is newer. Entries carry the
// list's revision and the process's incarnation, so that merging in any order
// gives the same view. Choices such as which daemons read from the platform for a
// data centre are made by rendezvous hashing: daemons with the same view choose
// alike, and a difference between views costs only additional messages.
//
// Members is safe for concurrent use. The package reads no clock and sends no
// messages: callers pass in the current time and exchange entries with other daemons.
package peer
