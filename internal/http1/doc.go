// Package http1 is an HTTP/1.1 client that reports whether a request may have been
// executed. It also contains the HTTP server that the daemon listens with.
//
// The client of net/http may send a request again if a reused connection fails, and
// does not report whether anything was sent. Both matter for requests that must be
// executed at most once. Here, a request is sent at most once, the error states
// whether the server may have read any of it, responses to other requests are
// skipped, and a connection is reused only after a complete exchange that left
// nothing unread or unsent on it. Parsing of responses and encoding of header
// fields are left to net/http, behind package wirecheck.
package http1
