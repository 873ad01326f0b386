package sidecar

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// TestForgedCall guards against callers who give their requests ids that look like those of calls:
// without a valid key such a request must not be admitted, and with one, or from another machine, it
// must not get ahead of others. Backend servers never see an API key, so that their calls have none,
// and they run on the machine of the daemon.
func TestForgedCall(t *testing.T) {
	build := func(customers ...operator.Customer) *operator.Config {
		b := operator.NewBuilder(1)
		b.AddService(operator.NewService("documents", "/health", 0))
		b.AddRoute(operator.NewRoute("read", "example.com", "/read/", operator.Idempotent, operator.NewTarget("documents", 1)).WithPriority(2))
		b.AddRoute(operator.NewRoute("open", "example.com", "/open/", operator.Idempotent, operator.NewTarget("documents", 1)).WithAnonymousAccess(true))
		for _, c := range customers {
			b.AddCustomer(c)
		}
		cfg, err := b.Build()
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	keyless, keyed := build(), build(operator.NewCustomer("a", []operator.KeyDigest{operator.DigestKey("k")}, 3, 0, 0))
	in := &ingress{
		calls: newRunningRequests(dottedIDs{}), shutdown: &shutdown{}, metrics: newMetrics(),
		machine: newMachine(netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("2001:db8::1")),
		sender:  &sender{shortage: upstream.NewShortage(), balancer: upstream.NewBalancer(upstream.LatencyCost{}, "10.0.0.1", "muc")},
	}
	now := time.Now()
	in.calls.begin(now, &request{id: "x", route: "read", priority: caller.NewPriority(false, 0, 0), deadline: now.Add(time.Second)})
	const here, elsewhere = "10.0.0.1:40000", "10.0.0.2:40000"
	for _, c := range []struct {
		cfg             *operator.Config
		from, path, key string
		refusal         caller.Reason
		// nested is whether the request goes before new work of its rank, and byID whether its id made
		// it a call of the running request. Where there are customers, any without a key is nested.
		nested, byID bool
	}{
		{keyed, here, "/read/", "", caller.ReasonInvalidKey, false, false},
		{keyed, here, "/read/", "other", caller.ReasonInvalidKey, false, false},
		{keyed, here, "/read/", "k", caller.ReasonNone, false, false},
		{keyed, here, "/open/", "k", caller.ReasonNone, false, false},
		{keyed, here, "/open/", "other", caller.ReasonInvalidKey, false, false},
		{keyed, here, "/open/", "", caller.ReasonNone, true, true},
		{keyed, elsewhere, "/open/", "", caller.ReasonNone, true, false},
		{keyless, here, "/read/", "", caller.ReasonNone, true, true},
		{keyless, "127.0.0.1:40000", "/read/", "", caller.ReasonNone, true, true},
		{keyless, "[::1]:40000", "/read/", "", caller.ReasonNone, true, true},
		{keyless, "[::ffff:10.0.0.1]:40000", "/read/", "", caller.ReasonNone, true, true},
		{keyless, "[2001:db8::1]:40000", "/read/", "", caller.ReasonNone, true, true},
		{keyless, elsewhere, "/read/", "", caller.ReasonNone, false, false},
		{keyless, "[2001:db8::2]:40000", "/read/", "", caller.ReasonNone, false, false},
		{keyless, "", "/read/", "", caller.ReasonNone, false, false},
	} {
		r := httptest.NewRequest(http.MethodGet, c.path, nil)
		r.RemoteAddr = c.from
		var credential caller.Credential[string]
		if c.key != "" {
			credential = caller.NewCredential(c.key)
		}
		d := in.admit(now, c.cfg, r, NewRequestMetadata("x.1", 0, credential))
		nested, byID := d.request.priority.Nested(), d.request.parent != ""
		if d.refusal != c.refusal || c.refusal == caller.ReasonNone && (nested != c.nested || byID != c.byID) {
			t.Errorf("%s from %q with key %q: refusal %q, nested %t, by id %t", c.path, c.from, c.key, d.refusal, nested, byID)
		}
	}
}

// TestForgedCallGains states what a request from another machine would gain by an id that looks like
// that of a call, and must not: the rank of a more urgent request, admission while a part of the
// requests of its kind is refused, and a say in whether others of the kind of its parent are refused.
func TestForgedCallGains(t *testing.T) {
	b := operator.NewBuilder(1)
	b.AddService(operator.NewService("documents", "/health", 0))
	b.AddRoute(operator.NewRoute("read", "example.com", "/", operator.Idempotent, operator.NewTarget("documents", 1)).WithPriority(2))
	cfg, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	in := &ingress{
		calls: newRunningRequests(dottedIDs{}), shutdown: &shutdown{}, metrics: newMetrics(), machine: newMachine(netip.MustParseAddr("10.0.0.1")),
		sender: &sender{shortage: upstream.NewShortage(), balancer: upstream.NewBalancer(upstream.LatencyCost{}, "10.0.0.1", "muc")},
	}
	now := time.Now()
	parent := &request{id: "x", route: "pay", priority: caller.NewPriority(false, 0, 0), deadline: now.Add(time.Second)}
	in.calls.begin(now, parent)
	kind := upstream.NewKind("read", caller.NewPriority(false, 0, 2))
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		in.sender.shortage.Record(now, kind, upstream.NewCallReport(100, 100))
	}
	refused := 0
	for range 100 {
		r := httptest.NewRequest(http.MethodGet, "/1", nil)
		r.RemoteAddr = "10.0.0.2:40000"
		d := in.admit(now, cfg, r, NewRequestMetadata("x.1", 0, caller.Credential[string]{}))
		if d.forCalls {
			refused++
		}
		if _, _, rank := d.request.priority.Components(); d.refusal == caller.ReasonNone && rank != 2 {
			t.Fatalf("rank %d", rank)
		}
		in.calls.recordCall(now, d.request, refusedResponse(caller.ReasonOverload, 0))
	}
	if refused < 80 {
		t.Errorf("%d of 100 refused while a tenth is admitted", refused)
	}
	if got := in.calls.tally.Report(now, parent.kind()); got != upstream.NewCallReport(0, 0) {
		t.Errorf("reported for the kind of the parent: %+v", got)
	}
}
