package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/handover"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// minPingDelay and maxPingDelay bound the time without a response after which the
	// daemon that a request was sent to is pinged. In between it is pingLatencyFactor
	// times the latency that was expected there, so that few requests lead to a ping
	// although the daemon answers.
	minPingDelay      = 150 * time.Millisecond
	maxPingDelay      = 600 * time.Millisecond
	pingLatencyFactor = 1.5
	// retryAfterJitter is the largest fraction by which a Retry-After value is
	// lengthened at random.
	retryAfterJitter = 0.5
)

var errDaemonUnresponsive = eris.New("daemon unresponsive")

// sender sends a request to one instance after another until one has responded or no
// further attempt is allowed.
type sender struct {
	*fleetState
	// self is this daemon's IP address, by which daemons identify each other.
	self         string
	pool         *workers.Pool
	balancer     *upstream.Balancer[upstream.LatencyCost]
	admission    *admission
	waiting      *waitingRequests
	shutdown     *shutdown
	peers        *peerClients
	detector     *failureDetector
	resendBudget *caller.ResendBudget
	shortage     *upstream.Shortage
	metrics      *metrics
	// fleetShare returns this daemon's share of the fleet's budget for resends.
	fleetShare func() float64
}

// sendState is the state of a request across its attempts.
type sendState struct {
	*upstream.RetryState
	// last is the result of the last attempt.
	last *result
	// failedResponse is the result of the last attempt that got a response from a
	// backend server. A response is followed by another attempt only if its status
	// reports a failure.
	failedResponse *result
	// stopping states that the request is not sent since the daemon is stopping.
	stopping bool
}

// send sends a request, with at most the given number of attempts, and returns the
// response for its caller.
func (s *sender) send(ctx context.Context, req *request, attempts int) *response {
	begin, nested := time.Now(), req.priority.Nested()
	switch {
	case !req.resent:
		s.resendBudget.RecordRequest(begin, req.service, nested)
	case !s.resendBudget.AllowCall(begin, req.service, s.fleetShare()):
		s.metrics.recordRefusal(req.route, refusedByBudget)
		s.events.request(logs.Refusal, "call of a resent request not sent", req.id, "service", req.service, "parent", req.parent)
		resp := refusedResponse(caller.ReasonOverload, jitter(minRetryAfter))
		resp.unbudgeted = true
		return resp
	}
	req.begun = begin
	state := &sendState{RetryState: upstream.NewRetryState(attempts, req.atMostOnce, nested, req.body.replayable())}
	for s.mayAttempt(ctx, req, state) {
		placement, more, ok := s.pickInstance(ctx, req, state.Tried())
		if !ok {
			break
		}
		state.addResult(placement.Instance().ID(), s.attempt(ctx, req, placement, state.FailFast(more)))
	}
	s.sendFallback(ctx, req, state)
	return state.response(ctx)
}

// mayAttempt reports whether another attempt may be made.
func (s *sender) mayAttempt(ctx context.Context, req *request, state *sendState) bool {
	more, resend := state.NextAttempt(time.Now(), req.deadline)
	return more && ctx.Err() == nil && s.mayStart(req, state) && (!resend || s.mayResend(req, state))
}

// mayStart reports whether a request may be sent to an instance although the daemon may be stopping.
func (s *sender) mayStart(req *request, state *sendState) bool {
	state.stopping = !s.shutdown.mayStart(time.Now(), req, s.balancer.MeanRunTime(req.route))
	return !state.stopping
}

// mayResend reports whether a request that a backend server has received may be sent to
// another one. If so, the request carries on that it was resent.
func (s *sender) mayResend(req *request, state *sendState) bool {
	if state.failedResponse != nil && s.balancer.FailsEverywhere(req.upstreamRequest()) {
		return false
	}
	now := time.Now()
	urgent := req.need(s.balancer.MeanRunTime(req.route)).WithSpent(req.spent + now.Sub(req.begun)).Urgent()
	if !s.resendBudget.AllowResend(now, req.service, urgent, s.fleetShare()) {
		s.metrics.recordRefusal(req.route, refusedByBudget)
		s.events.request(logs.Refusal, "resend not allowed", req.id, "service", req.service, "urgent", urgent)
		return false
	}
	req.resent = true
	return true
}

