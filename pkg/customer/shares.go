package customer

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// reservePart is the part of what no data centre owns that is never leased:
	// single tokens for daemons whose bucket is empty, or that cannot reach the
	// one which keeps it.
	reservePart = 0.5
	// headroom is how much more than was asked for lately is leased.
	headroom = 1.3
	// learnFor is how long a daemon that begins to split a limit listens to what
	// others hold before it grants more, and idleGap the time without a question
	// after which it begins anew.
	learnFor = 1200 * time.Millisecond
	idleGap  = 2 * time.Second
)

// lease is a daemon's part of a limit.
type lease struct {
	// need is the part that the daemon could use beyond what its data centre owns.
	need float64
	part float64
	// held is the part that the daemon said it had.
	held float64
	at   time.Time
}

// split is how the part of one customer's limit is split that no data centre owns.
type split struct {
	leases  map[string]lease
	reserve bucket
	// unleased is the part that is not leased.
	unleased float64
	// since is when this daemon began to split the limit, and last when it was
	// asked last.
	since, last time.Time
}

// learning says whether there may be leases of another daemon's making that are
// not known yet.
func (v *split) learning(now time.Time) bool {
	if v.last.IsZero() || now.Sub(v.last) > idleGap {
		v.since = now
	}
	v.last = now
	return now.Sub(v.since) < learnFor
}

// Allocator splits between daemons, by their demand, the part of each customer's
// limit that no data centre owns. The sum of the leased parts, with the reserve,
// never exceeds it: a lease grows only by what others have given back or let
// lapse. One daemon of a fleet splits a customer's limit; a new one learns from
// the others what they hold. Make one with NewShares.
type Allocator struct {
	window    Window
	full      bool
	customers *table.Table[string, *split]
}

// NewAllocator returns shares of which nothing is leased. full says that no daemon
// of the fleet has let any request pass before, so that reserves begin full.
func NewAllocator(w Window, full bool) *Allocator {
	return &Allocator{window: w, full: full, customers: table.New[string, *split](lock.Quotas)}
}

func newSplit(f flow) *split {
	return &split{leases: make(map[string]lease), unleased: f.shared()}
}

// Renew notes what a daemon asks for of a customer, in tokens per second, and the
// part that it holds, and returns the part that it is leased from now on.
func (s *Allocator) Renew(now time.Time, l Limit, daemon string, rate, held float64) float64 {
	var part float64
	f := s.window.flow(l)
	s.customers.Update(l.name, func(v *split, ok bool) (*split, bool) {
		if !ok {
			v = newSplit(f)
		}
		part = v.tell(now, f, daemon, rate, held)
		return v, true
	})
	return part
}

func (v *split) tell(now time.Time, f flow, daemon string, rate, held float64) float64 {
	learning := v.learning(now)
	need := math.Max(0, rate*headroom/f.rate-f.fixed)
	var others, needs float64
	for d, l := range v.leases {
		if now.Sub(l.at) >= leaseTerm {
			delete(v.leases, d)
			continue
		}
		if d != daemon {
			// An answer may have been lost: what it held may still be in use.
			others += math.Max(l.part, l.held)
			needs += decay(l.need, now.Sub(l.at), demandHalfLife)
		}
	}
	leasable := f.shared() * (1 - reservePart)
	part := need
	if all := needs + need; all > leasable {
		part = leasable * need / all
	}
	if learning {
		part = math.Min(part, held)
	}
	part = math.Max(0, math.Min(part, leasable-others))
	v.unleased = math.Max(0, f.shared()-others-math.Max(part, held))
	v.leases[daemon] = lease{need: need, part: part, held: held, at: now}
	return part
}

// LendReserve takes a token of the reserve of a customer, if there is one, and else says
// when to ask again.
func (s *Allocator) LendReserve(now time.Time, l Limit) Grant {
	var g Grant
	f := s.window.flow(l)
	s.customers.Update(l.name, func(v *split, ok bool) (*split, bool) {
		if !ok {
			v = newSplit(f)
		}
		part := v.unleased
		if v.learning(now) {
			part = f.shared() * reservePart
		}
		if s.full && v.reserve.last.IsZero() {
			v.reserve.tokens = f.most * f.shared() * reservePart
		}
		v.reserve.fill(now, f, part)
		g = Grant{count: v.reserve.take(1), validity: lentFor}
		if g.count == 0 {
			g.again = v.reserve.again(f, part)
		}
		return v, true
	})
	return g
}
