package sidecar

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// TestMissingBounds guards against a daemon that divides by a window that the settings do
// not state, or that refuses customers or slows cold backend servers for lack of a bound.
func TestMissingBounds(t *testing.T) {
	now := time.Now()
	b := newResendBudget(&schema.Bounds{})
	b.RecordRequest(now, "s", false)
	if b.AllowResend(now, "s", true, 1) {
		t.Error("a resend without a bound")
	}
	limited := schema.Bounds_builder{RetryRatio: proto.Float64(10), RetryWindow: durationpb.New(time.Second)}.Build()
	b = newResendBudget(limited)
	b.RecordRequest(now, "s", false)
	if !b.AllowResend(now, "s", true, 1) {
		t.Error("no resend within the bound")
	}
	l := newColdLimiter(&schema.Bounds{})
	l.SetCold(now, now.Add(time.Minute), 1)
	for range 1000 {
		if wait, ok := l.Take(now); !ok {
			t.Fatalf("a cold backend server without a bound waits for %v", wait)
		}
	}
	r := &rateLimiter{unlimited: true}
	if d := r.allow(context.Background(), "customer"); d.reason != "" {
		t.Errorf("a customer without a quota is refused: %s", d.reason)
	}
	g := r.handleTokenRequest(now, schema.TokenRequest_builder{Customer: proto.String("customer"), Tokens: proto.Uint32(3)}.Build())
	if g.GetTokens() != 3 || g.GetValidity() <= 0 {
		t.Errorf("a daemon with a quota gets %d tokens", g.GetTokens())
	}
}
