package callerhttp

import (
	"net/http"

	"github.com/lycheehead/lycheehead/internal/daemon"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// refusalStatus returns the HTTP status for an answer that does not come from a backend
// server.
func refusalStatus(a *daemon.Response) int {
	switch a.Reason() {
	case caller.ReasonInvalidKey:
		return http.StatusUnauthorized
	case caller.ReasonNoRoute:
		return http.StatusNotFound
	case caller.ReasonRateLimited:
		return http.StatusTooManyRequests
	case caller.ReasonDeadlineExceeded:
		return http.StatusGatewayTimeout
	case caller.ReasonDuplicate:
		return http.StatusConflict
	case caller.ReasonNoIdempotencyKey:
		return http.StatusPreconditionRequired
	case caller.ReasonBadRequest:
		return http.StatusBadRequest
	case caller.ReasonDepthExceeded:
		return http.StatusLoopDetected
	case caller.ReasonQuarantined:
		return http.StatusForbidden
	}
	if a.Outcome() == caller.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
