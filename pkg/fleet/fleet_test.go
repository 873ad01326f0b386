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

// TestFleet runs each script against a new fleet. The time at the start of a line
// counts from the start of the script.
func TestFleet(t *testing.T) {
	start := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/fleet", func(t *testing.T, d *datadriven.TestData) string {
		f := fleet.New()
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			words := strings.Fields(line)
			offset, err := time.ParseDuration(words[0])
			if err != nil {
				t.Fatal(err)
			}
			now := start.Add(offset)
			switch words[1] {
			case "put":
				address := parseAddress(words[5])
				startedAt := time.UnixMilli(int64(len(words)))
				f.Put(fleet.NewInstance(words[2], words[3], words[4], address, startedAt).WithSlots(9).
					WithState(len(words) > 6 && words[6] == "draining", 0))
			case "remove":
				f.Remove(now, words[2])
			case "trouble":
				f.MarkStoreUnavailable(now)
			case "out", "back":
				f.SetEvacuated(now, words[2], words[1] == "out")
			case "of":
				var ids []string
				for _, i := range f.UsableInstances(now, words[2]) {
					ids = append(ids, i.ID())
				}
				fmt.Fprintf(&out, "%s: %s\n", line, strings.Join(ids, " "))
			case "get":
				i, usable, ok := f.Get(now, words[2])
				fmt.Fprintf(&out, "%s: %s usable=%t known=%t\n", line, i.ID(), usable, ok)
			case "left":
				fmt.Fprintf(&out, "%s: %t\n", line, f.Left(words[2]))
			case "services":
				f.SetServices(map[string]bool{words[2]: true})
			case "daemon":
				f.AddDaemon(words[2])
			case "hosts":
				var hosts []string
				for _, h := range f.Hosts() {
					hosts = append(hosts, fmt.Sprintf("%s in %s live=%t serving=%t", h.IP(), h.Centre(), h.Live(), h.Serving()))
				}
				fmt.Fprintf(&out, "%s: %s\n", line, strings.Join(hosts, ", "))
			case "at":
				i, usable, ok := f.ByAddress(now, words[2], parseAddress(words[3]))
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
	address := parseAddress("10.0.0.1:8080")
	f.Put(fleet.NewInstance("i-1", "documents", "muc", address, time.Unix(0, 0)))
	now := time.Unix(100, 0)
	fmt.Println(len(f.UsableInstances(now, "documents")))
	f.SetEvacuated(now, "muc", true)
	fmt.Println(len(f.UsableInstances(now, "documents")))
	// Output:
	// 1
	// 0
}

func parseAddress(text string) fleet.Address {
	host, port, _ := strings.Cut(text, ":")
	n, _ := strconv.ParseUint(port, 10, 16)
	return fleet.NewAddress(host, uint16(n))
}
