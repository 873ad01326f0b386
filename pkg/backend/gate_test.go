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

var states = map[backend.State]string{
	backend.Waiting: "waiting", backend.Running: "running", backend.Overloaded: "crowded",
	backend.Expired: "expired", backend.Closed: "closed", backend.Finished: "gone",
}

// TestGate runs scripts against one gate. Requests are named by the customer's
// letter and a number, and have a second to be admitted.
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
				g.Restarted(now)
			case "close":
				g.Close()
			}
			fmt.Fprintf(&out, "%s: window %d:", line, g.Load().Window())
			for _, name := range order {
				if s := g.State(tickets[name]); s != backend.Finished {
					fmt.Fprintf(&out, " %s %s,", name, states[s])
				}
			}
			fmt.Fprintln(&out)
		}
		return out.String()
	})
}

// TestBackend runs properties of gate and quarantine over random histories.
func TestBackend(t *testing.T) {
	fuzz.Run(t, "testdata/backend", map[string]fuzz.Property{
		"gate":       gate,
		"bears":      bears,
		"unnoticed":  unnoticed,
		"quarantine": quarantine,
	})
}

// gate compares a gate with a list of what came and went.
func gate(t *rapid.T, _ bool) {
	slots := rapid.IntRange(1, 12).Draw(t, "slots")
	g := backend.NewGate(backend.NewAdaptiveWindow(slots))
	now := time.Unix(0, 0)
	g.Resize(now, slots)
	var tickets []*backend.Ticket
	t.Repeat(map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
			patience := time.Duration(rapid.IntRange(1, 500).Draw(t, "patience")) * time.Millisecond
			ticket, _ := g.Submit(now, customer, rapid.IntRange(1, 4).Draw(t, "weight"), now.Add(patience))
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
				t.Fatalf("gate counts %d and %d, tickets %d and %d", load.Running(), load.Waiting(), running, waiting)
			}
			if running > slots {
				t.Fatalf("%d run in %d slots", running, slots)
			}
			if waiting > 0 && running < load.Window() {
				t.Fatalf("%d wait while %d of %d run", waiting, running, load.Window())
			}
		},
	})
}

// admission is what a gate's history needs of it.
type admission interface {
	Submit(now time.Time, customer string, weight int, deadline time.Time) (*backend.Ticket, backend.State)
	Done(now time.Time, t *backend.Ticket, r backend.Result)
	Restarted(now time.Time)
	Resize(now time.Time, slots int)
}

// bears drives a backend server through restarts; the naive gate has no window.
func bears(t *rapid.T, broken bool) {
	if broken {
		restarts(t, backend.NewGate(backend.UnboundedWindow{}), true)
		return
	}
	restarts(t, backend.NewGate(backend.NewAdaptiveWindow(fullSlots)), true)
}

// unnoticed is the same where nobody notices that connections broke.
func unnoticed(t *rapid.T, broken bool) {
	restarts(t, backend.NewGate(backend.NewAdaptiveWindow(fullSlots)), !broken)
}

const fullSlots = 12

// restarts drives a backend server that restarts without warning, bears little
// at first, and sheds what is too much. The gate has to keep what it sends within
// twice what the backend server bears; beyond that a backend server falls over.
func restarts(t *rapid.T, g admission, noticed bool) {
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
				g.Restarted(now)
			}
		}
		borne := max(2, int(fullSlots*min(1, 0.25+now.Sub(started).Seconds())))
		for range rapid.IntRange(0, 40).Draw(t, "arrivals") {
			ticket, state := g.Submit(now, "a", 1, now.Add(time.Millisecond))
			switch {
			case state != backend.Running:
				continue
			case len(running)+len(shed) >= 2*borne:
				t.Fatalf("%d sent where %d are borne", len(running)+len(shed)+1, borne)
			case len(running) >= borne:
				shed = append(shed, ticket)
			default:
				running = append(running, ticket)
			}
		}
	}
}

// quarantine sends one request that kills again and again among innocent ones,
// to several backend servers. Few may die, and innocent requests that were once
// answered are not held. Without telling the others of deaths, more die.
func quarantine(t *rapid.T, broken bool) {
	const servers, most = 6, 2
	now := time.Unix(0, 0)
	var all []*backend.Quarantine
	for range servers {
		all = append(all, backend.NewQuarantine())
	}
	poison := backend.NewRequestKey("a", 666)
	deaths := 0
	for range 40 {
		now = now.Add(time.Second)
		at := rapid.IntRange(0, servers-1).Draw(t, "server")
		beside := backend.NewRequestKey("b", rapid.Uint64Range(1, 3).Draw(t, "beside"))
		if !all[at].Quarantined(now, poison) {
			deaths++
			for i, q := range all {
				if i == at || !broken {
					q.RecordCrash(now, poison)
					q.RecordCrash(now, beside)
				}
			}
		}
		for _, q := range all {
			q.RecordAnswer(beside)
			if q.Quarantined(now, beside) {
				t.Fatalf("an innocent request is held")
			}
		}
	}
	if deaths > most {
		t.Fatalf("%d backend servers died", deaths)
	}
}

func ExampleGate() {
	g := backend.NewGate(backend.NewAdaptiveWindow(4))
	now := time.Unix(0, 0)
	first, state := g.Submit(now, "kunde-1", 1, now.Add(time.Second))
	fmt.Println(states[state])
	second, state := g.Submit(now, "kunde-2", 1, now.Add(time.Second))
	fmt.Println(states[state])
	g.Resize(now, 4)
	g.Done(now, first, backend.Served)
	fmt.Println(states[g.State(second)], strconv.Itoa(g.Load().Running()))
	// Output:
	// running
	// waiting
	// running 1
}
