// Package adminhttp serves the read-only endpoints /status, /metrics and /ready for
// operators, and fetches the status of a daemon.
package adminhttp
