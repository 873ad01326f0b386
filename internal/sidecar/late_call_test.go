package sidecar

import (
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// TestLateCalls guards against requests that are refused because others of their kind have run late:
// a call for which its parent leaves less time than its own objective fails whatever capacity the
// called service has, and must not be reported as one that found none.
func TestLateCalls(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		want upstream.CallReport
	}{
		{150 * time.Millisecond, upstream.NewCallReport(0, 0)},
		{250 * time.Millisecond, upstream.NewCallReport(1, 1)},
	} {
		calls := newRunningRequests(dottedIDs{})
		now := time.Now()
		parent := &request{id: "a", route: "read", priority: caller.NewPriority(false, 0, 0), deadline: now.Add(c.left)}
		calls.begin(now, parent)
		running, _ := calls.parent("a.1")
		req := &request{id: "a.1", objective: now.Add(200 * time.Millisecond), deadline: now.Add(600 * time.Millisecond)}
		req.makeCall(now, running, 0)
		calls.recordCall(now, req, refusedResponse(caller.ReasonDeadlineExceeded, 0))
		if got := calls.tally.Report(now, parent.kind()); got != c.want {
			t.Errorf("%s left: %+v", c.left, got)
		}
	}
}
