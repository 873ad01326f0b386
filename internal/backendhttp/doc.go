// Package backendhttp sends requests to the daemon's own backend server over HTTP/1.1.
//
// Its errors distinguish two cases that callers must be able to tell apart: a request
// of which nothing was written was not executed, while a request that was written but
// got no response may have been executed. The client never sends a request twice. It
// also reports when the backend server's connections break, which is the first sign of
// a restart.
package backendhttp
