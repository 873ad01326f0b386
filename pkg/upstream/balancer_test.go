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

var results = map[string]upstream.AttemptResult{
	"good": upstream.Succeeded, "failing": upstream.Failed, "full": upstream.Overloaded,
	"shed": upstream.Shed, "absent": upstream.Unavailable, "neutral": upstream.Inconclusive,
}

// TestBalancer runs scripts against the balancer of the host 10.0.0.1 in muc. A
// place line picks an instance for a hundred requests, each of which ends before the
// next, and prints how many requests each instance got.
func TestBalancer(t *testing.T) {
	datadriven.RunTest(t, "testdata/placer", func(t *testing.T, d *datadriven.TestData) string {
		b := upstream.NewBalancer(upstream.LatencyCost{}, "10.0.0.1", "muc")
		rnd := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1000, 0)
		var instances []fleet.Instance
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			switch f[0] {
			case "instance":
				address := parseAddress(f[3])
				instances = append(instances, fleet.NewInstance(f[1], "documents", f[2], address, now).WithSlots(9))
			case "lost":
				b.MarkUnreachable(f[1])
			case "found":
				b.MarkReachable(f[1])
			case "after":
				wait, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(wait)
			case "report":
				running, _ := strconv.Atoi(f[4])
				runTime, err := time.ParseDuration(f[5])
				if err != nil {
					t.Fatal(err)
				}
				n, _ := strconv.Atoi(f[2])
				report := upstream.NewLoadReport(running, 0, 9, runTime, runTime)
				if len(f) > 7 {
					report = report.WithLink(parseDuration(t, f[6]), parseDuration(t, f[7]))
				}
				for range n {
					b.Done(now, f[1], upstream.NewRequest("read", 0, 200*time.Millisecond), results[f[3]], report)
				}
			case "place":
				size, _ := strconv.Atoi(f[1])
				counts := make(map[string]int)
				for range 100 {
					r := upstream.NewRequest("read", size, 200*time.Millisecond)
					p, ok := b.Pick(now, rnd, r, instances, f[2:])
					if !ok {
						continue
					}
					counts[p.Instance().ID()]++
					b.Done(now, p.Instance().ID(), r, upstream.Inconclusive, upstream.LoadReport{})
				}
				fmt.Fprintf(&out, "%s:", line)
				for _, i := range instances {
					fmt.Fprintf(&out, " %s %d", i.ID(), counts[i.ID()])
				}
				fmt.Fprintln(&out)
			}
		}
		return out.String()
	})
}

func ExampleBalancer() {
	b := upstream.NewBalancer(upstream.LatencyCost{}, "10.0.0.1", "muc")
	near := fleet.NewInstance("i-1", "documents", "muc", parseAddress("10.0.0.1:80"), time.Unix(0, 0))
	far := fleet.NewInstance("i-2", "documents", "aug", parseAddress("10.0.0.2:80"), time.Unix(0, 0))
	rnd := rand.New(rand.NewPCG(1, 2))
	p, _ := b.Pick(time.Unix(1, 0), rnd, upstream.NewRequest("read", 0, 200*time.Millisecond), []fleet.Instance{near, far}, nil)
	fmt.Println(p.Instance().ID())
	// Output: i-1
}

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func parseAddress(text string) fleet.Address {
	host, port, _ := strings.Cut(text, ":")
	n, _ := strconv.ParseUint(port, 10, 16)
	return fleet.NewAddress(host, uint16(n))
}
