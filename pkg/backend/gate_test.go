package backend_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/backend"
)

var stateNames = map[backend.State]string{
	backend.Waiting: "waiting", backend.Running: "running", backend.Overloaded: "crowded",
	backend.Expired: "expired", backend.Closed: "closed", backend.Finished: "gone",
}

// TestGate runs scripts against one gate. A request is named by the letter of its
// customer and a number. Its deadline is one second after its arrival.
func TestGate(t *testing.T) {
	datadriven.RunTest(t, "testdata/gate", func(t *testing.T, d *datadriven.TestData) string {
		slots := 0
		d.ScanArgs(t, "slots", &slots)
		g := backend.NewGate(backend.NewAdaptiveWindow(slots))
		now := time.Unix(0, 0)
		g.Resize(now, slots)
		tickets := make(map[string]*backend.Ticket)
		var order []string
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			for _, name := range f[1:] {
				switch f[0] {
				case "arrive":
					weight := 1
					if name[0] == 'w' {
						weight = 3
					}
					tickets[name], _ = g.Submit(now, name[:1], weight, now.Add(time.Second))
					order = append(order, name)
				case "served":
					g.Done(now, tickets[name], backend.Served)
				case "shed":
					g.Done(now, tickets[name], backend.Shed)
				case "broken":
					g.Done(now, tickets[name], backend.Disconnected)
				case "withdraw":
					g.Cancel(tickets[name])
				case "after":
					wait, err := time.ParseDuration(name)
					if err != nil {
						t.Fatal(err)
					}
					now = now.Add(wait)
				}
			}
			switch f[0] {
			case "lost":
				g.RecordRestart(now)
			case "close":
				g.Close()
			}
			fmt.Fprintf(&out, "%s: window %d:", line, g.Load().Window())
			for _, name := range order {
				if s := g.State(tickets[name]); s != backend.Finished {
					fmt.Fprintf(&out, " %s %s,", name, stateNames[s])
				}
			}
			fmt.Fprintln(&out)
		}
		return out.String()
	})
}

// TestBackend checks properties of the gate and the quarantine over random
// histories.
func TestBackend(t *testing.T) {
	fuzz.Run(t, "testdata/backend", map[string]fuzz.Property{
		"gate":       gateCounts,
		"bears":      restartNoticed,
		"unnoticed":  restartUnnoticed,
		"quarantine": quarantineLimitsCrashes,
		"restarts":   restartsLimitCrashes,
		"merges":     mergesAgree,
	})
}

// gateCounts compares the counts of a gate with the states of its tickets, and
// checks that no request waits while the window has room.
func gateCounts(t *rapid.T, _ bool) {
	slots := rapid.IntRange(1, 12).Draw(t, "slots")
	g := backend.NewGate(backend.NewAdaptiveWindow(slots))
	now := time.Unix(0, 0)
	g.Resize(now, slots)
	var tickets []*backend.Ticket
	t.Repeat(map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
			timeout := time.Duration(rapid.IntRange(1, 500).Draw(t, "patience")) * time.Millisecond
			ticket, _ := g.Submit(now, customer, rapid.IntRange(1, 4).Draw(t, "weight"), now.Add(timeout))
			tickets = append(tickets, ticket)
		},
		"done": func(t *rapid.T) {
			if len(tickets) > 0 {
				result := rapid.SampledFrom([]backend.Result{backend.Served, backend.Served, backend.Shed, backend.Disconnected, backend.Cancelled}).Draw(t, "result")
				g.Done(now, rapid.SampledFrom(tickets).Draw(t, "ticket"), result)
			}
		},
		"withdraw": func(t *rapid.T) {
			if len(tickets) > 0 {
				g.Cancel(rapid.SampledFrom(tickets).Draw(t, "ticket"))
			}
		},
		"time": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			running, waiting := 0, 0
			for _, ticket := range tickets {
				switch g.State(ticket) {
				case backend.Running:
					running++
				case backend.Waiting:
					waiting++
				}
			}
			load := g.Load()
			if load.Running() != running || load.Waiting() != waiting {
				t.Fatalf("gate reports %d running and %d waiting, tickets are %d and %d", load.Running(), load.Waiting(), running, waiting)
			}
			if running > slots {
				t.Fatalf("%d requests running in %d slots", running, slots)
			}
			if waiting > 0 && running < load.Window() {
				t.Fatalf("%d requests waiting while %d run in a window of %d", waiting, running, load.Window())
			}
		},
	})
}

