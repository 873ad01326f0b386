package backend_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/backend"
)

// TestRateLimiter guards against more requests in any second than a cold backend server bears, and
// against less than it bears while many wait. A script states the fleet's bound, the rate that
// the backend server states, how long it is cold, and the requests per second that wait for it.
func TestRateLimiter(t *testing.T) {
	datadriven.RunTest(t, "testdata/ratelimiter", func(t *testing.T, d *datadriven.TestData) string {
		var over, slack, rate float64
		var cold string
		var demand int
		d.ScanArgs(t, "over", &over)
		d.ScanArgs(t, "slack", &slack)
		d.ScanArgs(t, "rate", &rate)
		d.ScanArgs(t, "cold", &cold)
		d.ScanArgs(t, "demand", &demand)
		length, err := time.ParseDuration(cold)
		if err != nil {
			t.Fatal(err)
		}
		l := backend.NewRateLimiter(over, slack)
		begin := time.Unix(0, 0)
		l.SetCold(begin, begin.Add(length), rate)
		var taken []time.Time
		most := 0
		for now := begin; now.Before(begin.Add(length)); now = now.Add(time.Second / time.Duration(demand)) {
			if _, ok := l.Take(now); !ok {
				continue
			}
			taken = append(taken, now)
			first, _ := slices.BinarySearchFunc(taken, now.Add(-time.Second), func(at, begin time.Time) int {
				if at.After(begin) {
					return 1
				}
				return -1
			})
			most = max(most, len(taken)-first)
		}
		return fmt.Sprintf("%d taken, %d of them in one second, bound %g\n", len(taken), most, rate*over+slack)
	})
}
