package callerhttp

import (
	"net/http"

	"github.com/lycheehead/lycheehead/internal/daemon"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// refusalStatus returns the HTTP status for a response that does not come from a backend
// server.
func refusalStatus(resp *daemon.Response) int {
	switch resp.Reason() {
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
	if resp.Outcome() == caller.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
