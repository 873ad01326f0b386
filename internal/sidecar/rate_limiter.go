package sidecar

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// demandInterval is the interval between two reports of customer demand.
	demandInterval = 700 * time.Millisecond
	// borrowTimeout bounds the wait for tokens from the owner of a bucket, which
	// delays a request. A daemon on a machine with little spare CPU time takes some
	// tenths of a second to answer.
	borrowTimeout = 300 * time.Millisecond
	// reserveTimeout bounds the wait for a token of the reserve, which is requested
	// if the owner did not answer.
	reserveTimeout = 150 * time.Millisecond
	// maxWaitFraction bounds each of these two waits to a fraction of the time that
	// remains until the request's deadline.
	maxWaitFraction = 0.2
	// leavingTTL is how long a daemon is treated as leaving after it announced that
	// it stops, unless a later message withdraws this.
	leavingTTL = 6 * time.Second
	// isolationTimeout is the time without a message from any other daemon of its
	// data centre after which a daemon considers itself isolated. Another daemon may
	// own its buckets then.
	isolationTimeout = 2500 * time.Millisecond
	// ownershipDelay is the time from when a daemon first learns of the fleet's daemons
	// until it may own buckets. Until the others have received its messages, they may
	// treat it as leaving, and another daemon as the owner of its buckets.
	ownershipDelay = 300 * time.Millisecond
)

// rateLimiter enforces the customers' limits together with the other daemons. Each
// data centre owns a fixed fraction of a customer's limit. For each customer, one
// daemon of the data centre, the bucket owner, keeps the token bucket for this
// fraction and lends tokens to the other daemons.
//
// One daemon of the fleet, the customer's lessor, manages the part of the limit that
// no data centre owns. It leases fractions of it to bucket owners according to their
// demand. It also keeps a small reserve, from which daemons borrow when the bucket
// owner does not answer or has no tokens left.
type rateLimiter struct {
	*fleetState
	peers exchanger
	// self is this daemon's IP address, by which daemons identify each other.
	self, centre string
	// centreCount is the number of data centres.
	centreCount int
	quota       *customer.Quota
	allocator   *customer.Allocator
	tokenCache  *customer.TokenCache
	ctx         context.Context //nolint:containedctx // the daemon's context, for background work
	detector    *failureDetector
	// newMessage returns a control message to send, and receive processes a received
	// one.
	newMessage func() *schema.Exchange
	receive    func(now time.Time, m *schema.Exchange) bool
	membership atomic.Pointer[membership]
	// leavingUntil holds the daemons that announced that they stop, and the time
	// until which they are treated as leaving.
	leavingUntil *table.Table[string, time.Time]
	// leaving reports whether this daemon is about to stop.
	leaving func() bool
	// lastMessageAt is when a message from another daemon of the data centre was
	// last received, in nanoseconds since startedAt.
	lastMessageAt atomic.Int64
}

// membership is the set of daemons that enforce limits.
type membership struct {
	// all are the live daemons of the fleet, and inCentre those of this data centre
	// that are not leaving.
	inCentre, all []string
	// centrePeers are the daemons in inCentre except this one.
	centrePeers map[string]bool
	// changedAt is the last time at which inCentre changed or this daemon ceased to
	// be isolated.
	changedAt time.Time
	// firstSeenAt is when this daemon first learned of the fleet's daemons.
	firstSeenAt time.Time
}

func newLeavingTable() *table.Table[string, time.Time] {
	return table.New[string, time.Time](lock.Members)
}

// updateMembership recomputes the membership from the published hosts and the
// daemons that are leaving.
func (l *rateLimiter) updateMembership(now time.Time) {
	m := &membership{centrePeers: make(map[string]bool)}
	for _, h := range l.fleet.Hosts() {
		if !h.Live() {
			continue
		}
		m.all = append(m.all, h.IP())
		if h.Centre() != l.centre || l.isLeaving(now, h.IP()) {
			continue
		}
		m.inCentre = append(m.inCentre, h.IP())
		if h.IP() != l.self {
			m.centrePeers[h.IP()] = true
		}
	}
	m.changedAt, m.firstSeenAt = now, now
	if old := l.membership.Load(); old != nil {
		m.firstSeenAt = old.firstSeenAt
		if slices.Equal(old.inCentre, m.inCentre) {
			m.changedAt = old.changedAt
		}
	}
	l.membership.Store(m)
}

