// Package backendhttp sends requests to the daemon's own backend server over HTTP/1.1.
//
// Its errors distinguish a request of which nothing was written, and which was therefore
// not executed, from one that was written but got no response, and may have been executed.
// The client never sends a request twice. It also reports when the backend server's
// connections break, which is the first sign of a restart.
//
// The package is used by internal/daemon. The daemon of internal/sidecar uses the client
// of internal/http1 instead.
package backendhttp