// sendFallback sends a request that no instance admitted without a long wait to the
// instance that expects to have capacity first, to wait in its queue.
func (s *sender) sendFallback(ctx context.Context, req *request, state *sendState) {
	id, resend := state.Fallback(time.Now(), req.deadline)
	if id == "" || ctx.Err() != nil || !s.mayStart(req, state) || resend && !s.mayResend(req, state) {
		return
	}
	i, usable, ok := s.fleet.Get(time.Now(), id)
	if !ok || !usable {
		return
	}
	placement := s.balancer.Assign(time.Now(), req.upstreamRequest(), i)
	state.addResult(i.ID(), s.attempt(ctx, req, placement, false))
}

// pickInstance picks an instance that has not been tried. more reports whether there are
// others left.
func (s *sender) pickInstance(ctx context.Context, req *request, tried []string) (placement upstream.Placement, more, ok bool) {
	type choice struct {
		placement upstream.Placement
		more, ok  bool
	}
	c, err := workers.Do(ctx, s.pool, func() choice {
		now := time.Now()
		instances := s.fleet.UsableInstances(now, req.service)
		rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // no secret
		placement, ok := s.balancer.Pick(now, rnd, req.upstreamRequest(), instances, tried)
		return choice{placement: placement, more: len(instances) > len(tried)+1, ok: ok}
	})
	return c.placement, c.more, err == nil && c.ok
}

// attempt sends a request to one instance. If redirectable is set, another instance may
// serve the request, so this one refuses it if it would have to wait long.
func (s *sender) attempt(ctx context.Context, req *request, placement upstream.Placement, redirectable bool) *result {
	i := placement.Instance()
	var r *result
	if i.Address().Host() == s.self {
		r = s.admission.serve(ctx, req, i.ID(), redirectable)
	} else {
		r = s.sendRemote(ctx, req, placement, redirectable)
	}
	if r.load.Limit() > 0 {
		s.detector.links.record(time.Now(), i.Address().Host(), r.load.LinkBacklog())
	}
	s.balancer.Done(time.Now(), i.ID(), req.upstreamRequest(), attemptResult(r), r.load)
	if fraction, reduced := s.shortage.Record(time.Now(), req.kind(), r.calls); reduced {
		s.events.stateChange("calls find no capacity", "route", req.route, "calls", r.calls.Calls(), "short", r.calls.Short(),
			"admitted", strconv.FormatFloat(fraction, 'f', 2, 64))
	}
	if r.daemonUnreachable {
		s.events.spawn(func() { s.detector.reportFailure(i.Address().Host(), r.err) })
	}
	if r.hasResponse() {
		s.balancer.RecordResponseSize(req.upstreamRequest(), len(r.body))
	}
	s.events.request(classOf(r.outcome, logs.Attempt), "placed", req.id, append(r.errorFields(), "service", req.service, "instance", i.ID(),
		"expected", placement.ExpectedLatency().Round(time.Microsecond).String(), "choosy", redirectable, "outcome", r.outcome.String(),
		"reason", string(r.reason), "offered", r.delivered, "running", r.load.Running(), "waiting", r.load.Waiting())...)
	return r
}

// attemptResult converts a result to the form by which the balancer rates the instance.
func attemptResult(r *result) upstream.AttemptResult {
	if r.daemonUnreachable {
		return upstream.DaemonUnreachable
	}
	return r.attempt().Result()
}

// sendRemote sends a request to the daemon of an instance on another machine.
func (s *sender) sendRemote(ctx context.Context, req *request, placement upstream.Placement, redirectable bool) *result {
	ip, instance := placement.Instance().Address().Host(), placement.Instance().ID()
	h, number := req.header.Clone(), newAttemptNumber()
	if err := setMessage(h, hopHeader, encodeHop(req, instance, number, time.Now(), redirectable)); err != nil {
		s.events.request(logs.Refusal, "encoding hop header failed", req.id, "error", err.Error())
		return notRun(caller.ReasonBadRequest)
	}
	httpReq := http1.NewRequest(req.method, req.target, req.host, h)
	httpReq.SetBody(req.body.prefix, req.body.rest, req.body.length)
	ctx, cancel := s.shutdown.untilEnd(ctx)
	defer cancel(nil)
	offer := &handover.Offer{}
	defer s.waiting.add(number, waitingRequest{req: req, daemon: ip, offer: offer, cancel: cancel})()
	// A request that runs once can't be sent elsewhere once it is committed, even if the daemon
	// stops responding.
	mayGiveUp := func() bool { return !req.atMostOnce || offer.Withdraw() }
	pingTimer := time.AfterFunc(pingDelay(placement.ExpectedLatency()), func() { s.events.protect(func() { s.pingDaemon(ctx, ip, mayGiveUp, cancel) }) })
	defer pingTimer.Stop()
	httpReq.SetOnCommit(func() bool {
		if req.atMostOnce {
			pingTimer.Stop()
		}
		return offer.Commit()
	})
	if !req.body.replayable() || len(req.body.prefix) > upstream.MaxInlineBody || req.atMostOnce {
		httpReq.SetExpectContinue()
	}
	if req.atMostOnce {
		httpReq.SetFreshConnOnly()
	}
	resp, err := s.peers.client(ip).Do(ctx, httpReq)
	r := s.remoteResult(ctx, resp, err, offer)
	r.bodySent = offer.Committed()
	return r
}