func (l *rateLimiter) isLeaving(now time.Time, daemon string) bool {
	if daemon == l.self {
		return l.leaving()
	}
	until, ok := l.leavingUntil.Get(daemon)
	return ok && now.Before(until)
}

// recordMessage records that a message from a daemon was received, and whether that
// daemon is about to stop.
func (l *rateLimiter) recordMessage(now time.Time, daemon string, leaving bool) {
	wasLeaving := l.isLeaving(now, daemon)
	if leaving || wasLeaving {
		l.leavingUntil.Update(daemon, func(time.Time, bool) (time.Time, bool) { return now.Add(leavingTTL), leaving })
	}
	if leaving != wasLeaving {
		l.updateMembership(now)
	}
	m := l.membership.Load()
	if m == nil || !m.centrePeers[daemon] {
		return
	}
	if l.isolated(now, m) {
		next := *m
		next.changedAt = now
		l.membership.CompareAndSwap(m, &next)
	}
	l.lastMessageAt.Store(int64(now.Sub(l.startedAt)))
}

// isolated reports whether this daemon has received no message from any other daemon
// of its data centre for isolationTimeout, so that it may be partitioned from them.
func (l *rateLimiter) isolated(now time.Time, m *membership) bool {
	return len(m.centrePeers) > 0 && now.Sub(l.startedAt)-time.Duration(l.lastMessageAt.Load()) > isolationTimeout
}

// bucketOwner returns the daemon of the data centre that owns a customer's token
// bucket, chosen by rendezvous hashing.
func (l *rateLimiter) bucketOwner(name string) string {
	m := l.membership.Load()
	if m == nil || len(m.inCentre) == 0 {
		return l.self
	}
	return peer.Top(name, m.inCentre, 1)[0]
}

// lessor returns the daemon of the fleet that leases parts of a customer's limit,
// chosen by rendezvous hashing.
func (l *rateLimiter) lessor(name string) string {
	m := l.membership.Load()
	if m == nil || len(m.all) == 0 {
		return l.self
	}
	return peer.Top(name, m.all, 1)[0]
}

// ownedSince returns when this daemon became the owner of a customer's bucket, or
// the zero time if it is not the owner.
func (l *rateLimiter) ownedSince(now time.Time, name string) time.Time {
	m := l.membership.Load()
	if m == nil || l.leaving() || l.bucketOwner(name) != l.self || !slices.Contains(m.inCentre, l.self) || l.isolated(now, m) {
		return time.Time{}
	}
	earliest := m.firstSeenAt.Add(ownershipDelay)
	switch {
	case now.Before(earliest):
		return time.Time{}
	case m.changedAt.Before(earliest):
		return earliest
	}
	return m.changedAt
}

// limitOf returns a customer's limit in the current configuration.
func (l *rateLimiter) limitOf(name string) (customer.Limit, bool) {
	cfg := l.config.Load()
	if cfg == nil {
		return customer.Limit{}, false
	}
	c, ok := cfg.Customer(name)
	return customer.NewLimit(name, c.Rate(), c.Burst(), l.centreCount), ok
}

// allow returns ReasonNone if a request of a customer is within its limit.
// Otherwise it returns the reason for a refusal and the time after which the caller
// may retry.
func (l *rateLimiter) allow(ctx context.Context, name string) (caller.Reason, time.Duration) {
	now := time.Now()
	t := l.tokenCache.Take(now, name)
	switch {
	case t.OK() && t.FetchCount() > 0:
		l.events.spawn(func() { l.prefetch(name, t.FetchCount()) })
		return caller.ReasonNone, 0
	case t.OK():
		return caller.ReasonNone, 0
	case t.FetchCount() > 0:
		return l.acquire(ctx, now, name, t.FetchCount(), 1)
	case t.OverLimit():
		return caller.ReasonRateLimited, t.RetryAfter()
	}
	return caller.ReasonLimitUnknown, t.RetryAfter()
}

