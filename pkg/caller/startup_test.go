package caller_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestStartup guards against callers that return before a process is ready, or all at once when it is.
// Each line of waits is the time since the start began and the time that a caller has left; the
// waits for the least, the mean and the greatest random number are printed. herd sends a request each
// millisecond, of which those before the process is ready return once, and prints how many return too
// early and the most requests in 50 ms from then on. With unspread, the random number is 0; with
// fixed, all callers are told the same time, lengthened by up to a half at random.
func TestStartup(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	datadriven.RunTest(t, "testdata/startup", func(t *testing.T, d *datadriven.TestData) string {
		var expectedText string
		d.ScanArgs(t, "expected", &expectedText)
		s := caller.NewStartup(begin, duration(t, expectedText))
		if d.Cmd == "herd" {
			return playHerd(t, d, s, begin)
		}
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			fmt.Fprintf(&out, "%s:", line)
			for _, random := range []float64{0, 0.5, 0.999} {
				wait := s.RetryAfter(begin.Add(duration(t, f[0])), duration(t, f[1]), random)
				fmt.Fprintf(&out, " %s", wait.Round(time.Millisecond))
			}
			out.WriteString("\n")
		}
		return out.String()
	})
}

func playHerd(t *testing.T, d *datadriven.TestData, s caller.Startup, begin time.Time) string {
	var readyText, leftText, fixedText string
	d.ScanArgs(t, "ready", &readyText)
	d.ScanArgs(t, "left", &leftText)
	d.MaybeScanArgs(t, "fixed", &fixedText)
	unspread := d.HasArg("unspread")
	ready, left := duration(t, readyText), duration(t, leftText)
	const interval = 50 * time.Millisecond
	refused, early, most := 0, 0, 0
	arrivals := make(map[time.Duration]int)
	arrive := func(at time.Duration) {
		n := (at - ready) / interval
		arrivals[n]++
		most = max(most, arrivals[n])
	}
	for at := time.Duration(0); at < ready+time.Second; at += time.Millisecond {
		if at >= ready {
			arrive(at)
			continue
		}
		refused++
		// Multiples of the golden ratio are spread evenly.
		_, random := math.Modf(float64(refused) * math.Phi)
		if unspread {
			random = 0
		}
		wait := s.RetryAfter(begin.Add(at), left, random)
		if fixedText != "" {
			wait = time.Duration((1 + random/2) * float64(duration(t, fixedText)))
		}
		if at+wait < ready {
			early++
			continue
		}
		arrive(at + wait)
	}
	return fmt.Sprintf("%d refused, %d return too early, at most %d requests in %s\n", refused, early, most, interval)
}

func ExampleStartup() {
	begin := time.Unix(0, 0)
	s := caller.NewStartup(begin, 200*time.Millisecond)
	fmt.Println(s.RetryAfter(begin.Add(50*time.Millisecond), 0, 0))
	fmt.Println(s.RetryAfter(begin.Add(50*time.Millisecond), 0, 0.5))
	// Output:
	// 150ms
	// 250ms
}
