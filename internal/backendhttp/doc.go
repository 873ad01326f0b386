// Package backendhttp carries requests to the daemon's own backend server over
// HTTP/1.1.
//
// It tells apart what the caller must be told: a request of which nothing was
// written has not run; one that was written and not answered may have run. The
// client never sends a request twice by itself. It also tells when the backend
// server's connections break, which is the first sign of a restart.
package backendhttp
