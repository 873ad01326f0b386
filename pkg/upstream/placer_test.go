package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

var endings = map[string]upstream.AttemptResult{
	"good": upstream.Succeeded, "failing": upstream.Failed, "full": upstream.Overloaded,
	"shed": upstream.Shed, "absent": upstream.Unavailable, "neutral": upstream.Inconclusive,
}

// TestPlacer runs scripts against the placer on 10.0.0.1 in muc. Requests are
// placed a hundred times each and end at once, so that counts show a preference.
func TestPlacer(t *testing.T) {
	datadriven.RunTest(t, "testdata/placer", func(t *testing.T, d *datadriven.TestData) string {
		p := upstream.NewBalancer(upstream.LatencyCost{}, "10.0.0.1", "muc")
		rnd := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1000, 0)
		var instances []fleet.Instance
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			switch f[0] {
			case "instance":
				at := address(f[3])
				instances = append(instances, fleet.NewInstance(f[1], "doku", f[2], at, now).WithSlots(9))
			case "lost":
				p.MarkUnreachable(f[1])
			case "found":
				p.MarkReachable(f[1])
			case "after":
				wait, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(wait)
			case "report":
				running, _ := strconv.Atoi(f[4])
				work, err := time.ParseDuration(f[5])
				if err != nil {
					t.Fatal(err)
				}
				n, _ := strconv.Atoi(f[2])
				for range n {
					p.Done(now, f[1], upstream.NewRequest("read", 0, 200*time.Millisecond), endings[f[3]], upstream.NewLoadReport(running, 0, 9, work, work))
				}
			case "place":
				size, _ := strconv.Atoi(f[1])
				count := make(map[string]int)
				for range 100 {
					r := upstream.NewRequest("read", size, 200*time.Millisecond)
					o, ok := p.Pick(now, rnd, r, instances, f[2:])
					if !ok {
						continue
					}
					count[o.Instance().ID()]++
					p.Done(now, o.Instance().ID(), r, upstream.Inconclusive, upstream.LoadReport{})
				}
				fmt.Fprintf(&out, "%s:", line)
				for _, i := range instances {
					fmt.Fprintf(&out, " %s %d", i.ID(), count[i.ID()])
				}
				fmt.Fprintln(&out)
			}
		}
		return out.String()
	})
}

func ExampleBalancer() {
	p := upstream.NewBalancer(upstream.LatencyCost{}, "10.0.0.1", "muc")
	near := fleet.NewInstance("i-1", "doku", "muc", address("10.0.0.1:80"), time.Unix(0, 0))
	far := fleet.NewInstance("i-2", "doku", "aug", address("10.0.0.2:80"), time.Unix(0, 0))
	rnd := rand.New(rand.NewPCG(1, 2))
	o, _ := p.Pick(time.Unix(1, 0), rnd, upstream.NewRequest("read", 0, 200*time.Millisecond), []fleet.Instance{near, far}, nil)
	fmt.Println(o.Instance().ID())
	// Output: i-1
}

// address reads a host and a port.
func address(text string) fleet.Address {
	host, port, _ := strings.Cut(text, ":")
	n, _ := strconv.ParseUint(port, 10, 16)
	return fleet.NewAddress(host, uint16(n))
}
