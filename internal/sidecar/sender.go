package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// daemonProbeDelay is how long a daemon may take over a request before it is
	// asked whether it is there; typically longer than a run.
	daemonProbeDelay = 150 * time.Millisecond
	// retryAfterJitter is the part of a Retry-After by which it is lengthened at random.
	retryAfterJitter = 0.5
)

var errDaemonUnresponsive = eris.New("daemon is silent")

// sender places work at instances until one has answered, or nothing more may
// be tried.
type sender struct {
	*knowledge
	self      string
	pool      *workers.Pool
	balancer    *upstream.Balancer[upstream.LatencyCost]
	admission *admission
	peers     *peers
	reach     *reach
	resendBudget     *caller.ResendBudget
	share     func() float64
}

// sendState is what has become of one request so far.
type sendState struct {
	*upstream.RetryState
	last *result
	// failedResponse is an instance's own answer that was a failedResponse.
	failedResponse *result
}

// send runs work and returns what its caller is answered.
func (s *sender) send(ctx context.Context, w *request, attempts int) *response {
	s.resendBudget.RecordRequest(time.Now(), w.service)
	nested, _, _ := w.priority.Components()
	j := &sendState{RetryState: upstream.NewRetryState(attempts, w.atMostOnce, nested, w.body.replayable())}
	for s.mayAttempt(ctx, w, j) {
		o, more, ok := s.pickInstance(ctx, w, j.Tried())
		if !ok {
			break
		}
		j.addResult(o.Instance().ID(), s.attempt(ctx, w, o, j.FailFast(more)))
	}
	s.sendFallback(ctx, w, j)
	return j.response(ctx)
}

// mayAttempt says whether work may be sent to an instance (once more).
func (s *sender) mayAttempt(ctx context.Context, w *request, j *sendState) bool {
	more, resend := j.NextAttempt(time.Now(), w.deadline)
	return more && ctx.Err() == nil && (!resend || s.mayResend(w, j))
}

// mayResend says whether work may be sent to a second backend server.
func (s *sender) mayResend(w *request, j *sendState) bool {
	if j.failedResponse != nil && s.balancer.FailsEverywhere(w.upstreamRequest()) {
		return false
	}
	return s.resendBudget.AllowResend(time.Now(), w.service, s.share())
}

// sendFallback lets work wait that nobody took at once, at the instance that expects
// room first.
func (s *sender) sendFallback(ctx context.Context, w *request, j *sendState) {
	id, resend := j.Fallback(time.Now(), w.deadline)
	if id == "" || ctx.Err() != nil || resend && !s.mayResend(w, j) {
		return
	}
	i, usable, ok := s.fleet.Get(time.Now(), id)
	if !ok || !usable {
		return
	}
	o := s.balancer.Assign(time.Now(), w.upstreamRequest(), i)
	j.addResult(i.ID(), s.attempt(ctx, w, o, false))
}

// pickInstance chooses an instance. more says that there are others left.
func (s *sender) pickInstance(ctx context.Context, w *request, tried []string) (o upstream.Placement, more, ok bool) {
	type choice struct {
		option   upstream.Placement
		more, ok bool
	}
	c, err := workers.Do(ctx, s.pool, func() choice {
		now := time.Now()
		instances := s.fleet.UsableInstances(now, w.service)
		rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // no secret
		o, ok := s.balancer.Pick(now, rnd, w.upstreamRequest(), instances, tried)
		return choice{option: o, more: len(instances) > len(tried)+1, ok: ok}
	})
	return c.option, c.more, err == nil && c.ok
}

// attempt sends work to one instance. choosy says that others may take it.
func (s *sender) attempt(ctx context.Context, w *request, o upstream.Placement, choosy bool) *result {
	i := o.Instance()
	var r *result
	if i.Address().Host() == s.self {
		r = s.admission.serve(ctx, w, i.ID(), choosy)
	} else {
		r = s.sendRemote(ctx, w, i.Address().Host(), i.ID(), choosy)
	}
	s.balancer.Done(time.Now(), i.ID(), w.upstreamRequest(), attemptResult(r), r.load)
	if r.daemonUnreachable {
		go s.reach.lost(i.Address().Host())
	}
	if r.hasResponse() {
		s.balancer.RecordResponseSize(w.upstreamRequest(), len(r.body))
	}
	s.events.request(classOf(r.outcome, logs.Attempt), "placed", w.id, "service", w.service, "instance", i.ID(),
		"expected", o.ExpectedLatency().Round(time.Microsecond).String(), "choosy", choosy, "outcome", r.outcome.String(),
		"reason", string(r.reason), "offered", r.offered, "running", r.load.Running(), "waiting", r.load.Waiting())
	return r
}

