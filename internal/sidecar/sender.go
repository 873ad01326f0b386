package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// placesMost is how many daemons are asked for room for one request, and
	// placesNested for one that a running request waits for.
	placesMost   = 4
	placesNested = 8
	// silentAfter is how long a daemon may take over a request before it is
	// asked whether it is there; typically longer than a run.
	silentAfter = 150 * time.Millisecond
	// againLeast is the least time that must be left to send a request once
	// more.
	againLeast = 20 * time.Millisecond
	// againJitter is the part of a Retry-After by which it is lengthened at random.
	againJitter = 0.5
)

var errSilent = eris.New("daemon is silent")

// sender places work at instances until one has answered, or nothing more may
// be tried.
type sender struct {
	*knowledge
	self      string
	pool      *workers.Pool
	placer    *upstream.Placer[upstream.ByDelay]
	admission *admission
	peers     *peers
	reach     *reach
	sends     *caller.Sends
	share     func() float64
}

// journey is what has become of one request so far.
type journey struct {
	tried   []string
	offered int
	// ran says that an instance may have run the request.
	ran  bool
	last *result
	// failure is an instance's own answer that was a failure.
	failure *result
	// again is the least time after which a daemon that refused expects room,
	// and room the instance.
	again time.Duration
	room  string
}

// send runs work and returns what its caller is answered.
func (s *sender) send(ctx context.Context, w *work, attempts int) *final {
	s.sends.First(time.Now(), w.service)
	j := &journey{}
	most := placesMost
	if nested, _, _ := w.rank.Parts(); nested {
		most = placesNested
	}
	for len(j.tried) < most && s.mayGoOn(ctx, w, j, attempts) {
		o, more, ok := s.place(ctx, w, j.tried)
		if !ok {
			break
		}
		j.note(o.Instance().ID(), s.try(ctx, w, o, more && len(j.tried)+1 < most))
		if j.settled(w) {
			break
		}
	}
	if s.lastResort(ctx, w, j, attempts) {
		s.sendLast(ctx, w, j)
	}
	return j.final(ctx)
}

// mayGoOn says whether work may be sent to an instance (once more).
func (s *sender) mayGoOn(ctx context.Context, w *work, j *journey, attempts int) bool {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return false
	case j.offered == 0:
		return true
	case j.offered >= attempts, j.ran && w.once, !w.body.whole(), w.deadline.Sub(now) < againLeast:
		return false
	case j.failure != nil && s.placer.Failing(w.parcel()):
		return false
	}
	return s.sends.Again(now, w.service, s.share())
}

// place chooses an instance. more says that there are others left.
func (s *sender) place(ctx context.Context, w *work, tried []string) (o upstream.Option, more, ok bool) {
	type choice struct {
		option   upstream.Option
		more, ok bool
	}
	c, err := workers.Do(ctx, s.pool, func() choice {
		now := time.Now()
		instances := s.fleet.Of(now, w.service)
		rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // no secret
		o, ok := s.placer.Place(now, rnd, w.parcel(), instances, tried)
		return choice{option: o, more: len(instances) > len(tried)+1, ok: ok}
	})
	return c.option, c.more, err == nil && c.ok
}

// try sends work to one instance. choosy says that others may take it.
func (s *sender) try(ctx context.Context, w *work, o upstream.Option, choosy bool) *result {
	i := o.Instance()
	var r *result
	if i.Address().Host() == s.self {
		r = s.admission.serve(ctx, w, i.ID(), choosy)
	} else {
		r = s.remote(ctx, w, i.Address().Host(), i.ID(), choosy)
	}
	s.placer.End(time.Now(), i.ID(), w.parcel(), endingOf(r), r.room)
	if r.unreached {
		go s.reach.lost(i.Address().Host())
	}
	if r.answered() {
		s.placer.Learn(w.parcel(), len(r.body))
	}
	s.events.request(r.outcome != caller.Ran, "placed", w.id, "service", w.service, "instance", i.ID(),
		"expected", o.Delay().Round(time.Microsecond).String(), "choosy", choosy, "outcome", r.outcome.String(),
		"reason", string(r.reason), "offered", r.offered, "running", r.room.Running(), "waiting", r.room.Waiting())
	return r
}