// remoteResult returns the result of a request that was sent to the daemon of an instance.
func (s *sender) remoteResult(ctx context.Context, resp *http1.Response, err error, offer *handover.Offer) *result {
	if err != nil {
		return errorResult(ctx, err, offer)
	}
	s.admission.link.record(len(resp.Body()))
	report := &schema.HopReport{}
	if err := extractMessage(resp.Header(), reportHeader, report); err != nil {
		resp.Release()
		return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost, err: err}
	}
	resp.DropConnectionFields()
	r := decodeReport(report)
	if !r.hasResponse() {
		resp.Release()
		return r
	}
	r.status, r.header, r.body, r.lease = resp.Status(), resp.Header(), resp.Body(), resp.Lease()
	return r
}

// pingDelay returns the time without a response after which a daemon is pinged.
func pingDelay(expected time.Duration) time.Duration {
	return min(max(time.Duration(pingLatencyFactor*float64(expected)), minPingDelay), maxPingDelay)
}

// pingDaemon pings a daemon that has not responded to a request yet, and cancels the
// request if two pings fail and the request may be given up.
func (s *sender) pingDaemon(ctx context.Context, ip string, mayGiveUp func() bool, cancel context.CancelCauseFunc) {
	var err error
	for range 2 {
		if err = s.peers.ping(ctx, ip); err == nil || localShortage(err) {
			return
		}
	}
	if ctx.Err() == nil && s.detector.confirm(ctx, ip, err) && mayGiveUp() {
		s.events.stateChange("daemon unresponsive", "ip", ip)
		cancel(errDaemonUnresponsive)
	}
}

// errorResult returns the result of a request for which the daemon of an instance
// returned no response.
func errorResult(ctx context.Context, err error, offer *handover.Offer) *result {
	r := &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost, daemonUnreachable: !localShortage(err), err: err}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDaemonUnresponsive) {
		r.reason, r.daemonUnreachable = contextReason(ctx), false
	}
	if errors.Is(err, http1.ErrNotSent) || offer.Withdraw() {
		r.outcome = caller.OutcomeNotRun
		if r.reason == caller.ReasonResponseLost {
			r.reason = caller.ReasonNoBackend
		}
	}
	return r
}

func (state *sendState) addResult(instance string, r *result) {
	state.Record(instance, r.attempt())
	if r.bodySent {
		state.RecordBodySent()
	}
	state.last = r
	if r.outcome == caller.OutcomeRan {
		if state.failedResponse != nil {
			state.failedResponse.lease.Release()
		}
		state.failedResponse = r
	}
	if r.instance == "" {
		r.instance = instance
	}
}

// response returns the response for the caller.
func (state *sendState) response(ctx context.Context) *response {
	resp := state.outcomeResponse(ctx)
	resp.attempts = len(state.Tried())
	resp.reached = resp.attempts > 0 && state.Reached()
	if state.last != nil {
		resp.instance = state.last.instance
	}
	return resp
}

func (state *sendState) outcomeResponse(ctx context.Context) *response {
	r := state.last
	switch {
	case r == nil && ctx.Err() != nil:
		return refusedResponse(contextReason(ctx), 0)
	case r == nil && state.stopping:
		return refusedResponse(caller.ReasonLeaving, unavailableRetryAfter)
	case r == nil:
		return refusedResponse(caller.ReasonNoBackend, jitter(minRetryAfter))
	case r.outcome == caller.OutcomeRan:
		return &response{result: r}
	case state.failedResponse != nil:
		return &response{result: state.failedResponse}
	case state.MayHaveRun():
		return unknownResponse(r.reason)
	case r.reason == caller.ReasonQuarantined:
		return refusedResponse(r.reason, 0)
	}
	return refusedResponse(r.reason, jitter(max(state.RetryAfter(), minRetryAfter)))
}

// jitter lengthens a time at random, so that callers that were refused at the same time
// do not retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*retryAfterJitter*float64(d)) //nolint:gosec // no secret
}
