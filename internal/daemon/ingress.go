package daemon

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

// defaultTimeout bounds requests on routes without a timeout.
const defaultTimeout = 30 * time.Second

// ingress takes the requests of callers and answers for their outcomes.
type ingress struct {
	*core
	feed       *feed
	ledger     *ledger
	dispatcher *dispatcher
	egress     *egress
}

// work is a request that has been let in.
type work struct {
	method, target        string
	fields                []Field
	route, service        string
	keyDigest             string
	context               caller.Context
	length                int64
	atMostOnce, deferBody bool
	fingerprint           uint64
	weight                int
	version               uint64
	idempotencyKey        string
}

// decision is the decision on a request at the ingress: the work, or the refusal.
type decision struct {
	work     *work
	customer platform.Customer
	limited  bool
	refusal  caller.Reason
}

// serve answers one request.
func (d *ingress) serve(ctx context.Context, c *Call) *Response {
	begin := time.Now()
	name, a := d.handle(ctx, begin, c)
	d.metrics.recordCall(name, a, time.Since(begin))
	d.log.Info("call", "method", c.method, "path", c.path, "customer", name, "outcome", a.outcome.String(),
		"reason", string(a.reason), "backend", a.backend, "status", a.status)
	return a
}

func (d *ingress) handle(ctx context.Context, now time.Time, c *Call) (string, *Response) {
	switch {
	case d.stopping.Load():
		return "", refusedResponse(caller.ReasonLeaving)
	case !d.feed.ready(now):
		return "", refusedResponse(caller.ReasonStarting)
	}
	cfg := d.config()
	p, err := workers.Do(ctx, d.pool, func() decision { return d.admit(now, cfg, c) })
	switch {
	case err != nil:
		return "", refusedResponse(caller.ReasonCancelled)
	case p.refusal != caller.ReasonNone:
		return p.customer.Name(), refusedResponse(p.refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, p.work.context.Deadline())
	defer func() { cancel() }()
	a := d.run(ctx, cfg, p, c)
	if a.body != nil {
		// The body is read after this function returns.
		a.body, cancel = cancelOnClose(a.body, cancel)
	}
	return p.customer.Name(), a
}

// admit decides whether a request may come in, for whom, and as what.
func (d *ingress) admit(now time.Time, cfg *platform.Config, c *Call) decision {
	route, ok := cfg.Route(c.path)
	if !ok {
		return decision{refusal: caller.ReasonNoRoute}
	}
	p := decision{work: &work{
		method:         c.method,
		target:         c.target(),
		fields:         c.fields,
		route:          route.Prefix(),
		service:        route.Service(),
		keyDigest:      c.keyDigest,
		length:         c.length,
		atMostOnce:     route.AtMostOnce(c.method),
		version:        cfg.Number(),
		idempotencyKey: c.idempotencyKey,
	}}
	timeout := timeoutOf(route, c)
	if c.parent != "" {
		p.refusal = d.admitNested(now, cfg, c, route, timeout, &p)
	} else {
		p.refusal = d.admitExternal(now, cfg, c, route, timeout, &p)
	}
	if p.refusal == caller.ReasonNone {
		p.refusal = d.checkConfirmed(now, cfg, &p)
	}
	if p.work.atMostOnce && route.RequiresIdempotencyKey() && c.idempotencyKey == "" && p.refusal == caller.ReasonNone {
		p.refusal = caller.ReasonNoIdempotencyKey
	}
	p.work.weight = p.customer.Weight()
	p.work.fingerprint = fingerprint(c)
	return p
}

func timeoutOf(route platform.Route, c *Call) time.Duration {
	timeout := defaultTimeout
	if route.Timeout() > 0 {
		timeout = route.Timeout()
	}
	if c.timeout > 0 && c.timeout < timeout {
		timeout = c.timeout
	}
	return timeout
}

// admitExternal lets in a caller's own request, by its key.
func (d *ingress) admitExternal(now time.Time, cfg *platform.Config, c *Call, route platform.Route, timeout time.Duration, p *decision) caller.Reason {
	owner, known := cfg.CustomerByKey(c.keyDigest)
	switch {
	case known:
		p.customer = owner
		p.limited = !route.AllowsAnonymous()
	case !route.AllowsAnonymous():
		return caller.ReasonInvalidKey
	}
	p.work.context = caller.NewContext(p.customer.Name(), route.AllowsAnonymous(), now.Add(timeout), 0, caller.MaxRetries)
	return caller.ReasonNone
}

// admitNested lets in a request that the daemon's own backend server makes while it
// runs another: for the same customer, inside the same deadline and budget.
func (d *ingress) admitNested(now time.Time, cfg *platform.Config, c *Call, route platform.Route, timeout time.Duration, p *decision) caller.Reason {
	parent, running := d.egress.parentContext(c.parent)
	if !running {
		return caller.ReasonInvalidKey
	}
	if parent.Depth()+1 >= caller.MaxDepth {
		return caller.ReasonDepthExceeded
	}
	if owner, ok := cfg.Customer(parent.Customer()); ok {
		p.customer = owner
	} else if !route.AllowsAnonymous() {
		return caller.ReasonInvalidKey
	}
	deadline := now.Add(timeout)
	if parent.Deadline().Before(deadline) {
		deadline = parent.Deadline()
	}
	p.work.keyDigest = ""
	p.work.context = caller.NewContext(parent.Customer(), route.AllowsAnonymous(), deadline, parent.Depth()+1, parent.Retries())
	return caller.ReasonNone
}

// checkConfirmed refuses requests with keys where the platform has not been heard,
// by way of anyone, for longer than the operators allow.
func (d *ingress) checkConfirmed(now time.Time, cfg *platform.Config, p *decision) caller.Reason {
	age, ever := d.feed.confirmedAge(now)
	if p.work.context.Anonymous() || cfg.Policy().AllowsStaleness(p.work.atMostOnce, age, ever) {
		return caller.ReasonNone
	}
	return caller.ReasonConfigUnconfirmed
}

// run takes a request that was let in through limit, claim and backend server.
func (d *ingress) run(ctx context.Context, cfg *platform.Config, p decision, c *Call) *Response {
	body, err := readPayload(c.body, c.length)
	if err != nil {
		return refusedResponse(caller.ReasonBadRequest)
	}
	p.work.length = body.length
	p.work.deferBody = !body.complete
	if p.limited {
		ok, again, err := d.ledger.takeToken(ctx, cfg, p.customer)
		switch {
		case err != nil:
			return refusedResponse(endReason(ctx))
		case !ok:
			a := refusedResponse(caller.ReasonRateLimited)
			a.retryAfter = again
			return a
		}
	}
	if !p.work.atMostOnce || p.work.idempotencyKey == "" {
		return d.dispatcher.dispatch(ctx, cfg, p.work, body)
	}
	return d.runOnce(ctx, cfg, p, body)
}

// runOnce claims the request's idempotency key around its run.
func (d *ingress) runOnce(ctx context.Context, cfg *platform.Config, p decision, body *payload) *Response {
	attempt := caller.NewAttempt(p.work.context.Customer(), p.work.idempotencyKey, newToken())
	claim, ruling, other := d.ledger.claim(ctx, cfg, attempt)
	if ruling != caller.ClaimWon {
		d.ledger.settleAll(cfg, claim, caller.OutcomeNotRun)
		return conflictResponse(ctx, other)
	}
	a := d.dispatcher.dispatch(ctx, cfg, p.work, body)
	d.ledger.settleAll(cfg, claim, a.outcome)
	return a
}

// conflictResponse answers a request whose key could not be claimed, with what is known of
// the request that has the key.
func conflictResponse(ctx context.Context, other caller.Vote) *Response {
	switch other {
	case caller.VoteRan:
		return &Response{outcome: caller.OutcomeRan, reason: caller.ReasonDuplicate}
	case caller.VotePending, caller.VoteUnknown:
		return unknownResponse(caller.ReasonDuplicate)
	}
	if ctx.Err() != nil {
		return unknownResponse(endReason(ctx))
	}
	return unknownResponse(caller.ReasonNoQuorum)
}

// endReason says why a context endReason.
func endReason(ctx context.Context) caller.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded { //nolint:errorlint // contexts return it itself
		return caller.ReasonDeadlineExceeded
	}
	return caller.ReasonCancelled
}

// fingerprint hashes what equal requests share. The customer is kept apart.
func fingerprint(c *Call) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{c.method, c.path, c.query, c.idempotencyKey} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.WriteString(strconv.FormatInt(c.length, 10))
	for _, f := range c.fields {
		if strings.EqualFold(f.name, "Content-Type") || strings.EqualFold(f.name, "Digest") {
			_, _ = h.WriteString(f.value)
		}
	}
	return h.Sum64()
}
