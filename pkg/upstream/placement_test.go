package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// BenchmarkPlacement places requests in a fleet of 296 instances, of which 145 belong to the
// service.
func BenchmarkPlacement(b *testing.B) {
	f := fleet.New()
	for i := range 296 {
		service := "a"
		if i >= 145 {
			service = "b"
		}
		f.Put(fleet.NewInstance(fmt.Sprintf("i-%03d", i), service, fmt.Sprintf("c%d", i%5), fleet.NewAddress(fmt.Sprintf("10.0.%d.%d", i/200, i%200), 80), time.Unix(0, 0)).WithSlots(5))
	}
	bal := upstream.NewBalancer(upstream.LatencyCost{}, "10.0.0.0", "c0")
	now := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 2))
	r := upstream.NewRequest("read", 0, 500*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		p, ok := bal.Pick(now, rnd, r, f.UsableInstances(now, "a"), nil)
		if !ok {
			b.Fatal("no instance")
		}
		bal.Done(now, p.Instance().ID(), r, upstream.Succeeded, upstream.NewLoadReport(1, 0, 5, time.Millisecond, time.Millisecond))
	}
}
