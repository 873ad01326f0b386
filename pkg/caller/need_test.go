package caller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestNeed guards against an overload in which urgent or short requests are refused and long or
// less urgent ones are served. Each line of a script is a request: its name, its kind (new, call of a
// request of the given rank, or nested in an unknown one), the rank, its objective, its deadline and
// its work. The output is the order
// of service and the order in which the requests are refused.
func TestNeed(t *testing.T) {
	type request struct {
		name string
		need caller.Need
	}
	start := time.Unix(1_700_000_000, 0)
	datadriven.RunTest(t, "testdata/need", func(t *testing.T, d *datadriven.TestData) string {
		var requests []request
		for line := range strings.SplitSeq(d.Input, "\n") {
			var name, kind, objective, deadline, work string
			var rank int
			if _, err := fmt.Sscan(line, &name, &kind, &rank, &objective, &deadline, &work); err != nil {
				t.Fatal(err)
			}
			priority := caller.NewPriority(kind == "nested", 0, rank)
			if kind == "call" {
				priority = priority.Call(0)
			}
			need := caller.NewNeed(priority,
				start.Add(duration(t, objective)), start.Add(duration(t, deadline)), duration(t, work))
			requests = append(requests, request{name: name, need: need})
		}
		var out strings.Builder
		slices.SortStableFunc(requests, func(a, b request) int { return a.need.Compare(b.need) })
		fmt.Fprint(&out, "served:")
		for _, r := range requests {
			fmt.Fprint(&out, " ", r.name)
		}
		fmt.Fprint(&out, "\nrefused:")
		for len(requests) > 0 {
			i := caller.Victim(requests, func(r request) caller.Need { return r.need })
			fmt.Fprint(&out, " ", requests[i].name)
			requests = slices.Delete(requests, i, i+1)
		}
		fmt.Fprintln(&out)
		return out.String()
	})
}
