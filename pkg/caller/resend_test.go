package caller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestResendBudget runs scripts against a budget with a ratio of 0.2 and a slack
// of 60 in 10 s, of which the daemon's share is a tenth. A line is the time, the kind and the
// number of requests: first ones (first), first ones that are calls (calls), resends (again),
// urgent resends (urgent), or calls of resent requests (nested). It guards against calls that are
// lost because callers' requests have used the budget, and against exceeding it.
func TestResendBudget(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	datadriven.RunTest(t, "testdata/sends", func(t *testing.T, d *datadriven.TestData) string {
		b := caller.NewResendBudget(0.2, 60, 10*time.Second)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			after, err := time.ParseDuration(f[0])
			if err != nil {
				t.Fatal(err)
			}
			n, err := strconv.Atoi(f[2])
			if err != nil {
				t.Fatal(err)
			}
			now, allowed := begin.Add(after), 0
			for range n {
				ok := false
				switch f[1] {
				case "first", "calls":
					b.RecordRequest(now, "documents", f[1] == "calls")
				case "nested":
					ok = b.AllowCall(now, "documents", 0.1)
				default:
					ok = b.AllowResend(now, "documents", f[1] == "urgent", 0.1)
				}
				if ok {
					allowed++
				}
			}
			fmt.Fprintf(&out, "%s: %d\n", line, allowed)
		}
		return out.String()
	})
}

// TestResendFleet guards against a fleet that exceeds its limit together: every daemon keeps its
// own part, resent requests make calls that arrive as resends at another service, and windows of
// daemons begin at any time. A fleet of daemons sends requests to a service, each of which makes
// calls to another one. Every server sheds a share of all requests at one of the two services for
// 8.5 s. The arrivals beyond the first in any 10 s are compared with the limit.
func TestResendFleet(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleet", func(t *testing.T, d *datadriven.TestData) string {
		f := resendFleet{daemons: 20, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(1, 2))}
		d.ScanArgs(t, "calls", &f.calls)
		d.ScanArgs(t, "shed", &f.shed)
		d.ScanArgs(t, "at", &f.at)
		d.ScanArgs(t, "spread", &f.spread)
		d.ScanArgs(t, "runs", &f.runs)
		f.firstOnly = d.HasArg("first")
		return f.run()
	})
}

// resendFleet simulates requests to a service "front", each of which makes calls to "back".
type resendFleet struct {
	daemons int
	// calls is the number of calls per request, and shed the percentage of requests that the
	// service at sheds.
	calls, shed int
	at          string
	// spread is the number of daemons at which requests of callers arrive, and runs the number
	// of daemons whose backend servers run them.
	spread, runs int
	// firstOnly states that only first arrivals are shed.
	firstOnly bool
	now       time.Time
	rng       *rand.Rand
	budgets   []*caller.ResendBudget
	// requests and resends are the times of arrivals per service.
	requests, resends map[string][]time.Time
	lost              int
}

func (f *resendFleet) run() string {
	f.requests, f.resends = make(map[string][]time.Time), make(map[string][]time.Time)
	for range f.daemons {
		f.budgets = append(f.budgets, caller.NewResendBudget(0.2, 60, 10*time.Second))
	}
	begin := f.now
	for step := range 25_000 {
		f.now = begin.Add(time.Duration(step) * time.Millisecond)
		shedding := step >= 8_000 && step < 16_500
		f.send("front", f.rng.IntN(f.spread), shedding, false, false)
	}
	var out strings.Builder
	for _, service := range []string{"front", "back"} {
		fmt.Fprintf(&out, "%s: %d requests, %d resends, at most %.2f of the limit in 10 s\n", service,
			len(f.requests[service]), len(f.resends[service]), f.largest(service))
	}
	fmt.Fprintf(&out, "%d calls lost\n", f.lost)
	return out.String()
}

// send sends a request from a daemon, with its resends and its calls.
func (f *resendFleet) send(service string, from int, shedding, call, resent bool) {
	b := f.budgets[from]
	share := 1 / float64(f.daemons)
	if !resent {
		b.RecordRequest(f.now, service, call)
		f.requests[service] = append(f.requests[service], f.now)
	} else if !b.AllowCall(f.now, service, share) {
		f.lost++
		return
	} else {
		f.resends[service] = append(f.resends[service], f.now)
	}
	for attempt := range 3 {
		if attempt > 0 {
			if !b.AllowResend(f.now, service, call, share) {
				break
			}
			resent = true
			f.resends[service] = append(f.resends[service], f.now)
		}
		if shedding && service == f.at && !(f.firstOnly && attempt > 0) && f.rng.IntN(100) < f.shed {
			continue
		}
		if service == "front" {
			at := f.rng.IntN(f.runs)
			for range f.calls {
				f.send("back", at, shedding, true, resent)
			}
		}
		return
	}
	if call {
		f.lost++
	}
}

// largest returns the resends in any window of 10 s, as a fraction of the limit.
func (f *resendFleet) largest(service string) float64 {
	largest := 0.0
	for _, end := range f.resends[service] {
		// The times ascend.
		count := func(times []time.Time) float64 {
			first, _ := slices.BinarySearchFunc(times, end.Add(-10*time.Second+1), time.Time.Compare)
			last, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
			return float64(last - first)
		}
		largest = max(largest, count(f.resends[service])/(0.2*count(f.requests[service])+60))
	}
	return largest
}

func ExampleResendBudget() {
	b := caller.NewResendBudget(0.2, 60, 10*time.Second)
	now := time.Unix(0, 0)
	b.RecordRequest(now, "documents", false)
	fmt.Println(b.AllowResend(now, "documents", false, 0.1))
	// Output: true
}
