package sidecar

import (
	"io"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// TestResentCallWithoutBudget guards against requests that are refused although the service that
// they call has capacity: a call of a resent run that the resend budget does not allow must not be
// reported as one for which there was no capacity.
func TestResentCallWithoutBudget(t *testing.T) {
	s := &sender{
		fleetState:   &fleetState{events: newEvents(logs.NewWriter(io.Discard), "m1", "muc")},
		resendBudget: caller.NewResendBudget(0.2, 0, 10*time.Second), fleetShare: func() float64 { return 1 },
		metrics: newMetrics(),
	}
	calls := newRunningRequests(dottedIDs{})
	parent := &request{id: "a", route: "read", priority: caller.NewPriority(false, 0, 0), deadline: time.Now().Add(time.Second), resent: true}
	calls.begin(time.Now(), parent)
	running, ok := calls.parent("a.1")
	if !ok {
		t.Fatal("call not recognised")
	}
	req := &request{id: "a.1", service: "back", deadline: time.Now().Add(time.Second)}
	req.makeCall(time.Now(), running, 0)
	resp := s.send(t.Context(), req, 2)
	if resp.outcome != caller.OutcomeNotRun || resp.retryAfter <= 0 {
		t.Fatalf("response: %+v", resp.result)
	}
	calls.recordCall(time.Now(), req, resp)
	if got := calls.tally.Report(time.Now(), parent.kind()); got != upstream.NewCallReport(1, 0) {
		t.Errorf("report: %+v", got)
	}
}