// prefetch borrows tokens for future requests.
func (l *rateLimiter) prefetch(name string, n int) { _, _ = l.acquire(l.ctx, time.Now(), name, n, 0) }

// acquire borrows n tokens for the cache, of which spent are spent at once. If no
// token was granted, it returns the reason and the time after which the caller may
// retry.
func (l *rateLimiter) acquire(ctx context.Context, now time.Time, name string, n, spent int) (caller.Reason, time.Duration) {
	g, reason := l.borrow(ctx, now, name, n)
	l.tokenCache.AddGrant(now, name, g, min(spent, g.Count()), spent == 0)
	if g.Count() > 0 {
		return caller.ReasonNone, 0
	}
	l.tokenCache.MarkEmpty(time.Now(), name, g.RetryAfter(), reason == caller.ReasonRateLimited)
	return reason, g.RetryAfter()
}

// borrow requests tokens from the owner of the bucket, or from the reserve if
// the owner does not answer.
func (l *rateLimiter) borrow(ctx context.Context, now time.Time, name string, n int) (customer.Grant, caller.Reason) {
	owner := l.bucketOwner(name)
	if owner == l.self {
		return l.lend(ctx, now, name, n)
	}
	grant, err := l.requestTokens(ctx, owner, borrowTimeout, name, n, false)
	if err == nil {
		return decodeGrant(grant)
	}
	l.events.stateChange("bucket owner did not answer", "customer", name, "at", owner, "error", err.Error())
	return l.borrowReserve(ctx, now, name)
}

// lend takes tokens from the bucket of this daemon, or one token from the reserve
// if the bucket is empty.
func (l *rateLimiter) lend(ctx context.Context, now time.Time, name string, n int) (customer.Grant, caller.Reason) {
	limit, ok := l.limitOf(name)
	if !ok {
		return customer.Grant{}, caller.ReasonLimitUnknown
	}
	g, tryReserve := l.quota.Lend(now, limit, l.ownedSince(now, name), n)
	if !tryReserve {
		return g, caller.ReasonRateLimited
	}
	r, reason := l.borrowReserve(ctx, now, name)
	if r.Count() > 0 {
		return r, caller.ReasonNone
	}
	l.quota.MarkReserveEmpty(time.Now(), name, r.RetryAfter())
	return g, reason
}

// borrowReserve requests a token of a customer's reserve from the lessor.
func (l *rateLimiter) borrowReserve(ctx context.Context, now time.Time, name string) (customer.Grant, caller.Reason) {
	lessor := l.lessor(name)
	if lessor == l.self {
		return l.lendReserve(now, name)
	}
	grant, err := l.requestTokens(ctx, lessor, reserveTimeout, name, 1, true)
	if err != nil {
		l.events.stateChange("reserve lessor did not answer", "customer", name, "at", lessor, "error", err.Error())
		return customer.NewGrant(0, 0, reserveTimeout), caller.ReasonLimitUnknown
	}
	return decodeGrant(grant)
}

func (l *rateLimiter) lendReserve(now time.Time, name string) (customer.Grant, caller.Reason) {
	limit, ok := l.limitOf(name)
	if !ok {
		return customer.Grant{}, caller.ReasonLimitUnknown
	}
	return l.allocator.LendReserve(now, limit), caller.ReasonRateLimited
}

var errUnreachable = errors.New("daemon is marked unreachable")

// requestTokens requests tokens from another daemon. It fails at once if that daemon
// is marked as unreachable, so that the request is not delayed. The failureDetector
// removes the mark once the daemon answers again.
func (l *rateLimiter) requestTokens(ctx context.Context, daemon string, timeout time.Duration, name string, n int, reserve bool) (*schema.TokenGrant, error) {
	if l.detector.unreachable(daemon) {
		return nil, errUnreachable
	}
	m := l.newMessage()
	m.SetBorrow(schema.TokenRequest_builder{
		Customer: proto.String(name),
		Tokens:   proto.Uint32(uint32(n)),
		Reserve:  proto.Bool(reserve),
	}.Build())
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Duration(float64(time.Until(deadline))*maxWaitFraction))
	}
	answer, err := l.peers.exchange(ctx, daemon, timeout, m)
	if err != nil {
		if ctx.Err() == nil {
			l.events.spawn(func() { l.detector.checkReachable(daemon) })
		}
		return nil, err //nolint:wrapcheck // the caller logs what was requested
	}
	l.receive(time.Now(), answer)
	return answer.GetLent(), nil
}