// attemptResult says what a result tells of the instance.
func attemptResult(r *result) upstream.AttemptResult {
	if r.daemonUnreachable {
		return upstream.DaemonUnreachable
	}
	return r.attempt().Result()
}

// sendRemote sends work to the daemon on another machine.
func (s *sender) sendRemote(ctx context.Context, w *request, ip string, instance string, choosy bool) *result {
	h := w.header.Clone()
	if err := setMessage(h, hopHeader, encodeHop(w, instance, time.Now(), choosy)); err != nil {
		s.events.request(logs.Refusal, "cannot encode", w.id, "error", err.Error())
		return notRun(caller.ReasonBadRequest)
	}
	req := http1.NewRequest(w.method, w.target, w.host, h)
	req.SetBody(w.body.prefix, w.body.rest, w.body.length)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	probe := time.AfterFunc(daemonProbeDelay, func() { s.probeDaemon(ctx, ip, cancel) })
	defer probe.Stop()
	if !w.body.replayable() || len(w.body.prefix) > maxInlineBody || w.atMostOnce {
		req.SetAwait()
	}
	if w.atMostOnce {
		req.SetFresh()
		// From then on it cannot go elsewhere, whoever is silent.
		req.SetCommit(func() { probe.Stop() })
	}
	resp, err := s.peers.client(ip).Do(ctx, req)
	if err != nil {
		return errorResult(ctx, err)
	}
	report := &schema.HopReport{}
	if err := takeMessage(resp.Header(), reportHeader, report); err != nil {
		return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost}
	}
	r := decodeReport(report)
	r.status, r.header, r.body = resp.Status(), resp.Header(), resp.Body()
	return r
}

// probeDaemon asks a daemon that is silent about a request whether it is there, twice,
// and gives the request up there if it is not.
func (s *sender) probeDaemon(ctx context.Context, ip string, cancel context.CancelCauseFunc) {
	for range 2 {
		if s.peers.ping(ctx, ip) == nil {
			return
		}
	}
	if ctx.Err() == nil {
		s.events.stateChange("daemon is silent", "ip", ip)
		cancel(errDaemonUnresponsive)
	}
}

// errorResult is the result where the daemon beside an instance did not answer.
func errorResult(ctx context.Context, err error) *result {
	r := &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost, daemonUnreachable: true}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDaemonUnresponsive) {
		r.reason, r.daemonUnreachable = contextReason(ctx), false
	}
	if errors.Is(err, http1.ErrNotSent) || errors.Is(err, http1.ErrHeldBack) {
		r.outcome = caller.OutcomeNotRun
		if r.reason == caller.ReasonResponseLost {
			r.reason = caller.ReasonNoBackend
		}
	}
	return r
}

func (j *sendState) addResult(instance string, r *result) {
	j.Record(instance, r.attempt())
	j.last = r
	if r.outcome == caller.OutcomeRan {
		j.failedResponse = r
	}
	if r.instance == "" {
		r.instance = instance
	}
}

// response returns what the caller is answered.
func (j *sendState) response(ctx context.Context) *response {
	f := j.outcomeResponse(ctx)
	f.attempts = len(j.Tried())
	if j.last != nil {
		f.instance = j.last.instance
	}
	return f
}

func (j *sendState) outcomeResponse(ctx context.Context) *response {
	r := j.last
	switch {
	case r == nil && ctx.Err() != nil:
		return refusedResponse(contextReason(ctx), 0)
	case r == nil:
		return refusedResponse(caller.ReasonNoBackend, jitter(minRetryAfter))
	case r.outcome == caller.OutcomeRan:
		return &response{result: r}
	case j.failedResponse != nil:
		return &response{result: j.failedResponse}
	case j.MayHaveRun():
		return unknownResponse(r.reason)
	case r.reason == caller.ReasonQuarantined:
		return refusedResponse(r.reason, 0)
	}
	return refusedResponse(r.reason, jitter(max(j.RetryAfter(), minRetryAfter)))
}

// jitter spreads callers that are told the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*retryAfterJitter*float64(d)) //nolint:gosec // no secret
}
