package peer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/peer"
)

// TestPatience guards against healthy daemons that are declared unreachable while bodies fill a
// link, and against a slower detection of failed ones elsewhere. A daemon is waited for 750 ms
// longer at most. Each line has a failure, the time waited since the usual time-out, and the
// backlogs of the own link and of the other daemon's.
func TestPatience(t *testing.T) {
	failures := map[string]peer.Failure{"disconnected": peer.Disconnected, "timeout": peer.TimedOut}
	datadriven.RunTest(t, "testdata/patience", func(t *testing.T, d *datadriven.TestData) string {
		p := peer.NewPatience(750 * time.Millisecond)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			var times [3]time.Duration
			for i, text := range f[1:] {
				var err error
				if times[i], err = time.ParseDuration(text); err != nil {
					t.Fatal(err)
				}
			}
			verdict := "unreachable"
			if !p.Unreachable(failures[f[0]], times[0], times[1], times[2]) {
				verdict = "ping again, " + p.Extra(times[1], times[2]).String() + " in all"
			}
			fmt.Fprintf(&out, "%s: %s\n", line, verdict)
		}
		return out.String()
	})
}

func ExamplePatience() {
	p := peer.NewPatience(750 * time.Millisecond)
	fmt.Println(p.Unreachable(peer.TimedOut, 250*time.Millisecond, 0, 300*time.Millisecond))
	fmt.Println(p.Unreachable(peer.TimedOut, 500*time.Millisecond, 0, 300*time.Millisecond))
	// Output:
	// false
	// true
}