// handleTokenRequest answers another daemon's request for tokens.
func (l *rateLimiter) handleTokenRequest(now time.Time, r *schema.TokenRequest) *schema.TokenGrant {
	var g customer.Grant
	var reason caller.Reason
	if r.GetReserve() {
		g, reason = l.lendReserve(now, r.GetCustomer())
	} else {
		g, reason = l.lend(l.ctx, now, r.GetCustomer(), int(r.GetTokens()))
	}
	return schema.TokenGrant_builder{
		Tokens:   proto.Uint32(uint32(g.Count())),
		Validity: proto.Int64(g.Validity().Microseconds()),
		Again:    proto.Int64(g.RetryAfter().Microseconds()),
		Over:     proto.Bool(reason == caller.ReasonRateLimited),
	}.Build()
}

func decodeGrant(m *schema.TokenGrant) (customer.Grant, caller.Reason) {
	g := customer.NewGrant(int(m.GetTokens()), time.Duration(m.GetValidity())*time.Microsecond,
		time.Duration(m.GetAgain())*time.Microsecond)
	if m.GetOver() {
		return g, caller.ReasonRateLimited
	}
	return g, caller.ReasonLimitUnknown
}

// renewLeases records the demand reported by a daemon and returns its new leases.
func (l *rateLimiter) renewLeases(now time.Time, m *schema.Exchange) []*schema.Share {
	if !m.GetSplit() {
		return nil
	}
	var leases []*schema.Share
	for _, d := range m.GetDemands() {
		limit, ok := l.limitOf(d.GetCustomer())
		if !ok {
			continue
		}
		leased := l.allocator.Renew(now, limit, m.GetFrom(), d.GetRequests(), d.GetPart())
		leases = append(leases, schema.Share_builder{
			Customer: proto.String(d.GetCustomer()),
			Part:     proto.Float64(leased),
		}.Build())
	}
	return leases
}

// applyLeases applies the leases that another daemon granted.
func (l *rateLimiter) applyLeases(now time.Time, leases []*schema.Share) {
	for _, lease := range leases {
		l.quota.SetLease(now, lease.GetCustomer(), lease.GetPart())
	}
}

// reportDemand periodically reports this daemon's demand for each customer's limit to
// the lessors, which answer with its leases.
func (l *rateLimiter) reportDemand() {
	for l.ctx.Err() == nil {
		sleep(l.ctx, demandInterval)
		now := time.Now()
		byLessor := make(map[string][]*schema.Demand)
		l.quota.EachDemand(now, func(name string, rate, leased float64) {
			lessor := l.lessor(name)
			byLessor[lessor] = append(byLessor[lessor], schema.Demand_builder{
				Customer: proto.String(name),
				Requests: proto.Float64(rate),
				Part:     proto.Float64(leased),
			}.Build())
		})
		for lessor, demands := range byLessor {
			m := l.newMessage()
			m.SetDemands(demands)
			m.SetSplit(true)
			l.sendDemand(now, lessor, m)
		}
	}
}

// sendDemand sends demand to a lessor, or handles it locally if this daemon is the
// lessor, and applies the leases that it receives.
func (l *rateLimiter) sendDemand(now time.Time, lessor string, m *schema.Exchange) {
	if lessor == l.self {
		l.applyLeases(now, l.renewLeases(now, m))
		return
	}
	answer, err := l.peers.exchange(l.ctx, lessor, controlTimeout, m)
	if err != nil {
		l.events.stateChange("lease renewal failed", "by", lessor, "error", err.Error())
		return
	}
	l.receive(time.Now(), answer)
}

// sweep removes the state of customers without recent requests. It also updates the
// membership, because daemons are treated as leaving for a limited time only.
func (l *rateLimiter) sweep(now time.Time) {
	l.quota.Sweep(now)
	l.tokenCache.Sweep(now)
	l.updateMembership(now)
}
