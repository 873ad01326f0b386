package backend

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// State is where a request is at the gate.
type State uint8

// The states.
const (
	// Waiting: the request is in the queue.
	Waiting State = iota
	// Running: the request has been admitted and is to be ended with Done.
	Running
	// Overloaded: the request was refused for load.
	Overloaded
	// Expired: the request's deadline passed in the queue.
	Expired
	// Closed: the gate takes no more requests.
	Closed
	// Finished: the request has been withdrawn or has ended.
	Finished
)

// Ticket is a request at the gate.
type Ticket struct {
	customer string
	deadline time.Time
	state    State
	full     bool
	moved    chan struct{}
}

// Decided is closed once the ticket no longer waits.
func (t *Ticket) Decided() <-chan struct{} { return t.moved }

// line is the queue of one customer.
type line struct {
	weight  float64
	clock   float64
	waiting []*Ticket
}

// Gate admits requests to one backend server. Make one with NewGate.
type Gate[W Window] struct {
	// mu, of rank lock.Gate, guards what follows.
	mu      *lock.Mutex
	window  W
	lines   map[string]*line
	clock   float64
	running int
	waiting int
	slots   int
	closed  bool
}

// NewGate returns an empty gate with a window.
func NewGate[W Window](window W) *Gate[W] {
	return &Gate[W]{mu: lock.New(lock.Gate), window: window, lines: make(map[string]*line)}
}

// Submit takes in a request of a customer with a weight. The ticket runs or
// waits, or has been refused.
func (g *Gate[W]) Submit(now time.Time, customer string, weight int, deadline time.Time) (*Ticket, State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{customer: customer, deadline: deadline, moved: make(chan struct{})}
	l := g.line(customer, weight)
	switch {
	case g.closed:
		t.move(Closed)
	case !now.Before(deadline):
		t.move(Expired)
	case g.running < g.window.Size() && g.waiting == 0:
		g.admit(t, l)
	case g.waiting < g.room():
		g.queue(t, l)
	default:
		g.crowd(t, l)
	}
	return t, t.state
}

// room is how many requests may wait: one for each slot, so that with a full
// window the wait is about as long as a request takes.
func (g *Gate[W]) room() int { return max(g.window.Size(), g.slots) }

func (g *Gate[W]) line(customer string, weight int) *line {
	l, ok := g.lines[customer]
	if !ok {
		l = &line{}
		g.lines[customer] = l
	}
	l.weight = float64(max(weight, 1))
	if len(l.waiting) == 0 {
		// A customer that was idle has saved nothing up.
		l.clock = math.Max(l.clock, g.clock)
	}
	return l
}

func (g *Gate[W]) admit(t *Ticket, l *line) {
	g.running++
	t.full = g.running >= g.window.Size()
	l.clock += 1 / l.weight
	g.clock = math.Max(g.clock, l.clock-1/l.weight)
	t.move(Running)
}

func (g *Gate[W]) queue(t *Ticket, l *line) {
	l.waiting = append(l.waiting, t)
	g.waiting++
}

// crowd handles an arrival at a full queue. The customer with the longest line
// for its weight loses its newest request, be it the arrival or another's.
func (g *Gate[W]) crowd(t *Ticket, l *line) {
	longest := l
	most := float64(len(l.waiting)+1) / l.weight
	for _, other := range g.lines {
		if n := float64(len(other.waiting)) / other.weight; n > most {
			longest, most = other, n
		}
	}
	if longest == l {
		t.move(Overloaded)
		return
	}
	last := len(longest.waiting) - 1
	longest.waiting[last].move(Overloaded)
	longest.waiting = longest.waiting[:last]
	g.waiting--
	g.queue(t, l)
}

func (t *Ticket) move(s State) {
	t.state = s
	close(t.moved)
}

// State returns where a ticket is.
func (g *Gate[W]) State(t *Ticket) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.state
}

// Done ends a ticket that runs and admits the next.
func (g *Gate[W]) Done(now time.Time, t *Ticket, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != Running {
		return
	}
	t.state = Finished
	g.running--
	g.window.RequestEnded(now, r, t.full)
	g.next(now)
}

// Cancel takes back a ticket whose caller gave up. One that runs by now has
// to be ended with Done; Cancel then returns false.
func (g *Gate[W]) Cancel(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case Running:
		return false
	case Waiting:
		g.drop(t)
		t.move(Finished)
	}
	return true
}

func (g *Gate[W]) drop(t *Ticket) {
	l := g.lines[t.customer]
	for i, w := range l.waiting {
		if w == t {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			g.waiting--
			return
		}
	}
}

// next admits waiting requests while the window has room, the customer that
// has had the least for its weight first.
func (g *Gate[W]) next(now time.Time) {
	for g.running < g.window.Size() && g.waiting > 0 {
		l := g.least()
		t := l.waiting[0]
		l.waiting = l.waiting[1:]
		g.waiting--
		if !now.Before(t.deadline) {
			t.move(Expired)
			continue
		}
		g.admit(t, l)
	}
}

func (g *Gate[W]) least() *line {
	var least *line
	for _, l := range g.lines {
		if len(l.waiting) > 0 && (least == nil || l.clock < least.clock) {
			least = l
		}
	}
	return least
}

// Restarted notes that the backend server has, or may have, started anew.
func (g *Gate[W]) Restarted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window.Restarted(now)
}

// Resize sets how many requests the backend server runs at most.
func (g *Gate[W]) Resize(now time.Time, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.window.Resize(slots)
	g.next(now)
}

// Close refuses all that waits and all that comes. What runs goes on.
func (g *Gate[W]) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, l := range g.lines {
		for _, t := range l.waiting {
			t.move(Closed)
		}
		l.waiting = nil
	}
	g.waiting = 0
}

// Load returns the gate's load.
func (g *Gate[W]) Load() upstream.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return upstream.NewLoad(g.running, g.waiting, g.window.Size())
}
