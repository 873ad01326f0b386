package backend_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/backend"
)

// TestQueue runs scripts against one queue. A request's name begins with its
// class: n for one that another request waits for, u for an urgent one, p for a
// plain one. Its objective and deadline follow, from its arrival.
func TestQueue(t *testing.T) {
	datadriven.RunTest(t, "testdata/queue", func(t *testing.T, d *datadriven.TestData) string {
		slots := 0
		d.ScanArgs(t, "slots", &slots)
		q := backend.NewQueue(backend.NewSlotWindow(slots), backend.NewRateLimiter(1.5, 5))
		now := time.Unix(0, 0)
		claims := make(map[string]*backend.Entry)
		var order []string
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			switch f[0] {
			case "after":
				now = now.Add(duration(t, f[1]))
				q.Tick(now)
			case "arrive", "choosy":
				demand := backend.NewRequest(rank(f[1]), f[1][:1], now.Add(duration(t, f[2])), now.Add(duration(t, f[3])))
				claims[f[1]], _, _ = q.Submit(now, demand, f[0] == "choosy")
				order = append(order, f[1])
			case "served", "shed", "withdraw":
				for _, name := range f[1:] {
					end(now, q, claims[name], f[0])
				}
			case "cold":
				q.SetCold(now, now.Add(duration(t, f[1])), 10)
			case "close":
				q.SetClosed(true)
			default:
				t.Fatalf("unknown line %q", line)
			}
			fmt.Fprintf(&out, "%s:", line)
			for _, name := range order {
				if s, _ := q.State(claims[name]); s != backend.Finished {
					fmt.Fprintf(&out, " %s %s,", name, states[s])
				}
			}
			fmt.Fprintln(&out)
		}
		return out.String()
	})
}

func end(now time.Time, q *backend.Queue[*backend.SlotWindow], c *backend.Entry, how string) {
	switch how {
	case "served":
		q.Done(now, c, backend.Served)
	case "shed":
		q.Done(now, c, backend.Shed)
	case "withdraw":
		q.Cancel(c)
	}
}

func rank(name string) backend.Priority {
	route := 1
	if name[0] == 'u' {
		route = 0
	}
	return backend.NewPriority(name[0] == 'n', 0, route)
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestLoad replays loads and compares with a queue that is first in, first out.
func TestLoad(t *testing.T) {
	fuzz.Run(t, "testdata/load", map[string]fuzz.Property{
		"cold":     coldBound,
		"overload": overload,
		"urgent":   urgent,
	})
}

// coldBound drives a queue whose backend server turns cold and counts what it
// gets in any second. broken ones never learn that it is cold.
func coldBound(t *rapid.T, broken bool) {
	const rate, over, slack = 32.0, 1.5, 5.0
	q := backend.NewQueue(backend.NewSlotWindow(9), backend.NewRateLimiter(1.5, 5))
	now := time.Unix(0, 0)
	var cold time.Time
	var sent []time.Time
	type run struct {
		claim *backend.Entry
		until time.Time
	}
	var runs []run
	var waiting []*backend.Entry
	for range rapid.IntRange(500, 2000).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "ms")) * time.Millisecond)
		if rapid.IntRange(0, 400).Draw(t, "restart") == 0 {
			cold = now.Add(3 * time.Second)
			sent = nil
			if !broken {
				q.SetCold(now, cold, rate)
			}
		}
		for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
			c, _, _ := q.Submit(now, backend.NewRequest(backend.NewPriority(false, 0, 0), "a", now.Add(time.Second), now.Add(2*time.Second)), false)
			waiting = append(waiting, c)
		}
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if now.Before(r.until) {
				return false
			}
			q.Done(now, r.claim, backend.Served)
			return true
		})
		q.Tick(now)
		waiting = slices.DeleteFunc(waiting, func(c *backend.Entry) bool {
			s, _ := q.State(c)
			if s == backend.Running {
				runs = append(runs, run{claim: c, until: now.Add(30 * time.Millisecond)})
				sent = append(sent, now)
			}
			return s != backend.Waiting
		})
		if len(runs) > 9 {
			t.Fatalf("%d run in 9 slots", len(runs))
		}
		sent = slices.DeleteFunc(sent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
		if now.Before(cold) && float64(len(sent)) > rate*over+slack {
			t.Fatalf("%d requests in a second to a cold backend server", len(sent))
		}
	}
}