// endingOf says what a result tells of the instance.
func endingOf(r *result) upstream.Ending {
	switch {
	case r.unreached:
		return upstream.Unreached
	case r.outcome == caller.Ran && r.status < http.StatusInternalServerError:
		return upstream.Good
	case r.outcome == caller.Ran:
		return upstream.Failing
	case r.reason == caller.Deadline, r.reason == caller.Cancelled, r.reason == caller.Quarantined, r.reason == caller.BadRequest:
		return upstream.Neutral
	case r.outcome == caller.NotRun && r.offered:
		return upstream.Shed
	case r.reason == caller.Overload:
		return upstream.Full
	case r.reason == caller.LostAnswer && r.offered:
		return upstream.Failing
	}
	return upstream.Absent
}

// remote sends work to the daemon on another machine.
func (s *sender) remote(ctx context.Context, w *work, ip string, instance string, choosy bool) *result {
	h := w.header.Clone()
	if err := setMessage(h, hopHeader, encodeHop(w, instance, time.Now(), choosy)); err != nil {
		s.events.request(true, "cannot encode", w.id, "error", err.Error())
		return unrun(caller.BadRequest)
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
		return &result{outcome: caller.Unknown, reason: caller.LostAnswer}
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
		s.events.belief(true, "daemon is silent", "ip", ip)
		cancel(errSilent)
	}
}

// lost is the result where the daemon beside an instance did not answer.
func lost(ctx context.Context, err error) *result {
	r := &result{outcome: caller.Unknown, reason: caller.LostAnswer, unreached: true}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		r.reason, r.unreached = ended(ctx), false
	}
	if errors.Is(err, http1.ErrNotSent) || errors.Is(err, http1.ErrHeldBack) {
		r.outcome = caller.NotRun
		if r.reason == caller.LostAnswer {
			r.reason = caller.NoBackend
		}
	}
	return r
}

func (j *journey) note(instance string, r *result) {
	j.tried = append(j.tried, instance)
	j.last = r
	if r.offered || r.outcome == caller.Unknown {
		j.offered++
	}
	if r.outcome != caller.NotRun {
		j.ran = true
	}
	if r.outcome == caller.Ran {
		j.failure = r
	}
	if r.reason == caller.Overload && !r.offered && (j.room == "" || r.again < j.again) {
		j.again, j.room = r.again, instance
	}
	if r.instance == "" {
		r.instance = instance
	}
}

// settled says whether the last result is what the caller gets.
func (j *journey) settled(w *work) bool {
	r := j.last
	switch r.outcome {
	case caller.Ran:
		return w.once || r.status < http.StatusInternalServerError
	case caller.Unknown:
		return w.once || r.reason != caller.LostAnswer
	}
	switch r.reason {
	case caller.Deadline, caller.Cancelled, caller.Quarantined, caller.BadRequest:
		return true
	}
	return false
}

// lastResort says whether work that nobody took at once may wait at the
// instance that expects room first.
func (s *sender) lastResort(ctx context.Context, w *work, j *journey, attempts int) bool {
	if j.room == "" || j.last.outcome != caller.NotRun || j.settled(w) || !s.mayGoOn(ctx, w, j, attempts) {
		return false
	}
	return time.Now().Add(j.again).Before(w.deadline)
}

func (s *sender) sendLast(ctx context.Context, w *work, j *journey) {
	i, usable, ok := s.fleet.Get(time.Now(), j.room)
	if !ok || !usable {
		return
	}
	o := s.placer.Take(time.Now(), w.parcel(), i)
	j.note(i.ID(), s.try(ctx, w, o, false))
}

// final returns what the caller is answered.
func (j *journey) final(ctx context.Context) *final {
	f := j.answer(ctx)
	f.tries = len(j.tried)
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
		return refused(caller.NoBackend, jitter(againFirst))
	case r.outcome == caller.Ran:
		return &final{result: r}
	case j.failure != nil:
		return &final{result: j.failure}
	case j.ran:
		return uncertain(r.reason)
	case r.reason == caller.Quarantined:
		return refused(r.reason, 0)
	}
	return refused(r.reason, jitter(max(j.again, againFirst)))
}

// jitter spreads callers that are told the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*againJitter*float64(d)) //nolint:gosec // no secret
}
