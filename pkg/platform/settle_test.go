package platform_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/platform"
)

// TestSettle runs scripts of a daemon's start. Times count from the start.
func TestSettle(t *testing.T) {
	datadriven.RunTest(t, "testdata/settle", func(t *testing.T, d *datadriven.TestData) string {
		var bound string
		d.ScanArgs(t, "bound", &bound)
		limit, err := time.ParseDuration(bound)
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Unix(0, 0)
		s := platform.NewStartupGate(begin, limit)
		holds := false
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			at, err := time.ParseDuration(f[0])
			if err != nil {
				t.Fatal(err)
			}
			switch f[1] {
			case "listed":
				s.AddPeers(f[2:])
			case "heard":
				s.MarkSynced(f[2])
			case "holds":
				holds = true
			}
			fmt.Fprintf(&out, "%s: ready %t\n", line, s.Ready(begin.Add(at), holds))
		}
		return out.String()
	})
}

// TestPolicy runs questions whether to serve. A bound or an age is in seconds.
func TestPolicy(t *testing.T) {
	datadriven.RunTest(t, "testdata/policy", func(t *testing.T, d *datadriven.TestData) string {
		var read, write, age int
		d.ScanArgs(t, "read", &read)
		d.ScanArgs(t, "write", &write)
		d.MaybeScanArgs(t, "age", &age)
		p := platform.NewPolicy(time.Duration(read)*time.Second, time.Duration(write)*time.Second, 0, 0)
		heard := time.Duration(age) * time.Second
		return fmt.Sprintf("idempotent %t, once %t\n",
			p.AllowsStaleness(false, heard, d.HasArg("age")), p.AllowsStaleness(true, heard, d.HasArg("age")))
	})
}

// TestAllowance lets a whole fleet start at one instant and counts its calls on
// the platform in each second: they stay inside the share.
func TestAllowance(t *testing.T) {
	datadriven.RunTest(t, "testdata/allowance", func(t *testing.T, d *datadriven.TestData) string {
		var fleet, readers, share, limit int
		var seed uint64
		d.ScanArgs(t, "fleet", &fleet)
		d.ScanArgs(t, "readers", &readers)
		d.ScanArgs(t, "share", &share)
		d.ScanArgs(t, "limit", &limit)
		d.ScanArgs(t, "seed", &seed)
		rnd := rand.New(rand.NewPCG(seed, 0))
		begin := time.Unix(0, 0)
		seconds := make(map[int]int)
		for i := range fleet {
			a := platform.NewCallLimiter(float64(share), fleet, readers)
			first := a.StartupDelay(rnd)
			if d.HasArg("naive") {
				first = 0
			}
			seconds[int(first.Seconds())]++
			if i >= readers {
				continue
			}
			// A reader that holds nothing reads a hundred parts.
			at := first
			for range 100 {
				at += a.ReserveReader(begin.Add(at))
				seconds[int(at.Seconds())]++
			}
		}
		most := 0
		for _, n := range seconds {
			most = max(most, n)
		}
		return fmt.Sprintf("within the limit: %t\n", most <= limit)
	})
}
