package customer

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// Limit is a customer's rate and burst limit across a number of data centres.
type Limit struct {
	name        string
	rate, burst float64
	centres     int
}

// NewLimit returns the limit of the customer named name, with a rate in requests per
// second, above 0, and a burst in requests, in a fleet with centres data centres. If
// that number is unknown (0), no data centre owns a fraction of the limit.
func NewLimit(name string, rate, burst float64, centres int) Limit {
	return Limit{name: name, rate: rate, burst: burst, centres: centres}
}

const (
	// leaseTerm is the time after which a lease expires unless it is renewed. Until
	// then the leased fraction is granted to no other daemon.
	leaseTerm = 12 * time.Second
	// demandHalfLife is the half-life of past demand.
	demandHalfLife = 2 * time.Second
	// reportThreshold is the fraction of the owned rate above which a data centre's
	// demand is reported, to obtain a lease.
	reportThreshold = 0.6
	// tokenValidity is how long after the request for them tokens may be spent.
	tokenValidity = 300 * time.Millisecond
)

// quotaState is the state of one customer at a Quota.
type quotaState struct {
	bucket bucket
	// demand is a decaying count of requests for tokens up to lastRequest.
	demand      float64
	lastRequest time.Time
	leased      float64
	leasedAt    time.Time
	// ownedRate is the rate of the fraction that the data centre owns.
	ownedRate float64
	// reserveEmptyUntil is the time before which the reserve is not asked.
	reserveEmptyUntil time.Time
}

// activeLease returns the leased fraction, or 0 if the lease has expired.
func (s *quotaState) activeLease(now time.Time) float64 {
	if now.Sub(s.leasedAt) >= leaseTerm {
		return 0
	}
	return s.leased
}

// demandRate returns the recent demand per second.
func (s *quotaState) demandRate(now time.Time) float64 {
	if s.lastRequest.IsZero() {
		return 0
	}
	return decay(s.demand, now.Sub(s.lastRequest), demandHalfLife) * math.Ln2 / demandHalfLife.Seconds()
}

// Quota lends the tokens of a data centre's fraction of each customer's limit. At any
// time, one daemon of the data centre should lend the tokens of a customer's bucket.
// The bucket fills at the rate of the fraction that the data centre owns plus the
// fraction leased to this daemon. Buckets start empty, so a daemon that loses its
// state in a restart does not exceed a limit. A Quota is safe for concurrent use. Use
// NewQuota to create one.
type Quota struct {
	bound     RateBound
	customers *table.Table[string, quotaState]
}

// NewQuota returns a Quota with empty buckets and no leases.
func NewQuota(b RateBound) *Quota {
	return &Quota{bound: b, customers: table.New[string, quotaState](lock.Quotas)}
}

// Lend lends up to n tokens of a customer's limit. since is the time at which this
// daemon began to lend the tokens that its data centre owns. If it is zero, another
// daemon of the data centre does so, and this one lends only from its lease. If no
// token is lent, askReserve reports whether the reserve may have one, to be obtained
// from Allocator.LendReserve at the daemon that allocates the limit.
func (q *Quota) Lend(now time.Time, l Limit, since time.Time, n int) (g Grant, askReserve bool) {
	p := q.bound.bucketParams(l)
	q.customers.Update(l.name, func(s quotaState, _ bool) (quotaState, bool) {
		s.demand, s.lastRequest = decay(s.demand, now.Sub(s.lastRequest), demandHalfLife)+1, now
		fraction := s.activeLease(now)
		s.ownedRate = 0
		if !since.IsZero() {
			fraction += p.owned
			s.ownedRate = p.owned * p.rate
			if s.bucket.updatedAt.Before(since) {
				s.bucket.updatedAt = since
			}
		}
		s.bucket.refill(now, p, fraction)
		g = Grant{count: s.bucket.take(n), validity: tokenValidity}
		if g.count == 0 {
			g.retryAfter = s.bucket.retryAfter(p, fraction)
			askReserve = !now.Before(s.reserveEmptyUntil)
		}
		return s, true
	})
	return g, askReserve
}

// MarkReserveEmpty records that the reserve of a customer has no token until
// retryAfter has passed. Until then, Lend does not return askReserve.
func (q *Quota) MarkReserveEmpty(now time.Time, name string, retryAfter time.Duration) {
	q.customers.Update(name, func(s quotaState, _ bool) (quotaState, bool) {
		s.reserveEmptyUntil = now.Add(retryAfter)
		return s, true
	})
}

// SetLease sets the fraction of a customer's limit that is leased to this daemon, as
// Allocator.Renew returned it, and returns the fraction that was leased before. The lease
// expires after 12 s unless it is set again.
func (q *Quota) SetLease(now time.Time, name string, fraction float64) (old float64) {
	q.customers.Update(name, func(s quotaState, _ bool) (quotaState, bool) {
		old = s.activeLease(now)
		s.leased, s.leasedAt = fraction, now
		return s, true
	})
	return old
}

// EachDemand calls visit for each customer that has a lease or needs one, because its
// demand is above 0.6 of the rate that the data centre owns. The arguments are the
// customer's name, the demand in requests per second and the leased fraction, for
// Allocator.Renew. visit must not call methods of q.
func (q *Quota) EachDemand(now time.Time, visit func(name string, rate, fraction float64)) {
	q.customers.Each(func(name string, s quotaState) {
		if rate, fraction := s.demandRate(now), s.activeLease(now); fraction > 0 || rate > reportThreshold*s.ownedRate && rate > 0 {
			visit(name, rate, fraction)
		}
	})
}

// Sweep removes the state of customers without a lease or a recent request. Without
// regular calls, it accumulates.
func (q *Quota) Sweep(now time.Time) {
	q.customers.Sweep(func(_ string, s quotaState) bool {
		return now.Sub(s.lastRequest) < 2*leaseTerm || s.activeLease(now) > 0
	})
}
