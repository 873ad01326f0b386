package backend_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lycheehead/lycheehead/internal/fuzz"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// TestQueue runs scripts against one queue. The name of a request begins with its
// class: n for a nested one, u for an urgent one, p for a plain one. The name is
// followed by the objective and the deadline, both relative to the arrival.
func TestQueue(t *testing.T) { runQueue(t, "testdata/queue") }

// TestQueueCalls guards against long requests that take all slots of a backend server which
// receives calls, and against slots that stay idle for calls that do not come.
func TestQueueCalls(t *testing.T) { runQueue(t, "testdata/calls") }

func runQueue(t *testing.T, script string) {
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		slots := 0
		d.ScanArgs(t, "slots", &slots)
		q := backend.NewQueue(backend.NewSlotWindow(slots), backend.NewRateLimiter(1.5, 5))
		now := time.Unix(0, 0)
		entries := make(map[string]*backend.Entry)
		var order []string
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			f := strings.Fields(line)
			switch f[0] {
			case "after":
				now = now.Add(duration(t, f[1]))
				q.Tick(now)
			case "arrive", "choosy":
				request := backend.NewRequest(priority(f[1]), f[1][:1], now.Add(duration(t, f[2])), now.Add(duration(t, f[3])))
				entries[f[1]], _, _ = q.Submit(now, request, f[0] == "choosy")
				order = append(order, f[1])
			case "served", "shed", "withdraw":
				for _, name := range f[1:] {
					endRequest(now, q, entries[name], f[0])
				}
			case "again": // again NAME: prints after what time a rejected request has room
				_, wait := q.State(entries[f[1]])
				fmt.Fprintf(&out, "%s: %s\n", line, wait.Round(time.Millisecond))
				continue
			case "calls": // calls RATE WORK: serves a second of calls that run for a time each
				now = serveCalls(now, q, f[1], duration(t, f[2]))
			case "cold":
				q.SetCold(now, now.Add(duration(t, f[1])), 10)
			case "close":
				q.SetClosed(true)
			default:
				t.Fatalf("unknown line %q", line)
			}
			fmt.Fprintf(&out, "%s:", line)
			for _, name := range order {
				if s, _ := q.State(entries[name]); s != backend.Finished {
					fmt.Fprintf(&out, " %s %s,", name, stateNames[s])
				}
			}
			fmt.Fprintln(&out)
		}
		return out.String()
	})
}

// serveCalls lets calls arrive at an even rate for a second, each of which runs at once, and
// returns the time of the last end.
func serveCalls(now time.Time, q *backend.Queue[*backend.SlotWindow], rate string, work time.Duration) time.Time {
	n, _ := strconv.Atoi(rate)
	for range n {
		e, _, _ := q.Submit(now, backend.NewRequest(caller.NewPriority(true, 0, 0), "n", now.Add(200*time.Millisecond), now.Add(600*time.Millisecond)), false)
		q.Done(now.Add(work), e, backend.Served)
		now = now.Add(time.Second / time.Duration(n))
	}
	return now
}

func endRequest(now time.Time, q *backend.Queue[*backend.SlotWindow], e *backend.Entry, how string) {
	switch how {
	case "served":
		q.Done(now, e, backend.Served)
	case "shed":
		q.Done(now, e, backend.Shed)
	case "withdraw":
		q.Cancel(e)
	}
}

func priority(name string) caller.Priority {
	route := 1
	if name[0] == 'u' {
		route = 0
	}
	return caller.NewPriority(name[0] == 'n', 0, route)
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestLoad checks properties of the queue under random load. The broken variants
// must violate them.
func TestLoad(t *testing.T) {
	fuzz.Run(t, "testdata/load", map[string]fuzz.Property{
		"cold":     coldBound,
		"overload": overload,
		"urgent":   urgent,
	})
}

// coldBound simulates a backend server that becomes cold and counts the requests that
// it receives in any second. The broken variant does not call SetCold.
func coldBound(t *rapid.T, broken bool) {
	const rate, over, slack = 32.0, 1.5, 5.0
	q := backend.NewQueue(backend.NewSlotWindow(9), backend.NewRateLimiter(1.5, 5))
	now := time.Unix(0, 0)
	var cold time.Time
	var sent []time.Time
	type run struct {
		entry *backend.Entry
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
			e, _, _ := q.Submit(now, backend.NewRequest(caller.NewPriority(false, 0, 0), "a", now.Add(time.Second), now.Add(2*time.Second)), false)
			waiting = append(waiting, e)
		}
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if now.Before(r.until) {
				return false
			}
			q.Done(now, r.entry, backend.Served)
			return true
		})
		q.Tick(now)
		waiting = slices.DeleteFunc(waiting, func(e *backend.Entry) bool {
			s, _ := q.State(e)
			if s == backend.Running {
				runs = append(runs, run{entry: e, until: now.Add(30 * time.Millisecond)})
				sent = append(sent, now)
			}
			return s != backend.Waiting
		})
		if len(runs) > 9 {
			t.Fatalf("%d requests running in 9 slots", len(runs))
		}
		sent = slices.DeleteFunc(sent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
		if now.Before(cold) && float64(len(sent)) > rate*over+slack {
			t.Fatalf("%d requests sent to a cold backend server within one second", len(sent))
		}
	}
}

