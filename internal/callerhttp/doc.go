// Package callerhttp is the HTTP front end for callers.
//
// It converts HTTP requests to calls of the daemon, and the daemon's responses to HTTP. The
// caller's API key goes no further than this package: only its digest is passed on,
// and every header field that contains the key is removed. Each response reports in
// Lycheehead-Outcome whether the request was executed.
package callerhttp