// overload sends twice what a backend server bears, in bursts, with callers that
// give up at their deadline. Nearly all that it runs has to keep its objective,
// and nothing that is refused may have been held for long. broken is a queue
// that is first in, first out and refuses nothing before its deadline.
func overload(t *rapid.T, broken bool) {
	const slots, work = 4, 50 * time.Millisecond
	const objective, deadline = 200 * time.Millisecond, 600 * time.Millisecond
	p := newPlay(slots, broken)
	for step := range 4000 {
		arrivals := 0
		if step%100 < 50 && rapid.Bool().Draw(t, "arrivals") {
			arrivals = 2
		}
		for range arrivals {
			p.arrive(false, objective, deadline)
		}
		p.step(work)
	}
	if p.inTime < p.served*9/10 {
		t.Fatalf("%d of %d answers in time", p.inTime, p.served)
	}
	if p.heldMost > deadline/2 {
		t.Fatalf("refused after %s", p.heldMost)
	}
}

// urgent mixes urgent requests into an overload of plain ones. Nearly all urgent
// ones have to be answered in time.
func urgent(t *rapid.T, broken bool) {
	const slots, work = 4, 50 * time.Millisecond
	p := newPlay(slots, broken)
	for range 3000 {
		if rapid.IntRange(0, 3).Draw(t, "plain") > 0 {
			p.arrive(false, 200*time.Millisecond, 600*time.Millisecond)
		}
		if rapid.IntRange(0, 30).Draw(t, "urgent") == 0 {
			p.arrive(true, 200*time.Millisecond, 600*time.Millisecond)
		}
		p.step(work)
	}
	if p.urgentInTime < p.urgentAll*9/10 {
		t.Fatalf("%d of %d urgent requests in time", p.urgentInTime, p.urgentAll)
	}
}

// played is a request under way.
type played struct {
	claim     *backend.Entry
	urgent    bool
	arrived   time.Time
	objective time.Time
	deadline  time.Time
	started   time.Time
}

// play drives a queue, or a plain one, with requests that take the same time.
type play struct {
	now                                     time.Time
	slots                                   int
	plain                                   bool
	q                                       *backend.Queue[*backend.SlotWindow]
	waiting, running                        []*played
	served, inTime, urgentAll, urgentInTime int
	heldMost                                time.Duration
}

func newPlay(slots int, plain bool) *play {
	return &play{now: time.Unix(0, 0), slots: slots, plain: plain, q: backend.NewQueue(backend.NewSlotWindow(slots), backend.NewRateLimiter(1.5, 5))}
}

func (p *play) arrive(urgent bool, objective, deadline time.Duration) {
	r := &played{urgent: urgent, arrived: p.now, objective: p.now.Add(objective), deadline: p.now.Add(deadline)}
	if urgent {
		p.urgentAll++
	}
	if !p.plain {
		rank := backend.NewPriority(false, 0, 1)
		if urgent {
			rank = backend.NewPriority(false, 0, 0)
		}
		r.claim, _, _ = p.q.Submit(p.now, backend.NewRequest(rank, "a", r.objective, r.deadline), false)
	}
	p.waiting = append(p.waiting, r)
}

func (p *play) step(work time.Duration) {
	p.now = p.now.Add(5 * time.Millisecond)
	p.running = slices.DeleteFunc(p.running, func(r *played) bool {
		if p.now.Sub(r.started) < work {
			return false
		}
		if !p.plain {
			p.q.Done(p.now, r.claim, backend.Served)
		}
		p.served++
		if !p.now.After(r.objective) {
			p.inTime++
			if r.urgent {
				p.urgentInTime++
			}
		}
		return true
	})
	p.waiting = slices.DeleteFunc(p.waiting, func(r *played) bool {
		switch p.state(r) {
		case backend.Running:
			r.started = p.now
			p.running = append(p.running, r)
		case backend.Waiting:
			return false
		default:
			p.heldMost = max(p.heldMost, p.now.Sub(r.arrived))
		}
		return true
	})
}

func (p *play) state(r *played) backend.State {
	if !p.plain {
		s, _ := p.q.State(r.claim)
		return s
	}
	switch {
	case !p.now.Before(r.deadline):
		return backend.Expired
	case len(p.running) < p.slots:
		return backend.Running
	}
	return backend.Waiting
}

func ExampleQueue() {
	q := backend.NewQueue(backend.NewSlotWindow(1), backend.NewRateLimiter(1.5, 5))
	now := time.Unix(0, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	plain := backend.NewRequest(backend.NewPriority(false, 0, 2), "read", in(time.Second), in(2*time.Second))
	urgent := backend.NewRequest(backend.NewPriority(false, 0, 0), "read", in(time.Second), in(2*time.Second))
	first, _, _ := q.Submit(now, plain, false)
	second, _, _ := q.Submit(now, plain, false)
	third, _, _ := q.Submit(now, urgent, false)
	q.Done(now, first, backend.Served)
	for _, c := range []*backend.Entry{second, third} {
		s, _ := q.State(c)
		fmt.Println(states[s])
	}
	// Output:
	// waiting
	// running
}
