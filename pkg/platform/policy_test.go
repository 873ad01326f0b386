package platform_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/platform"
)

// TestStartupGate runs scripts of a daemon's start. Times are relative to the
// start.
func TestStartupGate(t *testing.T) {
	datadriven.RunTest(t, "testdata/settle", func(t *testing.T, d *datadriven.TestData) string {
		var bound string
		d.ScanArgs(t, "bound", &bound)
		limit, err := time.ParseDuration(bound)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Unix(0, 0)
		g := platform.NewStartupGate(start, limit)
		hasVersion := false
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			elapsed, err := time.ParseDuration(f[0])
			if err != nil {
				t.Fatal(err)
			}
			result := ""
			switch f[1] {
			case "listed": // listed [peer ...] [further peer ...]: the peers to ask
				peers, further := f[2:], []string(nil)
				if i := slices.Index(peers, "further"); i >= 0 {
					peers, further = peers[:i], peers[i+1:]
				}
				g.AddPeers(peers, further)
			case "heard", "starting": // an answer of a peer that has started, or is starting itself
				if next := g.RecordAnswer(start.Add(elapsed), f[2], f[1] == "starting"); next != "" {
					result = ", ask " + next
				}
			case "failed":
				result = ", not needed"
				delay, needed, next := g.RecordFailure(start.Add(elapsed), f[2])
				if needed {
					result = ", again after " + delay.String()
				}
				if next != "" {
					result += ", ask " + next
				}
			case "holds":
				hasVersion = true
			}
			fmt.Fprintf(&out, "%s: ready %t", line, g.Ready(start.Add(elapsed), hasVersion))
			if g.Starting(start.Add(elapsed)) {
				out.WriteString(", starting")
			}
			out.WriteString(result + "\n")
		}
		return out.String()
	})
}

// TestPolicy runs scripts of staleness checks. Bounds and ages are in seconds;
// without an age the platform has never been contacted.
func TestPolicy(t *testing.T) {
	datadriven.RunTest(t, "testdata/policy", func(t *testing.T, d *datadriven.TestData) string {
		var read, write, age int
		d.ScanArgs(t, "read", &read)
		d.ScanArgs(t, "write", &write)
		d.MaybeScanArgs(t, "age", &age)
		p := platform.NewPolicy(time.Duration(read)*time.Second, time.Duration(write)*time.Second, 0, 0)
		staleness := time.Duration(age) * time.Second
		return fmt.Sprintf("idempotent %t, once %t\n",
			p.AllowsStaleness(false, staleness, d.HasArg("age")), p.AllowsStaleness(true, staleness, d.HasArg("age")))
	})
}

// TestCallLimiter starts a whole fleet at the same time and checks that its
// calls to the platform in each second stay within the limit. A naive fleet has
// no startup delay.
func TestCallLimiter(t *testing.T) {
	datadriven.RunTest(t, "testdata/allowance", func(t *testing.T, d *datadriven.TestData) string {
		var fleet, readers, share, limit int
		var seed uint64
		d.ScanArgs(t, "fleet", &fleet)
		d.ScanArgs(t, "readers", &readers)
		d.ScanArgs(t, "share", &share)
		d.ScanArgs(t, "limit", &limit)
		d.ScanArgs(t, "seed", &seed)
		rnd := rand.New(rand.NewPCG(seed, 0))
		start := time.Unix(0, 0)
		callsPerSecond := make(map[int]int)
		for i := range fleet {
			l := platform.NewCallLimiter(float64(share), fleet, readers)
			delay := l.StartupDelay(rnd)
			if d.HasArg("naive") {
				delay = 0
			}
			callsPerSecond[int(delay.Seconds())]++
			if i >= readers {
				continue
			}
			// A reader without a version reads a hundred parts.
			elapsed := delay
			for range 100 {
				elapsed += l.ReserveReader(start.Add(elapsed))
				callsPerSecond[int(elapsed.Seconds())]++
			}
		}
		peak := 0
		for _, n := range callsPerSecond {
			peak = max(peak, n)
		}
		return fmt.Sprintf("within the limit: %t\n", peak <= limit)
	})
}
