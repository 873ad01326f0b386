// Package callerhttp serves callers over HTTP.
//
// It takes requests out of HTTP for the daemon and puts its answers back. Here
// the caller's key ends: it is digested, and every header field that holds it
// is dropped. Each answer says in Lycheehead-Outcome whether the request ran.
package callerhttp
