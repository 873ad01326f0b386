package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/backend"
)

// TestSlotWindow sends as many requests to a backend server as the window allows, for some
// seconds. Each runs for 100 ms. The backend server runs at most real of them at a time and
// sheds those beyond, and a share of the others, of which every 100 in a row have the same
// number shed. The result is the number of requests that were served and shed.
func TestSlotWindow(t *testing.T) {
	datadriven.RunTest(t, "testdata/slotwindow", func(t *testing.T, d *datadriven.TestData) string {
		var slots, capacity, share, seconds int
		d.ScanArgs(t, "slots", &slots)
		d.ScanArgs(t, "real", &capacity)
		d.ScanArgs(t, "shed", &share)
		d.ScanArgs(t, "seconds", &seconds)
		const tick, run = 5 * time.Millisecond, 100 * time.Millisecond
		w := backend.NewSlotWindow(slots)
		now := time.Unix(1000, 0)
		end := now.Add(time.Duration(seconds) * time.Second)
		var ends []time.Time
		served, shed, sent, smallest := 0, 0, 0, slots
		for ; now.Before(end); now = now.Add(tick) {
			for len(ends) > 0 && !now.Before(ends[0]) {
				full := len(ends) >= w.Size()
				ends = ends[1:]
				w.RecordEnd(now, backend.Served, full)
				served++
			}
			// A request that is shed ends at once; the next one follows at the next tick.
			for len(ends) < w.Size() {
				sent++
				if sent*37%100 < share || len(ends) >= capacity {
					shed++
					w.RecordEnd(now, backend.Shed, len(ends)+1 >= w.Size())
					break
				}
				ends = append(ends, now.Add(run))
			}
			smallest = min(smallest, w.Size())
		}
		return fmt.Sprintf("%d served, %d shed, smallest window %d\n", served, shed, smallest)
	})
}
