// Package adminhttp serves operators over HTTP: /status, /metrics and /ready.
// All are read only.
package adminhttp
