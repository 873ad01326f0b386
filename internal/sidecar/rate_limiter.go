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
	// unlimitedValidity is how long tokens of a daemon without limits may be spent, as long as
	// those of a limit.
	unlimitedValidity = 300 * time.Millisecond
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
	// unlimited states that customers have no limits, since the settings state no window for
	// them.
	unlimited  bool
	quota      *customer.Quota
	allocator  *customer.Allocator
	tokenCache *customer.TokenCache
	ctx        context.Context //nolint:containedctx // the daemon's context, for background work
	detector   *failureDetector
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

// RateBound returns the bound that daemons with the given settings enforce for each customer.
func RateBound(b *schema.Bounds) customer.RateBound {
	return customer.NewRateBound(b.GetQuotaWindow().AsDuration(), b.GetQuotaOver(), b.GetQuotaSlack())
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

// updateMembership recomputes the membership from the published hosts of the
// configuration's services and the daemons that are leaving. All daemons have to agree on
// it, so it doesn't depend on which of them have answered this one.
func (l *rateLimiter) updateMembership(now time.Time) {
	m := &membership{centrePeers: make(map[string]bool)}
	for _, h := range l.fleet.Hosts() {
		if !h.Live() || !h.Serving() {
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

// limitPart is the part of a limit that decided on a request.
type limitPart string

const (
	// partCache is the memory of a refusal at the daemon that received the request.
	partCache limitPart = "cache"
	// partBucket is the bucket of the data centre.
	partBucket limitPart = "bucket"
	// partReserve is the reserve of the fleet.
	partReserve limitPart = "reserve"
)

// limitDecision is the decision whether a request is within its customer's limit. The
// zero value admits the request.
type limitDecision struct {
	reason     caller.Reason
	retryAfter time.Duration
	// part is the part of the limit that refused the request, and holder the daemon
	// that holds it.
	part   limitPart
	holder string
}

// loan is the answer to a request for tokens. If there are none, reason, part and holder
// say why.
type loan struct {
	customer.Grant
	reason caller.Reason
	part   limitPart
	holder string
}

// allow decides whether a request of a customer is within its limit.
func (l *rateLimiter) allow(ctx context.Context, name string) limitDecision {
	if l.unlimited {
		return limitDecision{}
	}
	now := time.Now()
	t := l.tokenCache.Take(now, name)
	switch {
	case t.OK() && t.FetchCount() > 0:
		l.events.spawn(func() { l.prefetch(name, t.FetchCount()) })
		return limitDecision{}
	case t.OK():
		return limitDecision{}
	case t.FetchCount() > 0:
		return l.acquire(ctx, now, name, t.FetchCount(), 1)
	case t.OverLimit():
		return limitDecision{reason: caller.ReasonRateLimited, retryAfter: t.RetryAfter(), part: partCache, holder: l.self}
	}
	return limitDecision{reason: caller.ReasonLimitUnknown, retryAfter: t.RetryAfter(), part: partCache, holder: l.self}
}

// prefetch borrows tokens for future requests.
func (l *rateLimiter) prefetch(name string, n int) { l.acquire(l.ctx, time.Now(), name, n, 0) }

// acquire borrows n tokens for the cache, of which spent are spent at once. If no
// token was granted, it returns why, and the time after which the caller may retry.
func (l *rateLimiter) acquire(ctx context.Context, now time.Time, name string, n, spent int) limitDecision {
	g := l.borrow(ctx, now, name, n)
	l.tokenCache.AddGrant(now, name, g.Grant, min(spent, g.Count()), spent == 0)
	if g.Count() > 0 {
		return limitDecision{}
	}
	l.tokenCache.MarkEmpty(time.Now(), name, g.RetryAfter(), g.reason == caller.ReasonRateLimited)
	return limitDecision{reason: g.reason, retryAfter: g.RetryAfter(), part: g.part, holder: g.holder}
}

// borrow requests tokens from the owner of the bucket, or from the reserve if
// the owner does not answer.
func (l *rateLimiter) borrow(ctx context.Context, now time.Time, name string, n int) loan {
	owner := l.bucketOwner(name)
	if owner == l.self {
		return l.lend(ctx, now, name, n)
	}
	grant, err := l.requestTokens(ctx, owner, borrowTimeout, name, n, false)
	if err == nil {
		return decodeLoan(grant, partBucket, owner)
	}
	l.events.stateChange("bucket owner did not answer", "customer", name, "at", owner, "error", err.Error())
	return l.borrowReserve(ctx, now, name)
}

// lend takes tokens from the bucket of this daemon, or one token from the reserve
// if the bucket is empty.
func (l *rateLimiter) lend(ctx context.Context, now time.Time, name string, n int) loan {
	limit, ok := l.limitOf(name)
	if !ok {
		return loan{reason: caller.ReasonLimitUnknown, part: partBucket, holder: l.self}
	}
	g, tryReserve := l.quota.Lend(now, limit, l.ownedSince(now, name), n)
	if !tryReserve {
		return loan{Grant: g, reason: caller.ReasonRateLimited, part: partBucket, holder: l.self}
	}
	r := l.borrowReserve(ctx, now, name)
	if r.Count() > 0 {
		return r
	}
	l.quota.MarkReserveEmpty(time.Now(), name, r.RetryAfter())
	r.Grant = g
	return r
}

// borrowReserve requests a token of a customer's reserve from the lessor.
func (l *rateLimiter) borrowReserve(ctx context.Context, now time.Time, name string) loan {
	lessor := l.lessor(name)
	if lessor == l.self {
		return l.lendReserve(now, name)
	}
	grant, err := l.requestTokens(ctx, lessor, reserveTimeout, name, 1, true)
	if err != nil {
		l.events.stateChange("reserve lessor did not answer", "customer", name, "at", lessor, "error", err.Error())
		return loan{Grant: customer.NewGrant(0, 0, reserveTimeout), reason: caller.ReasonLimitUnknown, part: partReserve, holder: lessor}
	}
	return decodeLoan(grant, partReserve, lessor)
}

func (l *rateLimiter) lendReserve(now time.Time, name string) loan {
	limit, ok := l.limitOf(name)
	if !ok {
		return loan{reason: caller.ReasonLimitUnknown, part: partReserve, holder: l.self}
	}
	return loan{Grant: l.allocator.LendReserve(now, limit), reason: caller.ReasonRateLimited, part: partReserve, holder: l.self}
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
	var g loan
	switch {
	case l.unlimited:
		// Its settings differ from those of the other daemon, which are about to change.
		g = loan{Grant: customer.NewGrant(int(r.GetTokens()), unlimitedValidity, 0)}
	case r.GetReserve():
		g = l.lendReserve(now, r.GetCustomer())
	default:
		g = l.lend(l.ctx, now, r.GetCustomer(), int(r.GetTokens()))
	}
	m := schema.TokenGrant_builder{
		Tokens:   proto.Uint32(uint32(g.Count())),
		Validity: proto.Int64(g.Validity().Microseconds()),
		Again:    proto.Int64(g.RetryAfter().Microseconds()),
		Over:     proto.Bool(g.reason == caller.ReasonRateLimited),
	}.Build()
	if g.part == partReserve {
		m.SetLessor(g.holder)
	}
	return m
}

// decodeLoan decodes the answer of a daemon that was asked for tokens of a part of a limit.
func decodeLoan(m *schema.TokenGrant, part limitPart, holder string) loan {
	g := loan{
		Grant: customer.NewGrant(int(m.GetTokens()), time.Duration(m.GetValidity())*time.Microsecond,
			time.Duration(m.GetAgain())*time.Microsecond),
		reason: caller.ReasonLimitUnknown, part: part, holder: holder,
	}
	if m.GetOver() {
		g.reason = caller.ReasonRateLimited
	}
	if m.GetLessor() != "" {
		g.part, g.holder = partReserve, m.GetLessor()
	}
	return g
}

// renewLeases records the demand reported by a daemon and returns its new leases.
func (l *rateLimiter) renewLeases(now time.Time, m *schema.Exchange) []*schema.Share {
	if !m.GetSplit() || l.unlimited {
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
func (l *rateLimiter) applyLeases(now time.Time, lessor string, leases []*schema.Share) {
	for _, lease := range leases {
		if old := l.quota.SetLease(now, lease.GetCustomer(), lease.GetPart()); (old > 0) != (lease.GetPart() > 0) {
			l.events.stateChange("lease changed", "customer", lease.GetCustomer(), "from", old, "to", lease.GetPart(), "by", lessor)
		}
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
		l.applyLeases(now, l.self, l.renewLeases(now, m))
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
