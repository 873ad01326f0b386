package caller_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// orderRequest is a request of TestOrder with its worth if it is served in time.
type orderRequest struct {
	name  string
	need  caller.Need
	worth float64
}

// orderPolicy is an order of service and a choice of the request to refuse among those up to the
// first that would miss its objective.
type orderPolicy struct {
	name    string
	compare func(a, b orderRequest) int
	victim  func(ahead []orderRequest) int
}

func last(ahead []orderRequest) int { return len(ahead) - 1 }

// orderPolicies are the alternatives that docs/design/order.md compares.
var orderPolicies = []orderPolicy{
	{"first come first served", func(orderRequest, orderRequest) int { return 0 }, last},
	{"earliest objective", func(a, b orderRequest) int { return a.need.Objective().Compare(b.need.Objective()) }, last},
	{"priority, refuse the late", func(a, b orderRequest) int { return a.need.Compare(b.need) }, last},
	{"shortest first", func(a, b orderRequest) int { return cmp.Compare(a.need.Work(), b.need.Work()) }, last},
	{"worth per work", func(a, b orderRequest) int {
		return cmp.Compare(b.worth/b.need.Work().Seconds(), a.worth/a.need.Work().Seconds())
	}, last},
	{"need", func(a, b orderRequest) int { return a.need.Compare(b.need) }, func(ahead []orderRequest) int {
		return caller.Victim(ahead, func(r orderRequest) caller.Need { return r.need })
	}},
}

// TestOrder guards against an order under shortage that refuses more requests, or more urgent ones,
// than the capacity requires. All requests of a script wait for one slot. A line is a request: its
// name, its kind (call or new), the rank of its route, its objective, its work and its worth. Under
// each policy, the request that the policy chooses is refused until no one misses its objective.
func TestOrder(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	datadriven.RunTest(t, "testdata/order", func(t *testing.T, d *datadriven.TestData) string {
		var requests []orderRequest
		for line := range strings.SplitSeq(d.Input, "\n") {
			var name, kind, objective, work string
			var rank int
			var worth float64
			if _, err := fmt.Sscan(line, &name, &kind, &rank, &objective, &work, &worth); err != nil {
				t.Fatal(err)
			}
			end := start.Add(duration(t, objective))
			need := caller.NewNeed(caller.NewPriority(kind == "call", 0, rank), end, end, duration(t, work))
			requests = append(requests, orderRequest{name: name, need: need, worth: worth})
		}
		var out strings.Builder
		for _, p := range orderPolicies {
			served, refused, worth := p.apply(start, requests)
			fmt.Fprintf(&out, "%s: serves %s, refuses %s, worth %.1f\n", p.name, strings.Join(served, " "), strings.Join(refused, " "), worth)
		}
		return out.String()
	})
}

func (p orderPolicy) apply(start time.Time, requests []orderRequest) (served, refused []string, worth float64) {
	queue := slices.Clone(requests)
	slices.SortStableFunc(queue, p.compare)
	for i, at := 0, start; i < len(queue); i++ {
		if queue[i].need.MeetsObjective(at) {
			at = at.Add(queue[i].need.Work())
			continue
		}
		n := p.victim(queue[:i+1])
		refused = append(refused, queue[n].name)
		queue = slices.Delete(queue, n, n+1)
		i, at = -1, start
	}
	for _, r := range queue {
		served = append(served, r.name)
		worth += r.worth
	}
	return served, refused, worth
}
