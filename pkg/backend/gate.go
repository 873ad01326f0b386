package backend

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// State is the state of a request at a Gate or a Queue.
type State uint8

const (
	// Waiting means that the request is queued.
	Waiting State = iota
	// Running means that the request has been admitted. The caller must end it
	// with Done.
	Running
	// Overloaded means that the request was rejected because of load.
	Overloaded
	// Expired means that the request was rejected because its deadline had passed or,
	// at a Queue, could no longer be met.
	Expired
	// Closed means that the request was rejected because the Gate or Queue has been
	// closed.
	Closed
	// Finished means that the request was cancelled or has ended.
	Finished
)

// Ticket represents a request at a Gate. Only Submit creates tickets.
type Ticket struct {
	customer   string
	deadline   time.Time
	state      State
	windowFull bool
	decided    chan struct{}
}

// Decided returns a channel that is closed once the request no longer waits. Then
// Gate.State returns the decision.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// customerQueue holds the waiting requests of one customer. Its virtual time
// advances by 1/weight per admitted request, as in weighted fair queueing.
type customerQueue struct {
	weight      float64
	virtualTime float64
	waiting     []*Ticket
}

// Gate controls the admission of requests to one backend server. It is safe for
// concurrent use. Use NewGate to create one.
type Gate[W Window] struct {
	// mu has rank lock.Gate and guards the fields below.
	mu          *lock.Mutex
	window      W
	queues      map[string]*customerQueue
	virtualTime float64
	running     int
	waiting     int
	slots       int
	closed      bool
}

// NewGate returns an empty gate with the given window, which the caller must not use
// any more.
func NewGate[W Window](window W) *Gate[W] {
	return &Gate[W]{mu: lock.New(lock.Gate), window: window, queues: make(map[string]*customerQueue)}
}

// Submit admits, queues or rejects a request of a customer. The weight is the
// customer's share relative to other customers; a weight below 1 has the effect of 1.
// If the state is Running, the caller must end the request with Done. If it is
// Waiting, the caller waits for the ticket to be decided, or calls Cancel. A request
// whose deadline passes while it waits is rejected only when its turn comes.
func (g *Gate[W]) Submit(now time.Time, customer string, weight int, deadline time.Time) (*Ticket, State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{customer: customer, deadline: deadline, decided: make(chan struct{})}
	q := g.queueFor(customer, weight)
	switch {
	case g.closed:
		t.decide(Closed)
	case !now.Before(deadline):
		t.decide(Expired)
	case g.running < g.window.Size() && g.waiting == 0:
		g.admit(t, q)
	case g.waiting < g.queueCapacity():
		g.enqueue(t, q)
	default:
		g.enqueueFull(t, q)
	}
	return t, t.state
}

// queueCapacity returns how many requests may wait: one per slot, so that with a
// full window the wait is about as long as one request takes.
func (g *Gate[W]) queueCapacity() int { return max(g.window.Size(), g.slots) }

func (g *Gate[W]) queueFor(customer string, weight int) *customerQueue {
	q, ok := g.queues[customer]
	if !ok {
		q = &customerQueue{}
		g.queues[customer] = q
	}
	q.weight = float64(max(weight, 1))
	if len(q.waiting) == 0 {
		// An idle customer accumulates no credit.
		q.virtualTime = math.Max(q.virtualTime, g.virtualTime)
	}
	return q
}

func (g *Gate[W]) admit(t *Ticket, q *customerQueue) {
	g.running++
	t.windowFull = g.running >= g.window.Size()
	q.virtualTime += 1 / q.weight
	g.virtualTime = math.Max(g.virtualTime, q.virtualTime-1/q.weight)
	t.decide(Running)
}

func (g *Gate[W]) enqueue(t *Ticket, q *customerQueue) {
	q.waiting = append(q.waiting, t)
	g.waiting++
}

// enqueueFull adds a request to a full queue. It rejects the newest request of the
// customer whose queue is longest relative to its weight, which may be the added
// request itself.
func (g *Gate[W]) enqueueFull(t *Ticket, q *customerQueue) {
	longest := q
	most := float64(len(q.waiting)+1) / q.weight
	for _, other := range g.queues {
		if n := float64(len(other.waiting)) / other.weight; n > most {
			longest, most = other, n
		}
	}
	if longest == q {
		t.decide(Overloaded)
		return
	}
	last := len(longest.waiting) - 1
	longest.waiting[last].decide(Overloaded)
	longest.waiting = longest.waiting[:last]
	g.waiting--
	g.enqueue(t, q)
}

func (t *Ticket) decide(s State) {
	t.state = s
	close(t.decided)
}

// State returns the state of a ticket.
func (g *Gate[W]) State(t *Ticket) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.state
}

// Done ends a running request and admits waiting ones. It has no effect on a request
// in any other state.
func (g *Gate[W]) Done(now time.Time, t *Ticket, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != Running {
		return
	}
	t.state = Finished
	g.running--
	g.window.RecordEnd(now, r, t.windowFull)
	g.admitWaiting(now)
}

// Cancel removes a request whose caller gave up. It returns false if the request
// is already running, in which case the caller must end it with Done.
func (g *Gate[W]) Cancel(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case Running:
		return false
	case Waiting:
		g.removeWaiting(t)
		t.decide(Finished)
	}
	return true
}

func (g *Gate[W]) removeWaiting(t *Ticket) {
	q := g.queues[t.customer]
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			g.waiting--
			return
		}
	}
}

// admitWaiting admits waiting requests while the window has room, starting with
// the customer that has received the least service relative to its weight.
func (g *Gate[W]) admitWaiting(now time.Time) {
	for g.running < g.window.Size() && g.waiting > 0 {
		q := g.leastServed()
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		g.waiting--
		if !now.Before(t.deadline) {
			t.decide(Expired)
			continue
		}
		g.admit(t, q)
	}
}

func (g *Gate[W]) leastServed() *customerQueue {
	var least *customerQueue
	for _, q := range g.queues {
		if len(q.waiting) > 0 && (least == nil || q.virtualTime < least.virtualTime) {
			least = q
		}
	}
	return least
}

// RecordRestart records that the backend server has, or may have, restarted.
func (g *Gate[W]) RecordRestart(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window.RecordRestart(now)
}

// Resize sets the number of slots: the maximum number of requests that the backend
// server runs concurrently. It must be at least 1. It also bounds the number of
// waiting requests.
func (g *Gate[W]) Resize(now time.Time, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.window.Resize(slots)
	g.admitWaiting(now)
}

// Close rejects all waiting and all future requests. Running requests continue.
func (g *Gate[W]) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, q := range g.queues {
		for _, t := range q.waiting {
			t.decide(Closed)
		}
		q.waiting = nil
	}
	g.waiting = 0
}

// Load returns the numbers of running and waiting requests and the size of the
// window.
func (g *Gate[W]) Load() upstream.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return upstream.NewLoad(g.running, g.waiting, g.window.Size())
}
