package callerhttp

import (
	"net/http"

	"github.com/lycheehead/lycheehead/internal/daemon"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// status returns the HTTP status for an answer without one of a backend
// server.
func status(a *daemon.Answer) int {
	switch a.Reason() {
	case caller.BadKey:
		return http.StatusUnauthorized
	case caller.NoRoute:
		return http.StatusNotFound
	case caller.OverLimit:
		return http.StatusTooManyRequests
	case caller.Deadline:
		return http.StatusGatewayTimeout
	case caller.Duplicate:
		return http.StatusConflict
	case caller.NeedsKey:
		return http.StatusPreconditionRequired
	case caller.BadRequest:
		return http.StatusBadRequest
	case caller.Depth:
		return http.StatusLoopDetected
	case caller.Quarantined:
		return http.StatusForbidden
	}
	if a.Outcome() == caller.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
