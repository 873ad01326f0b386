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

// defaultTimeout is the timeout of requests on routes that set none.
const defaultTimeout = 30 * time.Second

// ingress handles the requests of callers and reports their outcomes.
type ingress struct {
	*core
	feed       *feed
	ledger     *ledger
	dispatcher *dispatcher
	egress     *egress
}

// work is a request on its way to a backend server, as the ingress or another daemon
// passes it to an egress.
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

// decision is the result of admission at the ingress: the work or a refusal.
type decision struct {
	work        *work
	customer    platform.Customer
	rateLimited bool
	refusal     caller.Reason
}

// serve handles one request and records it in the metrics and the log.
func (in *ingress) serve(ctx context.Context, c *Call) *Response {
	start := time.Now()
	name, resp := in.handle(ctx, start, c)
	in.metrics.recordCall(name, resp, time.Since(start))
	in.log.Info("call", "method", c.method, "path", c.path, "customer", name, "outcome", resp.outcome.String(),
		"reason", string(resp.reason), "backend", resp.backend, "status", resp.status)
	return resp
}

func (in *ingress) handle(ctx context.Context, now time.Time, c *Call) (string, *Response) {
	switch {
	case in.stopping.Load() && c.parent == "":
		// Calls of running requests are served until those have ended.
		return "", refusedResponse(caller.ReasonLeaving)
	case !in.feed.ready(now):
		return "", refusedResponse(caller.ReasonStarting)
	}
	cfg := in.config()
	dec, err := workers.Do(ctx, in.pool, func() decision { return in.admit(now, cfg, c) })
	switch {
	case err != nil:
		return "", refusedResponse(caller.ReasonCancelled)
	case dec.refusal != caller.ReasonNone:
		return dec.customer.Name(), refusedResponse(dec.refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, dec.work.context.Deadline())
	defer func() { cancel() }()
	resp := in.run(ctx, cfg, dec, c)
	if resp.body != nil {
		// The body is read after this function returns.
		resp.body, cancel = cancelOnClose(resp.body, cancel)
	}
	return dec.customer.Name(), resp
}

// admit decides whether a request is admitted, and for which customer.
func (in *ingress) admit(now time.Time, cfg *platform.Config, c *Call) decision {
	route, ok := cfg.Route(c.path)
	if !ok {
		return decision{refusal: caller.ReasonNoRoute}
	}
	keyDigest, _ := c.credential.Key()
	dec := decision{work: &work{
		method:         c.method,
		target:         c.target(),
		fields:         c.fields,
		route:          route.Prefix(),
		service:        route.Service(),
		keyDigest:      keyDigest,
		length:         c.length,
		atMostOnce:     route.AtMostOnce(c.method),
		version:        cfg.Number(),
		idempotencyKey: c.idempotencyKey,
	}}
	timeout := timeoutOf(route, c)
	if c.parent != "" {
		dec.refusal = in.admitNested(now, cfg, c, route, timeout, &dec)
	} else {
		dec.refusal = in.admitExternal(now, cfg, c, route, timeout, &dec)
	}
	if dec.refusal == caller.ReasonNone {
		dec.refusal = in.checkConfirmed(now, cfg, &dec)
	}
	if dec.work.atMostOnce && route.RequiresIdempotencyKey() && c.idempotencyKey == "" && dec.refusal == caller.ReasonNone {
		dec.refusal = caller.ReasonNoIdempotencyKey
	}
	dec.work.weight = dec.customer.Weight()
	dec.work.fingerprint = fingerprint(c)
	return dec
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

// admitExternal admits a request from a caller by the API key.
func (in *ingress) admitExternal(now time.Time, cfg *platform.Config, c *Call, route platform.Route, timeout time.Duration, dec *decision) caller.Reason {
	owner, identified, refusal := caller.Identify(c.credential, !route.AllowsAnonymous(), cfg.CustomerByKey)
	if refusal != caller.ReasonNone {
		return refusal
	}
	dec.customer = owner
	dec.rateLimited = identified && !route.AllowsAnonymous()
	dec.work.context = caller.NewContext(dec.customer.Name(), route.AllowsAnonymous(), now.Add(timeout), 0, caller.MaxRetries)
	return caller.ReasonNone
}

// admitNested admits a request that the daemon's own backend server makes while it
// runs another. It inherits the customer, the deadline and the retry budget.
func (in *ingress) admitNested(now time.Time, cfg *platform.Config, c *Call, route platform.Route, timeout time.Duration, dec *decision) caller.Reason {
	parent, running := in.egress.parentContext(c.parent)
	if !running {
		return caller.ReasonInvalidKey
	}
	if _, _, refusal := caller.Identify(c.credential, false, cfg.CustomerByKey); refusal != caller.ReasonNone {
		return refusal
	}
	if parent.Depth()+1 >= caller.MaxDepth {
		return caller.ReasonDepthExceeded
	}
	if owner, ok := cfg.Customer(parent.Customer()); ok {
		dec.customer = owner
	} else if !route.AllowsAnonymous() {
		return caller.ReasonInvalidKey
	}
	deadline := now.Add(timeout)
	if parent.Deadline().Before(deadline) {
		deadline = parent.Deadline()
	}
	dec.work.keyDigest = ""
	dec.work.context = caller.NewContext(parent.Customer(), route.AllowsAnonymous(), deadline, parent.Depth()+1, parent.Retries())
	return caller.ReasonNone
}

// checkConfirmed refuses requests that require an API key if the platform has not
// confirmed the version in force, directly or through a peer, within the time that
// the policy allows.
func (in *ingress) checkConfirmed(now time.Time, cfg *platform.Config, dec *decision) caller.Reason {
	age, confirmed := in.feed.confirmedAge(now)
	if dec.work.context.Anonymous() || cfg.Policy().AllowsStaleness(dec.work.atMostOnce, age, confirmed) {
		return caller.ReasonNone
	}
	return caller.ReasonConfigUnconfirmed
}

// run applies the customer's limit, claims the idempotency key if there is one, and
// dispatches the request.
func (in *ingress) run(ctx context.Context, cfg *platform.Config, dec decision, c *Call) *Response {
	body, err := readPayload(c.body, c.length)
	switch {
	case err != nil && in.bodies.Refused():
		return refusedResponse(caller.ReasonLeaving)
	case err != nil:
		return refusedResponse(caller.ReasonBadRequest)
	}
	dec.work.length = body.length
	dec.work.deferBody = !body.complete
	if dec.rateLimited {
		ok, retryAfter, err := in.ledger.takeToken(ctx, cfg, dec.customer)
		switch {
		case err != nil:
			return refusedResponse(endReason(ctx))
		case !ok:
			resp := refusedResponse(caller.ReasonRateLimited)
			resp.retryAfter = retryAfter
			return resp
		}
	}
	if !dec.work.atMostOnce || dec.work.idempotencyKey == "" {
		return in.dispatcher.dispatch(ctx, cfg, dec.work, body)
	}
	return in.runOnce(ctx, cfg, dec, body)
}

// runOnce claims the idempotency key, dispatches the request and settles the claim.
func (in *ingress) runOnce(ctx context.Context, cfg *platform.Config, dec decision, body *payload) *Response {
	attempt := caller.NewAttempt(dec.work.context.Customer(), dec.work.idempotencyKey, newToken())
	claim, state, conflict := in.ledger.claim(ctx, cfg, attempt)
	if state != caller.ClaimWon {
		in.ledger.settleAll(cfg, claim, caller.OutcomeNotRun)
		return conflictResponse(ctx, conflict)
	}
	resp := in.dispatcher.dispatch(ctx, cfg, dec.work, body)
	in.ledger.settleAll(cfg, claim, resp.outcome)
	return resp
}

// conflictResponse returns the response to a request whose idempotency key could not
// be claimed, from what is known of the attempt that has it.
func conflictResponse(ctx context.Context, conflict caller.Vote) *Response {
	switch conflict {
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

// endReason returns the reason for which a context ended.
func endReason(ctx context.Context) caller.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded { //nolint:errorlint // contexts return it itself
		return caller.ReasonDeadlineExceeded
	}
	return caller.ReasonCancelled
}

// fingerprint hashes what identifies a repeated request, without the customer.
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
