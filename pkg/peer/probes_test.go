package peer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/peer"
)

// TestProbeInterval replays hosts that stop answering together and come back. It guards against
// daemons that are back and get no requests, and against probes that take up the processor. Each
// line is the time after which a host answers again; the result is when a probe finds that out.
func TestProbeInterval(t *testing.T) {
	datadriven.RunTest(t, "testdata/probes", func(t *testing.T, d *datadriven.TestData) string {
		var hosts int
		d.ScanArgs(t, "hosts", &hosts)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			back, err := time.ParseDuration(line)
			if err != nil {
				t.Fatal(err)
			}
			var at time.Duration
			probes, late := 0, 0
			for at < back {
				if at >= peer.ReturnPeriod {
					late++
				}
				at += peer.ProbeInterval(at, late, hosts)
				probes++
			}
			fmt.Fprintf(&out, "back after %s: found after %s, %d probes\n", back, at, probes)
		}
		return out.String()
	})
}
