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
	// silentAfter is how long a daemon may take over a request before it is
	// asked whether it is there; typically longer than a run.
	silentAfter = 150 * time.Millisecond
	// againJitter is the part of a Retry-After by which it is lengthened at random.
	againJitter = 0.5
)

var errSilent = eris.New("daemon is silent")

// sender places work at instances until one has answered, or nothing more may
// be tried.
type sender struct {
	*fleetState
	self      string
	pool      *workers.Pool
	placer    *upstream.Balancer[upstream.LatencyCost]
	admission *admission
	peers     *peerClients
	detector  *failureDetector
	sends     *caller.ResendBudget
	share     func() float64
}

// journey is what has become of one request so far.
type journey struct {
	*upstream.RetryState
	last *result
	// failure is an instance's own answer that was a failure.
	failure *result
}

// send runs work and returns what its caller is answered.
func (s *sender) send(ctx context.Context, w *work, attempts int) *final {
	s.sends.RecordRequest(time.Now(), w.service)
	nested, _, _ := w.rank.Components()
	j := &journey{RetryState: upstream.NewRetryState(attempts, w.once, nested, w.body.whole())}
	for s.mayGoOn(ctx, w, j) {
		o, more, ok := s.place(ctx, w, j.Tried())
		if !ok {
			break
		}
		j.note(o.Instance().ID(), s.try(ctx, w, o, j.FailFast(more)))
	}
	s.sendLast(ctx, w, j)
	return j.final(ctx)
}

// mayGoOn says whether work may be sent to an instance (once more).
func (s *sender) mayGoOn(ctx context.Context, w *work, j *journey) bool {
	more, resend := j.NextAttempt(time.Now(), w.deadline)
	return more && ctx.Err() == nil && (!resend || s.mayResend(w, j))
}

// mayResend says whether work may be sent to a second backend server.
func (s *sender) mayResend(w *work, j *journey) bool {
	if j.failure != nil && s.placer.FailsEverywhere(w.parcel()) {
		return false
	}
	return s.sends.AllowResend(time.Now(), w.service, s.share())
}

// sendLast lets work wait that nobody took at once, at the instance that expects
// room first.
func (s *sender) sendLast(ctx context.Context, w *work, j *journey) {
	id, resend := j.Fallback(time.Now(), w.deadline)
	if id == "" || ctx.Err() != nil || resend && !s.mayResend(w, j) {
		return
	}
	i, usable, ok := s.fleet.Get(time.Now(), id)
	if !ok || !usable {
		return
	}
	o := s.placer.Assign(time.Now(), w.parcel(), i)
	j.note(i.ID(), s.try(ctx, w, o, false))
}

// place chooses an instance. more says that there are others left.
func (s *sender) place(ctx context.Context, w *work, tried []string) (o upstream.Placement, more, ok bool) {
	type choice struct {
		option   upstream.Placement
		more, ok bool
	}
	c, err := workers.Do(ctx, s.pool, func() choice {
		now := time.Now()
		instances := s.fleet.UsableInstances(now, w.service)
		rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // no secret
		o, ok := s.placer.Pick(now, rnd, w.parcel(), instances, tried)
		return choice{option: o, more: len(instances) > len(tried)+1, ok: ok}
	})
	return c.option, c.more, err == nil && c.ok
}

// try sends work to one instance. choosy says that others may take it.
func (s *sender) try(ctx context.Context, w *work, o upstream.Placement, choosy bool) *result {
	i := o.Instance()
	var r *result
	if i.Address().Host() == s.self {
		r = s.admission.serve(ctx, w, i.ID(), choosy)
	} else {
		r = s.remote(ctx, w, i.Address().Host(), i.ID(), choosy)
	}
	s.placer.Done(time.Now(), i.ID(), w.parcel(), endingOf(r), r.room)
	if r.unreached {
		go s.detector.reportFailure(i.Address().Host())
	}
	if r.answered() {
		s.placer.RecordResponseSize(w.parcel(), len(r.body))
	}
	s.events.request(classOf(r.outcome, logs.Attempt), "placed", w.id, "service", w.service, "instance", i.ID(),
		"expected", o.ExpectedLatency().Round(time.Microsecond).String(), "choosy", choosy, "outcome", r.outcome.String(),
		"reason", string(r.reason), "offered", r.offered, "running", r.room.Running(), "waiting", r.room.Waiting())
	return r
}

