package sidecar

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestEvents logs outcomes of requests at once, a number of lines with a message and an outcome
// for each line of the input, and prints how many of them the log has. An outcome that is
// unknown must not be missing because of refusals in an overload.
func TestEvents(t *testing.T) {
	outcomes := map[string]caller.Outcome{"ran": caller.OutcomeRan, "not-run": caller.OutcomeNotRun, "unknown": caller.OutcomeUnknown}
	otherwise := map[string]logs.Class{"answered": logs.Refusal, "placed": logs.Attempt}
	datadriven.RunTest(t, "testdata/events", func(t *testing.T, d *datadriven.TestData) string {
		var result strings.Builder
		synctest.Test(t, func(*testing.T) {
			var text bytes.Buffer
			out := logs.NewWriter(&text)
			e := newEvents(out, "sidecar-1", "muc")
			for line := range strings.Lines(d.Input) {
				var n int
				var message, outcome string
				if _, err := fmt.Sscan(line, &n, &message, &outcome); err != nil {
					d.Fatalf(t, "%v", err)
				}
				for range n {
					e.request(classOf(outcomes[outcome], otherwise[message]), message, "4e84", "outcome", outcome)
				}
				synctest.Wait()
			}
			out.Close(time.Second)
			for line := range strings.Lines(d.Input) {
				var n int
				var message, outcome string
				_, _ = fmt.Sscan(line, &n, &message, &outcome)
				logged := 0
				for line := range strings.Lines(text.String()) {
					if strings.Contains(line, `"`+message+`"`) && strings.Contains(line, `"`+outcome+`"`) {
						logged++
					}
				}
				fmt.Fprintf(&result, "%s %s: %d\n", message, outcome, logged)
			}
		})
		return result.String()
	})
}