// restartGate is the part of a gate that simulateRestarts uses.
type restartGate interface {
	Submit(now time.Time, customer string, weight int, deadline time.Time) (*backend.Ticket, backend.State)
	Done(now time.Time, t *backend.Ticket, r backend.Result)
	RecordRestart(now time.Time)
	Resize(now time.Time, slots int)
}

// restartNoticed simulates restarts of which the gate is notified. The broken gate has
// an unbounded window.
func restartNoticed(t *rapid.T, broken bool) {
	if broken {
		simulateRestarts(t, backend.NewGate(backend.UnboundedWindow{}), true)
		return
	}
	simulateRestarts(t, backend.NewGate(backend.NewAdaptiveWindow(fullSlots)), true)
}

// restartUnnoticed simulates restarts with the adaptive window. In the broken
// variant, the gate is not notified of them.
func restartUnnoticed(t *rapid.T, broken bool) {
	simulateRestarts(t, backend.NewGate(backend.NewAdaptiveWindow(fullSlots)), !broken)
}

const fullSlots = 12

// simulateRestarts simulates a backend server that restarts without warning, has
// little capacity at first, and sheds load beyond its capacity. The gate must not
// send more than twice the capacity, beyond which a backend server collapses.
func simulateRestarts(t *rapid.T, g restartGate, noticed bool) {
	now := time.Unix(0, 0)
	g.Resize(now, fullSlots)
	started := now
	var running, shed []*backend.Ticket
	end := func(tickets []*backend.Ticket, r backend.Result) {
		for _, ticket := range tickets {
			g.Done(now, ticket, r)
		}
	}
	for range rapid.IntRange(300, 1500).Draw(t, "steps") {
		now = now.Add(5 * time.Millisecond)
		end(running, backend.Served)
		end(shed, backend.Shed)
		running, shed = nil, nil
		if rapid.IntRange(0, 500).Draw(t, "restart") == 250 {
			started = now
			if noticed {
				g.RecordRestart(now)
			}
		}
		capacity := max(2, int(fullSlots*min(1, 0.25+now.Sub(started).Seconds())))
		for range rapid.IntRange(0, 40).Draw(t, "arrivals") {
			ticket, state := g.Submit(now, "a", 1, now.Add(time.Millisecond))
			switch {
			case state != backend.Running:
				continue
			case len(running)+len(shed) >= 2*capacity:
				t.Fatalf("%d requests sent to a backend server with a capacity of %d", len(running)+len(shed)+1, capacity)
			case len(running) >= capacity:
				shed = append(shed, ticket)
			default:
				running = append(running, ticket)
			}
		}
	}
}

// quarantineLimitsCrashes repeatedly sends a request that crashes backend servers,
// among harmless ones, to several backend servers. At most two may crash, and
// harmless requests that have been answered must not be quarantined. In the broken
// variant, crashes are not reported to the other quarantines, so more servers crash.
func quarantineLimitsCrashes(t *rapid.T, broken bool) {
	const servers, maxCrashes = 6, 2
	now := time.Unix(0, 0)
	var quarantines []*backend.Quarantine
	for range servers {
		quarantines = append(quarantines, backend.NewQuarantine())
	}
	poison := backend.NewRequestKey("a", 666)
	crashes := 0
	for range 40 {
		now = now.Add(time.Second)
		server := rapid.IntRange(0, servers-1).Draw(t, "server")
		concurrent := backend.NewRequestKey("b", rapid.Uint64Range(1, 3).Draw(t, "beside"))
		if !quarantines[server].Quarantined(now, poison) {
			crashes++
			for i, q := range quarantines {
				if i == server || !broken {
					q.RecordCrash(now, poison)
					q.RecordCrash(now, concurrent)
				}
			}
		}
		for _, q := range quarantines {
			q.RecordAnswer(concurrent)
			if q.Quarantined(now, concurrent) {
				t.Fatalf("a harmless request is quarantined")
			}
		}
	}
	if crashes > maxCrashes {
		t.Fatalf("%d backend servers crashed, want at most %d", crashes, maxCrashes)
	}
}

func ExampleGate() {
	g := backend.NewGate(backend.NewAdaptiveWindow(4))
	now := time.Unix(0, 0)
	first, state := g.Submit(now, "customer-1", 1, now.Add(time.Second))
	fmt.Println(stateNames[state])
	second, state := g.Submit(now, "customer-2", 1, now.Add(time.Second))
	fmt.Println(stateNames[state])
	g.Resize(now, 4)
	g.Done(now, first, backend.Served)
	fmt.Println(stateNames[g.State(second)], strconv.Itoa(g.Load().Running()))
	// Output:
	// running
	// waiting
	// running 1
}
