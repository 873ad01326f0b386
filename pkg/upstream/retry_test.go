package upstream_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// TestRetryState records attempts and prints whether another one may follow each. A line is an
// outcome and a reason, with the words delivered and body-sent where they hold.
func TestRetryState(t *testing.T) {
	outcomes := map[string]caller.Outcome{
		"ran": caller.OutcomeRan, "not-run": caller.OutcomeNotRun, "unknown": caller.OutcomeUnknown,
	}
	begin := time.Unix(1_700_000_000, 0)
	datadriven.RunTest(t, "testdata/retry", func(_ *testing.T, d *datadriven.TestData) string {
		s := upstream.NewRetryState(3, d.HasArg("once"), false, !d.HasArg("streamed"))
		var out strings.Builder
		for n, line := range strings.Split(d.Input, "\n") {
			f := strings.Fields(line)
			s.Record(fmt.Sprintf("i%d", n), upstream.NewAttempt(outcomes[f[0]], caller.Reason(f[1]),
				strings.Contains(line, "delivered"), false, 0))
			if strings.Contains(line, "body-sent") {
				s.RecordBodySent()
			}
			allowed, resend := s.NextAttempt(begin, begin.Add(time.Second))
			fmt.Fprintf(&out, "%s: another %t, resend %t\n", line, allowed, resend)
		}
		return out.String()
	})
}