// overload sends bursts of twice the capacity of a backend server, with callers that
// give up at their deadline. At least 90 % of the answers must meet their objective,
// and rejected requests must not have waited longer than half their deadline. The
// broken variant is a first-in, first-out queue that rejects requests only at their
// deadline.
func overload(t *rapid.T, broken bool) {
	const slots, work = 4, 50 * time.Millisecond
	const objective, deadline = 200 * time.Millisecond, 600 * time.Millisecond
	s := newSimulation(slots, broken)
	for step := range 4000 {
		arrivals := 0
		if step%100 < 50 && rapid.Bool().Draw(t, "arrivals") {
			arrivals = 2
		}
		for range arrivals {
			s.arrive(false, objective, deadline)
		}
		s.step(work)
	}
	if s.inTime < s.served*9/10 {
		t.Fatalf("%d of %d answers met their objective", s.inTime, s.served)
	}
	if s.maxWait > deadline/2 {
		t.Fatalf("request rejected after waiting %s", s.maxWait)
	}
}

// urgent mixes urgent requests into an overload of plain ones. At least 90 % of the
// urgent ones must be answered by their objective.
func urgent(t *rapid.T, broken bool) {
	const slots, work = 4, 50 * time.Millisecond
	s := newSimulation(slots, broken)
	for range 3000 {
		if rapid.IntRange(0, 3).Draw(t, "plain") > 0 {
			s.arrive(false, 200*time.Millisecond, 600*time.Millisecond)
		}
		if rapid.IntRange(0, 30).Draw(t, "urgent") == 0 {
			s.arrive(true, 200*time.Millisecond, 600*time.Millisecond)
		}
		s.step(work)
	}
	if s.urgentInTime < s.urgentTotal*9/10 {
		t.Fatalf("%d of %d urgent requests met their objective", s.urgentInTime, s.urgentTotal)
	}
}

// simRequest is a request in a simulation.
type simRequest struct {
	entry     *backend.Entry
	urgent    bool
	arrived   time.Time
	objective time.Time
	deadline  time.Time
	started   time.Time
}

// simulation sends requests with equal service times to a Queue or, if fifo is set,
// to a first-in, first-out queue.
type simulation struct {
	now                                       time.Time
	slots                                     int
	fifo                                      bool
	q                                         *backend.Queue[*backend.SlotWindow]
	waiting, running                          []*simRequest
	served, inTime, urgentTotal, urgentInTime int
	maxWait                                   time.Duration
}

func newSimulation(slots int, fifo bool) *simulation {
	return &simulation{now: time.Unix(0, 0), slots: slots, fifo: fifo, q: backend.NewQueue(backend.NewSlotWindow(slots), backend.NewRateLimiter(1.5, 5))}
}

func (s *simulation) arrive(urgent bool, objective, deadline time.Duration) {
	r := &simRequest{urgent: urgent, arrived: s.now, objective: s.now.Add(objective), deadline: s.now.Add(deadline)}
	if urgent {
		s.urgentTotal++
	}
	if !s.fifo {
		priority := caller.NewPriority(false, 0, 1)
		if urgent {
			priority = caller.NewPriority(false, 0, 0)
		}
		r.entry, _, _ = s.q.Submit(s.now, backend.NewRequest(priority, "a", r.objective, r.deadline), false)
	}
	s.waiting = append(s.waiting, r)
}

func (s *simulation) step(work time.Duration) {
	s.now = s.now.Add(5 * time.Millisecond)
	s.running = slices.DeleteFunc(s.running, func(r *simRequest) bool {
		if s.now.Sub(r.started) < work {
			return false
		}
		if !s.fifo {
			s.q.Done(s.now, r.entry, backend.Served)
		}
		s.served++
		if !s.now.After(r.objective) {
			s.inTime++
			if r.urgent {
				s.urgentInTime++
			}
		}
		return true
	})
	s.waiting = slices.DeleteFunc(s.waiting, func(r *simRequest) bool {
		switch s.state(r) {
		case backend.Running:
			r.started = s.now
			s.running = append(s.running, r)
		case backend.Waiting:
			return false
		default:
			s.maxWait = max(s.maxWait, s.now.Sub(r.arrived))
		}
		return true
	})
}

func (s *simulation) state(r *simRequest) backend.State {
	if !s.fifo {
		state, _ := s.q.State(r.entry)
		return state
	}
	switch {
	case !s.now.Before(r.deadline):
		return backend.Expired
	case len(s.running) < s.slots:
		return backend.Running
	}
	return backend.Waiting
}

func ExampleQueue() {
	q := backend.NewQueue(backend.NewSlotWindow(1), backend.NewRateLimiter(1.5, 5))
	now := time.Unix(0, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	plain := backend.NewRequest(caller.NewPriority(false, 0, 2), "read", in(time.Second), in(2*time.Second))
	urgent := backend.NewRequest(caller.NewPriority(false, 0, 0), "read", in(time.Second), in(2*time.Second))
	first, _, _ := q.Submit(now, plain, false)
	second, _, _ := q.Submit(now, plain, false)
	third, _, _ := q.Submit(now, urgent, false)
	q.Done(now, first, backend.Served)
	for _, e := range []*backend.Entry{second, third} {
		s, _ := q.State(e)
		fmt.Println(stateNames[s])
	}
	// Output:
	// waiting
	// running
}