// endingOf says what a result tells of the instance.
func endingOf(r *result) upstream.AttemptResult {
	if r.unreached {
		return upstream.DaemonUnreachable
	}
	return r.trial().Result()
}

// remote sends work to the daemon on another machine.
func (s *sender) remote(ctx context.Context, w *work, ip string, instance string, choosy bool) *result {
	h := w.header.Clone()
	if err := setMessage(h, hopHeader, encodeHop(w, instance, time.Now(), choosy)); err != nil {
		s.events.request(logs.Refusal, "cannot encode", w.id, "error", err.Error())
		return unrun(caller.ReasonBadRequest)
	}
	req := http1.NewRequest(w.method, w.target, w.host, h)
	req.SetBody(w.body.start, w.body.rest, w.body.length)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	probe := time.AfterFunc(silentAfter, func() { s.probe(ctx, ip, cancel) })
	defer probe.Stop()
	if !w.body.whole() || len(w.body.start) > smallBody || w.once {
		req.SetAwait()
	}
	if w.once {
		req.SetFresh()
		// From then on it cannot go elsewhere, whoever is silent.
		req.SetCommit(func() { probe.Stop() })
	}
	resp, err := s.peers.client(ip).Do(ctx, req)
	if err != nil {
		return lost(ctx, err)
	}
	report := &schema.HopReport{}
	if err := takeMessage(resp.Header(), reportHeader, report); err != nil {
		return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost}
	}
	r := decodeReport(report)
	r.status, r.header, r.body = resp.Status(), resp.Header(), resp.Body()
	return r
}

// probe asks a daemon that is silent about a request whether it is there, twice,
// and gives the request up there if it is not.
func (s *sender) probe(ctx context.Context, ip string, cancel context.CancelCauseFunc) {
	for range 2 {
		if s.peers.ping(ctx, ip) == nil {
			return
		}
	}
	if ctx.Err() == nil {
		s.events.belief("daemon is silent", "ip", ip)
		cancel(errSilent)
	}
}

// lost is the result where the daemon beside an instance did not answer.
func lost(ctx context.Context, err error) *result {
	r := &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost, unreached: true}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		r.reason, r.unreached = ended(ctx), false
	}
	if errors.Is(err, http1.ErrNotSent) || errors.Is(err, http1.ErrHeldBack) {
		r.outcome = caller.OutcomeNotRun
		if r.reason == caller.ReasonResponseLost {
			r.reason = caller.ReasonNoBackend
		}
	}
	return r
}

func (j *journey) note(instance string, r *result) {
	j.Record(instance, r.trial())
	j.last = r
	if r.outcome == caller.OutcomeRan {
		j.failure = r
	}
	if r.instance == "" {
		r.instance = instance
	}
}

// final returns what the caller is answered.
func (j *journey) final(ctx context.Context) *final {
	f := j.answer(ctx)
	f.tries = len(j.Tried())
	if j.last != nil {
		f.instance = j.last.instance
	}
	return f
}

func (j *journey) answer(ctx context.Context) *final {
	r := j.last
	switch {
	case r == nil && ctx.Err() != nil:
		return refused(ended(ctx), 0)
	case r == nil:
		return refused(caller.ReasonNoBackend, jitter(againFirst))
	case r.outcome == caller.OutcomeRan:
		return &final{result: r}
	case j.failure != nil:
		return &final{result: j.failure}
	case j.MayHaveRun():
		return uncertain(r.reason)
	case r.reason == caller.ReasonQuarantined:
		return refused(r.reason, 0)
	}
	return refused(r.reason, jitter(max(j.RetryAfter(), againFirst)))
}

// jitter spreads callers that are told the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*againJitter*float64(d)) //nolint:gosec // no secret
}
