package fleet_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/fleet"
)

// TestFleet runs scripts against one fleet. Times count from its start.
func TestFleet(t *testing.T) {
	begin := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/fleet", func(t *testing.T, d *datadriven.TestData) string {
		f := fleet.New()
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			w := strings.Fields(line)
			after, err := time.ParseDuration(w[0])
			if err != nil {
				t.Fatal(err)
			}
			now := begin.Add(after)
			switch w[1] {
			case "put":
				at := address(w[5])
				born := time.UnixMilli(int64(len(w)))
				f.Put(fleet.NewInstance(w[2], w[3], w[4], at, born).WithSlots(9).
					WithState(len(w) > 6 && w[6] == "draining", 0))
			case "remove":
				f.Remove(now, w[2])
			case "trouble":
				f.MarkStoreUnavailable(now)
			case "out", "back":
				f.SetEvacuated(now, w[2], w[1] == "out")
			case "of":
				var ids []string
				for _, i := range f.UsableInstances(now, w[2]) {
					ids = append(ids, i.ID())
				}
				fmt.Fprintf(&out, "%s: %s\n", line, strings.Join(ids, " "))
			case "at":
				i, usable, ok := f.ByAddress(now, w[2], address(w[3]))
				fmt.Fprintf(&out, "%s: %s usable=%t known=%t\n", line, i.ID(), usable, ok)
			default:
				t.Fatalf("unknown line %q", line)
			}
		}
		return out.String()
	})
}

func ExampleFleet() {
	f := fleet.New()
	at := address("10.0.0.1:8080")
	f.Put(fleet.NewInstance("i-1", "doku", "muc", at, time.Unix(0, 0)))
	now := time.Unix(100, 0)
	fmt.Println(len(f.UsableInstances(now, "doku")))
	f.SetEvacuated(now, "muc", true)
	fmt.Println(len(f.UsableInstances(now, "doku")))
	// Output:
	// 1
	// 0
}

// address reads a host and a port.
func address(text string) fleet.Address {
	host, port, _ := strings.Cut(text, ":")
	n, _ := strconv.ParseUint(port, 10, 16)
	return fleet.NewAddress(host, uint16(n))
}
