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
	// demandEvery is the time between two reports of what customers ask for.
	demandEvery = 700 * time.Millisecond
	// borrowTimeout bounds the wait for a token, which delays a request. A machine
	// with little of its core left takes some tenths of a second to answer.
	borrowTimeout = 300 * time.Millisecond
	// reserveTimeout is the same for the reserve, which is asked after that.
	reserveTimeout = 150 * time.Millisecond
	// borrowShare is the part of a request's time that each wait may take.
	borrowShare = 0.2
	// leavingFor is how long a daemon counts as leaving after it said so, unless
	// it says that it is back.
	leavingFor = 6 * time.Second
	// aloneAfter is how long a daemon may have heard no other of its data centre
	// before it counts as cut off from it: another one may keep its limits then.
	aloneAfter = 2500 * time.Millisecond
	// settleFor is how long after a daemon told the others that it is there it
	// begins to keep limits, since one that counts as leaving is kept for.
	settleFor = 300 * time.Millisecond
)

// limits keeps customers within their limits together with the other daemons.
// In each data centre one daemon keeps a customer's bucket and lends tokens to the
// others; one daemon of the fleet leases between data centres the part of the
// limit that none owns.
type limits struct {
	*knowledge
	peers        exchanger
	self, centre string
	// centres is the number of data centres.
	centres  int
	quota    *customer.Quota
	shares   *customer.Allocator
	prefetch *customer.TokenCache
	ctx      context.Context //nolint:containedctx // the daemon's own, for work in the background
	// reach knows which daemons do not answer.
	reach *reach
	// message returns a control message, and take takes in an answer to one.
	message func() *schema.Exchange
	take    func(now time.Time, m *schema.Exchange) bool
	members atomic.Pointer[members]
	// leaving is until when each daemon counts as leaving, and stopping says that
	// this one is.
	leaving  *table.Table[string, time.Time]
	stopping func() bool
	// heardAt is when another daemon of the data centre was heard last, in
	// nanoseconds since begin.
	heardAt atomic.Int64
}

// members are the daemons that limits are kept by.
type members struct {
	// near are those of the data centre, all those of the fleet, and others those
	// of the data centre that are not this one.
	near, all []string
	others    map[string]bool
	// since is when near was last another list, and first when the daemon first
	// knew any.
	since, first time.Time
}

func newLeaving() *table.Table[string, time.Time] { return table.New[string, time.Time](lock.Members) }

// observe takes over which daemons there are.
func (l *limits) observe(now time.Time) {
	m := &members{others: make(map[string]bool)}
	for _, h := range l.fleet.Hosts() {
		if !h.Live() {
			continue
		}
		m.all = append(m.all, h.IP())
		if h.Centre() != l.centre || l.isLeaving(now, h.IP()) {
			continue
		}
		m.near = append(m.near, h.IP())
		if h.IP() != l.self {
			m.others[h.IP()] = true
		}
	}
	m.since, m.first = now, now
	if old := l.members.Load(); old != nil {
		m.first = old.first
		if slices.Equal(old.near, m.near) {
			m.since = old.since
		}
	}
	l.members.Store(m)
}

func (l *limits) isLeaving(now time.Time, daemon string) bool {
	if daemon == l.self {
		return l.stopping()
	}
	until, ok := l.leaving.Get(daemon)
	return ok && now.Before(until)
}

// heard notes that a daemon is there, and whether it is about to stop.
func (l *limits) heard(now time.Time, daemon string, leaving bool) {
	was := l.isLeaving(now, daemon)
	if leaving || was {
		l.leaving.Update(daemon, func(time.Time, bool) (time.Time, bool) { return now.Add(leavingFor), leaving })
	}
	if leaving != was {
		l.observe(now)
	}
	m := l.members.Load()
	if m == nil || !m.others[daemon] {
		return
	}
	if l.alone(now, m) {
		next := *m
		next.since = now
		l.members.CompareAndSwap(m, &next)
	}
	l.heardAt.Store(int64(now.Sub(l.begin)))
}

// alone says whether this daemon may be cut off from all others of its data
// centre.
func (l *limits) alone(now time.Time, m *members) bool {
	return len(m.others) > 0 && now.Sub(l.begin)-time.Duration(l.heardAt.Load()) > aloneAfter
}

