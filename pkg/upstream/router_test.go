package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// testConfig returns a configuration of three data centres in two regions, with two
// backend servers each. The data centre or backend server named by out is out of
// service.
func testConfig(t testing.TB, out string) *platform.Config {
	b := platform.NewBuilder(1)
	for _, c := range []struct{ name, region string }{{"muc", "south"}, {"aug", "south"}, {"wien", "east"}} {
		b.AddCentre(platform.NewCentre(c.name, c.region, c.name == out, false))
		for i := range 2 {
			name := c.name + "-" + strconv.Itoa(i+1)
			b.AddBackend(platform.NewBackend(name, "documents", c.name, 10, name == out))
		}
	}
	cfg, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// TestRouter runs scripts against the router of a daemon in muc, and prints how many
// of a hundred requests each backend server got. Each request ends before the next.
func TestRouter(t *testing.T) {
	datadriven.RunTest(t, "testdata/router", func(t *testing.T, d *datadriven.TestData) string {
		out, down := "", ""
		d.MaybeScanArgs(t, "out", &out)
		d.MaybeScanArgs(t, "down", &down)
		cfg := testConfig(t, out)
		r := upstream.NewRouter(upstream.LeastLoaded{}, "ingress", "muc")
		reachable := func(name string) bool { return name != down }
		now := time.Unix(0, 0)
		rnd := rand.New(rand.NewPCG(1, 1))
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			if len(f) == 0 {
				continue
			}
			switch f[0] {
			case "load":
				n, err := strconv.Atoi(f[2])
				if err != nil {
					t.Fatal(err)
				}
				r.Done(now, f[1], upstream.Accepted, upstream.NewLoad(n, 0, 10))
			case "refused":
				r.Done(now, f[1], upstream.Refused, upstream.Load{})
			case "left":
				r.Done(now, f[1], upstream.Draining, upstream.Load{})
			case "failed":
				r.Done(now, f[1], upstream.ConnectionFailed, upstream.Load{})
			case "after":
				wait, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(wait)
			}
		}
		counts := make(map[string]int)
		for range 100 {
			c, ok := r.Pick(now, rnd, cfg, "documents", reachable, nil)
			if !ok {
				return "none\n"
			}
			counts[c.Name()]++
			r.Done(now, c.Name(), upstream.Accepted, upstream.Load{})
		}
		return fmt.Sprintln(strings.TrimPrefix(fmt.Sprint(counts), "map"))
	})
}

// BenchmarkPick measures one choice among the six backend servers of a service.
func BenchmarkPick(b *testing.B) {
	cfg := testConfig(b, "")
	r := upstream.NewRouter(upstream.LeastLoaded{}, "ingress", "muc")
	rnd := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	for b.Loop() {
		c, _ := r.Pick(now, rnd, cfg, "documents", func(string) bool { return true }, nil)
		r.Done(now, c.Name(), upstream.Accepted, upstream.Load{})
	}
}

func ExampleLeastLoaded() {
	rnd := rand.New(rand.NewPCG(1, 1))
	candidates := []upstream.Candidate{
		upstream.NewCandidate("muc-1", 0, 0.9),
		upstream.NewCandidate("aug-1", 1, 0.1),
	}
	fmt.Println(candidates[upstream.LeastLoaded{}.Choose(rnd, candidates)].Name())
	// Output: aug-1
}
