package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestStartupRetryAfter guards against callers that a starting daemon tells a time by which it is not
// ready, or after which they no longer wait.
func TestStartupRetryAfter(t *testing.T) {
	begin := time.Now()
	in := &ingress{fleetState: &fleetState{startedAt: begin}, shutdown: &shutdown{}}
	for _, c := range []struct{ after, left, least, most time.Duration }{
		{0, 0, startupTime, 2 * startupTime},
		{startupTime / 4, 0, startupTime * 3 / 4, startupTime * 7 / 4},
		{10 * startupTime, 0, startupTime * 5 / 2, 500 * time.Millisecond},
		{10 * startupTime, 600 * time.Millisecond, 126 * time.Millisecond, 180 * time.Millisecond},
	} {
		for range 100 {
			d := in.admit(begin.Add(c.after), nil, httptest.NewRequest(http.MethodGet, "/", nil), NewRequestMetadata("x", c.left, caller.Credential[string]{}))
			if d.refusal != caller.ReasonStarting || d.retryAfter < c.least || d.retryAfter > c.most {
				t.Fatalf("%s after the start with %s left: refusal %q, Retry-After %s", c.after, c.left, d.refusal, d.retryAfter)
			}
		}
	}
}