// owner returns the daemon of the data centre that keeps a customer's bucket.
func (l *limits) owner(name string) string {
	m := l.members.Load()
	if m == nil || len(m.near) == 0 {
		return l.self
	}
	return peer.Top(name, m.near, 1)[0]
}

// splitter returns the daemon of the fleet that leases a customer's limit.
func (l *limits) splitter(name string) string {
	m := l.members.Load()
	if m == nil || len(m.all) == 0 {
		return l.self
	}
	return peer.Top(name, m.all, 1)[0]
}

// since returns from when this daemon has kept a customer's bucket, or zero where
// it does not.
func (l *limits) since(now time.Time, name string) time.Time {
	m := l.members.Load()
	if m == nil || l.stopping() || l.owner(name) != l.self || !slices.Contains(m.near, l.self) || l.alone(now, m) {
		return time.Time{}
	}
	settled := m.first.Add(settleFor)
	switch {
	case now.Before(settled):
		return time.Time{}
	case m.since.Before(settled):
		return settled
	}
	return m.since
}

// limit returns a customer's limit in force.
func (l *limits) limit(name string) (customer.Limit, bool) {
	cfg := l.config.Load()
	if cfg == nil {
		return customer.Limit{}, false
	}
	c, ok := cfg.Customer(name)
	return customer.NewLimit(name, c.Rate(), c.Burst(), l.centres), ok
}

// pass says whether a request of a customer is within its limit, and if not why,
// and when its caller may come back.
func (l *limits) pass(ctx context.Context, name string) (caller.Reason, time.Duration) {
	now := time.Now()
	t := l.prefetch.Take(now, name)
	switch {
	case t.OK() && t.FetchCount() > 0:
		go l.fetch(name, t.FetchCount())
		return caller.ReasonNone, 0
	case t.OK():
		return caller.ReasonNone, 0
	case t.FetchCount() > 0:
		return l.obtain(ctx, now, name, t.FetchCount(), 1)
	case t.OverLimit():
		return caller.ReasonRateLimited, t.RetryAfter()
	}
	return caller.ReasonLimitUnknown, t.RetryAfter()
}

// fetch borrows tokens that no request waits for.
func (l *limits) fetch(name string, n int) { _, _ = l.obtain(l.ctx, time.Now(), name, n, 0) }

// obtain borrows tokens of which some are spent at once, and says why it got none.
func (l *limits) obtain(ctx context.Context, now time.Time, name string, n, spent int) (caller.Reason, time.Duration) {
	g, reason := l.borrow(ctx, now, name, n)
	l.prefetch.AddGrant(now, name, g, min(spent, g.Count()), spent == 0)
	if g.Count() > 0 {
		return caller.ReasonNone, 0
	}
	l.prefetch.MarkEmpty(time.Now(), name, g.RetryAfter(), reason == caller.ReasonRateLimited)
	return reason, g.RetryAfter()
}

// borrow asks for tokens: the daemon of the data centre that keeps the bucket,
// or where that one does not answer the reserve.
func (l *limits) borrow(ctx context.Context, now time.Time, name string, n int) (customer.Grant, caller.Reason) {
	owner := l.owner(name)
	if owner == l.self {
		return l.lend(ctx, now, name, n)
	}
	answer, err := l.ask(ctx, owner, borrowTimeout, name, n, false)
	if err == nil {
		return decodeGrant(answer)
	}
	l.events.stateChange("limit not reached", "customer", name, "at", owner, "error", err.Error())
	return l.fromReserve(ctx, now, name)
}

// lend takes tokens of the bucket that this daemon keeps, or one of the reserve.
func (l *limits) lend(ctx context.Context, now time.Time, name string, n int) (customer.Grant, caller.Reason) {
	limit, ok := l.limit(name)
	if !ok {
		return customer.Grant{}, caller.ReasonLimitUnknown
	}
	g, reserve := l.quota.Lend(now, limit, l.since(now, name), n)
	if !reserve {
		return g, caller.ReasonRateLimited
	}
	r, reason := l.fromReserve(ctx, now, name)
	if r.Count() > 0 {
		return r, caller.ReasonNone
	}
	l.quota.MarkReserveEmpty(time.Now(), name, r.RetryAfter())
	return g, reason
}

