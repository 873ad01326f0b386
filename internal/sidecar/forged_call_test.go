package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// TestForgedCall guards against callers who give their requests ids that look like those of calls:
// without a valid key such a request must not be admitted, and with one it must not get ahead of
// others. Backend servers never see an API key, so that their calls have none.
func TestForgedCall(t *testing.T) {
	b := operator.NewBuilder(1)
	b.AddService(operator.NewService("documents", "/health", 0))
	b.AddRoute(operator.NewRoute("read", "example.com", "/read/", operator.Idempotent, operator.NewTarget("documents", 1)))
	b.AddRoute(operator.NewRoute("open", "example.com", "/open/", operator.Idempotent, operator.NewTarget("documents", 1)).WithAnonymousAccess(true))
	b.AddCustomer(operator.NewCustomer("a", []operator.KeyDigest{operator.DigestKey("k")}, 3, 0, 0))
	cfg, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	in := &ingress{
		calls: newRunningRequests(dottedIDs{}), shutdown: &shutdown{},
		sender: &sender{shortage: upstream.NewShortage(), balancer: upstream.NewBalancer(upstream.LatencyCost{}, "10.0.0.1", "muc")},
	}
	now := time.Now()
	in.calls.begin(now, &request{id: "x", route: "read", priority: caller.NewPriority(false, 0, 0), deadline: now.Add(time.Second)})
	for _, c := range []struct {
		path, key string
		refusal   caller.Reason
		nested    bool
	}{
		{"/read/", "", caller.ReasonInvalidKey, false},
		{"/read/", "other", caller.ReasonInvalidKey, false},
		{"/read/", "k", caller.ReasonNone, false},
		{"/open/", "k", caller.ReasonNone, false},
		{"/open/", "", caller.ReasonNone, true},
	} {
		d := in.admit(now, cfg, httptest.NewRequest(http.MethodGet, c.path, nil), NewRequestMetadata("x.1", 0, c.key))
		if d.refusal != c.refusal || c.refusal == caller.ReasonNone && d.request.priority.Nested() != c.nested {
			t.Errorf("%s with key %q: refusal %q, nested %t", c.path, c.key, d.refusal, d.request.priority.Nested())
		}
	}
}
