package peer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/peer"
)

// TestTransfers runs scripts against a limit of two transfers at a time. Each line begins or
// ends transfers, and the result lists those that have started.
func TestTransfers(t *testing.T) {
	datadriven.RunTest(t, "testdata/transfers", func(_ *testing.T, d *datadriven.TestData) string {
		limit := peer.NewTransfers(2)
		open := make(map[string]*peer.Transfer)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			for _, name := range f[1:] {
				switch f[0] {
				case "end":
					limit.End(open[name])
					delete(open, name)
				case "try":
					if transfer, ok := limit.TryBegin(); ok {
						open[name] = transfer
					}
				default:
					open[name] = limit.Begin(f[0] == "repair")
				}
			}
			var started []string
			for name, transfer := range open {
				select {
				case <-transfer.Started():
					started = append(started, name)
				default:
				}
			}
			slices.Sort(started)
			fmt.Fprintf(&out, "%s: %s\n", line, strings.Join(started, " "))
		}
		return out.String()
	})
}

func ExampleTransfers() {
	limit := peer.NewTransfers(2)
	first, second := limit.Begin(true), limit.Begin(true)
	<-first.Started()
	limit.End(first)
	<-second.Started()
	limit.End(second)
	// Output:
}
