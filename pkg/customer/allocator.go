package customer

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// reserveFraction is the fraction of the shared part of a limit that is never
	// leased. It is lent in single tokens to daemons whose bucket is empty or that
	// cannot reach the daemon of their data centre which has the bucket.
	reserveFraction = 0.5
	// demandHeadroom is the ratio of the leased rate to the recent demand.
	demandHeadroom = 1.3
	// learningPeriod is how long a daemon that begins to allocate a limit collects
	// existing leases before it grants larger ones. It begins again after
	// idleTimeout without a request.
	learningPeriod = 1200 * time.Millisecond
	idleTimeout    = 2 * time.Second
)

// lease is the fraction of a limit that is granted to a daemon.
type lease struct {
	// need is the fraction that the daemon could use in addition to what its data
	// centre owns.
	need    float64
	granted float64
	// reported is the fraction that the daemon reported to hold.
	reported  float64
	renewedAt time.Time
}

// allocation is the state of one customer at an Allocator.
type allocation struct {
	leases  map[string]lease
	reserve bucket
	// unleased is the fraction that is not leased.
	unleased float64
	// startedAt is when this daemon began to allocate the limit, lastRequest the
	// time of the last request for a lease or token.
	startedAt, lastRequest time.Time
}

// learning reports whether another daemon may have granted leases that are not yet
// known here.
func (a *allocation) learning(now time.Time) bool {
	if a.lastRequest.IsZero() || now.Sub(a.lastRequest) > idleTimeout {
		a.startedAt = now
	}
	a.lastRequest = now
	return now.Sub(a.startedAt) < learningPeriod
}

// Allocator leases the part of each customer's limit that no data centre owns to
// daemons according to their demand. The sum of the leases and the reserve never
// exceeds that part: a lease grows only by what other daemons have returned or let
// expire. One daemon of a fleet allocates a customer's limit; its successor learns
// the existing leases from the daemons that hold them. An Allocator is safe for
// concurrent use. Use NewAllocator to create one.
type Allocator struct {
	bound       RateBound
	fullReserve bool
	customers   *table.Table[string, *allocation]
}

// NewAllocator returns an Allocator without leases. fullReserve states that no
// daemon of the fleet has admitted a request yet, so reserves may start full.
func NewAllocator(b RateBound, fullReserve bool) *Allocator {
	return &Allocator{bound: b, fullReserve: fullReserve, customers: table.New[string, *allocation](lock.Quotas)}
}

func newAllocation(p bucketParams) *allocation {
	return &allocation{leases: make(map[string]lease), unleased: p.shared()}
}

// Renew records a daemon's demand for a customer's tokens, in requests per second,
// and the fraction of the limit that it holds, as Quota.EachDemand returns them. It
// returns the fraction that is leased to the daemon from now on, from 0 to 1; the
// daemon passes it to Quota.SetLease. A lease must be renewed within 12 s.
func (a *Allocator) Renew(now time.Time, l Limit, daemon string, rate, held float64) float64 {
	var granted float64
	p := a.bound.bucketParams(l)
	a.customers.Update(l.name, func(c *allocation, ok bool) (*allocation, bool) {
		if !ok {
			c = newAllocation(p)
		}
		granted = c.renew(now, p, daemon, rate, held)
		return c, true
	})
	return granted
}

func (a *allocation) renew(now time.Time, p bucketParams, daemon string, rate, held float64) float64 {
	learning := a.learning(now)
	need := math.Max(0, rate*demandHeadroom/p.rate-p.owned)
	var others, othersNeed float64
	for d, l := range a.leases {
		if now.Sub(l.renewedAt) >= leaseTerm {
			delete(a.leases, d)
			continue
		}
		if d != daemon {
			// The last answer may have been lost, so the reported lease may still be in use.
			others += math.Max(l.granted, l.reported)
			othersNeed += decay(l.need, now.Sub(l.renewedAt), demandHalfLife)
		}
	}
	leasable := p.shared() * (1 - reserveFraction)
	granted := need
	if total := othersNeed + need; total > leasable {
		granted = leasable * need / total
	}
	if learning {
		granted = math.Min(granted, held)
	}
	granted = math.Max(0, math.Min(granted, leasable-others))
	a.unleased = math.Max(0, p.shared()-others-math.Max(granted, held))
	a.leases[daemon] = lease{need: need, granted: granted, reported: held, renewedAt: now}
	return granted
}

// LendReserve lends one token of a customer's reserve. If there is none, the grant is
// empty and states when to retry.
func (a *Allocator) LendReserve(now time.Time, l Limit) Grant {
	var g Grant
	p := a.bound.bucketParams(l)
	a.customers.Update(l.name, func(c *allocation, ok bool) (*allocation, bool) {
		if !ok {
			c = newAllocation(p)
		}
		fraction := c.unleased
		if c.learning(now) {
			fraction = p.shared() * reserveFraction
		}
		if a.fullReserve && c.reserve.updatedAt.IsZero() {
			c.reserve.tokens = p.size * p.shared() * reserveFraction
		}
		c.reserve.refill(now, p, fraction)
		g = Grant{count: c.reserve.take(1), validity: tokenValidity}
		if g.count == 0 {
			g.retryAfter = c.reserve.retryAfter(p, fraction)
		}
		return c, true
	})
	return g
}
