package caller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestShutdown guards against requests that a process accepts during a planned stop, or still starts
// then, and cuts off at its end. Each line of a script is the time since the stop began, the time until
// the deadline of a request, and its mean run time.
func TestShutdown(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	datadriven.RunTest(t, "testdata/shutdown", func(t *testing.T, d *datadriven.TestData) string {
		var endText, noticeText string
		d.ScanArgs(t, "end", &endText)
		d.ScanArgs(t, "notice", &noticeText)
		s := caller.NewShutdown(begin, begin.Add(duration(t, endText)), duration(t, noticeText))
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			now := begin.Add(duration(t, f[0]))
			decide, verdict := s.Accepts, "accepted"
			if d.Cmd == "start" {
				decide, verdict = s.MayStart, "started"
			}
			if !decide(now, now.Add(duration(t, f[1])), duration(t, f[2])) {
				verdict = "refused"
			}
			fmt.Fprintf(&out, "%s: %s\n", line, verdict)
		}
		return out.String()
	})
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func ExampleShutdown() {
	begin := time.Unix(0, 0)
	s := caller.NewShutdown(begin, begin.Add(5*time.Second), 2*time.Second)
	now := begin.Add(4 * time.Second)
	fmt.Println(s.Accepts(now, now.Add(500*time.Millisecond), 0))
	fmt.Println(s.Accepts(now, now.Add(2*time.Second), 0))
	// Output:
	// true
	// false
}