// fromReserve takes a token of a customer's reserve.
func (l *limits) fromReserve(ctx context.Context, now time.Time, name string) (customer.Grant, caller.Reason) {
	splitter := l.splitter(name)
	if splitter == l.self {
		return l.lendReserve(now, name)
	}
	answer, err := l.ask(ctx, splitter, reserveTimeout, name, 1, true)
	if err != nil {
		l.events.stateChange("reserve not reached", "customer", name, "at", splitter, "error", err.Error())
		return customer.NewGrant(0, 0, reserveTimeout), caller.ReasonLimitUnknown
	}
	return decodeGrant(answer)
}

func (l *limits) lendReserve(now time.Time, name string) (customer.Grant, caller.Reason) {
	limit, ok := l.limit(name)
	if !ok {
		return customer.Grant{}, caller.ReasonLimitUnknown
	}
	return l.shares.LendReserve(now, limit), caller.ReasonRateLimited
}

// errUnreached says that a daemon is known not to answer.
var errUnreached = errors.New("daemon is unreached")

// ask asks another daemon for tokens. A request is not held up for one that does
// not answer: whether it is back is found out apart from requests.
func (l *limits) ask(ctx context.Context, at string, timeout time.Duration, name string, n int, reserve bool) (*schema.TokenGrant, error) {
	if l.reach.unreached(at) {
		return nil, errUnreached
	}
	m := l.message()
	m.SetBorrow(schema.TokenRequest_builder{
		Customer: proto.String(name),
		Tokens:   proto.Uint32(uint32(n)),
		Reserve:  proto.Bool(reserve),
	}.Build())
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Duration(float64(time.Until(deadline))*borrowShare))
	}
	answer, err := l.peers.exchange(ctx, at, timeout, m)
	if err != nil {
		if ctx.Err() == nil {
			go l.reach.told(at)
		}
		return nil, err //nolint:wrapcheck // the caller says what was asked
	}
	l.take(time.Now(), answer)
	return answer.GetLent(), nil
}

// serve answers another daemon that asks for tokens.
func (l *limits) serve(now time.Time, r *schema.TokenRequest) *schema.TokenGrant {
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

// grant answers a daemon's demands with its parts of the limits.
func (l *limits) grant(now time.Time, m *schema.Exchange) []*schema.Share {
	if !m.GetSplit() {
		return nil
	}
	var out []*schema.Share
	for _, d := range m.GetDemands() {
		limit, ok := l.limit(d.GetCustomer())
		if !ok {
			continue
		}
		part := l.shares.Renew(now, limit, m.GetFrom(), d.GetRequests(), d.GetPart())
		out = append(out, schema.Share_builder{
			Customer: proto.String(d.GetCustomer()),
			Part:     proto.Float64(part),
		}.Build())
	}
	return out
}

// granted takes over the parts that another daemon granted.
func (l *limits) granted(now time.Time, shares []*schema.Share) {
	for _, share := range shares {
		l.quota.SetLease(now, share.GetCustomer(), share.GetPart())
	}
}

// report tells the daemons that lease limits what is asked for here.
func (l *limits) report() {
	for l.ctx.Err() == nil {
		pause(l.ctx, demandEvery)
		now := time.Now()
		lists := make(map[string][]*schema.Demand)
		l.quota.EachDemand(now, func(name string, rate, part float64) {
			splitter := l.splitter(name)
			lists[splitter] = append(lists[splitter], schema.Demand_builder{
				Customer: proto.String(name),
				Requests: proto.Float64(rate),
				Part:     proto.Float64(part),
			}.Build())
		})
		for splitter, list := range lists {
			m := l.message()
			m.SetDemands(list)
			m.SetSplit(true)
			l.tell(now, splitter, m)
		}
	}
}

// tell sends demands to the daemon that leases their limits, or takes them
// itself where it is the one.
func (l *limits) tell(now time.Time, splitter string, m *schema.Exchange) {
	if splitter == l.self {
		l.granted(now, l.grant(now, m))
		return
	}
	answer, err := l.peers.exchange(l.ctx, splitter, controlTimeout, m)
	if err != nil {
		l.events.stateChange("limits not leased", "by", splitter, "error", err.Error())
		return
	}
	l.take(time.Now(), answer)
}

// sweep forgets customers that were not asked for lately, and takes over that
// daemons no longer count as leaving.
func (l *limits) sweep(now time.Time) {
	l.quota.Sweep(now)
	l.prefetch.Sweep(now)
	l.observe(now)
}
