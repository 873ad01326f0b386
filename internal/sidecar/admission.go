package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// dialBackend bounds opening a connection on the own machine.
	dialBackend = 150 * time.Millisecond
	// connectionsMost is how many idle connections to the backend server are
	// kept; no more requests than its slots run at once.
	connectionsMost = 64
	// firstSlots is the size of the queue's window before the entry is known.
	firstSlots = 1
)

// admission decides what the daemon's own backend server gets, and sends it.
type admission struct {
	*fleetState
	protocol   Protocol
	pool       *workers.Pool
	service    string
	centre     string
	address    fleet.Address
	queue      *backend.Queue[*backend.SlotWindow]
	client     *http1.Client
	quarantine *backend.Quarantine
	// crashed tells the other daemons of a request that a backend server died
	// of.
	crashed func(backend.RequestKey)
	// own guards what the daemon has seen of its backend server.
	own *sight
	// restarted says that an earlier process may have run beside the backend
	// server, which may have started anew since its entry was written.
	restarted bool
	probing   atomic.Bool
	// running counts requests at the backend server, and stopping says that the
	// daemon takes no more.
	running  atomic.Int64
	stopping atomic.Bool
}

// admitted is the decision on work at the queue.
type admitted struct {
	claim    *backend.Entry
	state    backend.State
	again    time.Duration
	refusal  caller.Reason
	instance string
}

// serve runs work at the backend server or refuses it.
func (a *admission) serve(ctx context.Context, w *work, instance string, choosy bool) *result {
	begin := time.Now()
	r := a.admitAndRun(ctx, w, instance, choosy)
	running, waiting, limit, mean := a.queue.Load()
	r.room = upstream.NewLoadReport(running, waiting, limit, a.queue.MeanServiceTime(w.route), mean)
	a.events.request(classOf(r.outcome, logs.Attempt), "admission", w.id, "route", w.route, "customer", w.customer,
		"outcome", r.outcome.String(), "reason", string(r.reason), "status", r.status, "instance", r.instance,
		"waited", r.waited.String(), "took", time.Since(begin).String(), "running", running, "waiting", waiting,
		"limit", limit, "version", w.version)
	return r
}

func (a *admission) admitAndRun(ctx context.Context, w *work, instance string, choosy bool) *result {
	now := time.Now()
	ad, err := workers.Do(ctx, a.pool, func() admitted { return a.admit(now, w, instance, choosy) })
	if err != nil {
		return unrun(ended(ctx))
	}
	if ad.refusal != caller.ReasonNone {
		r := unrun(ad.refusal)
		r.again, r.instance = ad.again, ad.instance
		return r
	}
	r := a.wait(ctx, ad)
	waited := time.Since(now)
	if r == nil {
		r = a.run(ctx, w, ad)
	} else {
		r.instance = ad.instance
	}
	r.waited = waited
	return r
}

// admit decides on work as it arrives.
func (a *admission) admit(now time.Time, w *work, instance string, choosy bool) admitted {
	id, reason := a.target(now, w, instance)
	if reason == caller.ReasonNone && a.quarantine.Quarantined(now, suspect(w)) {
		reason = caller.ReasonQuarantined
	}
	if reason != caller.ReasonNone {
		return admitted{refusal: reason, instance: id}
	}
	demand := backend.NewRequest(w.rank, w.route, w.objective, w.deadline)
	claim, state, again := a.queue.Submit(now, demand, choosy)
	if state == backend.Waiting && a.queue.Cold(now) {
		a.schedule(now)
	}
	return admitted{claim: claim, state: state, again: again, instance: id}
}

// target returns the instance that work would go to, and why it may not.
func (a *admission) target(now time.Time, w *work, instance string) (string, caller.Reason) {
	if w.service != a.service {
		return "", caller.ReasonNoBackend
	}
	i, usable, ok := a.fleet.ByAddress(now, a.service, a.address)
	id := i.ID()
	a.own.mu.Lock()
	down := now.Before(a.own.down)
	known := a.own.known
	a.own.mu.Unlock()
	switch {
	case a.stopping.Load():
		return id, caller.ReasonLeaving
	case !ok || !known:
		return instance, caller.ReasonStarting
	case !usable:
		return id, caller.ReasonLeaving
	case a.fleet.Evacuated(a.centre):
		return id, caller.ReasonOutOfService
	case down:
		return id, caller.ReasonNoBackend
	}
	return id, caller.ReasonNone
}

// schedule lets work run later that waits for a cold backend server.
func (a *admission) schedule(now time.Time) {
	next := a.queue.Tick(now)
	if next == 0 {
		return
	}
	a.own.mu.Lock()
	defer a.own.mu.Unlock()
	if a.own.tick != nil {
		return
	}
	a.own.tick = time.AfterFunc(next, func() {
		a.own.mu.Lock()
		a.own.tick = nil
		a.own.mu.Unlock()
		a.schedule(time.Now())
	})
}

// wait waits for a claim's turn and returns the refusal if it gets none.
func (a *admission) wait(ctx context.Context, ad admitted) *result {
	if ad.state == backend.Waiting {
		select {
		case <-ad.claim.Decided():
		case <-ctx.Done():
			if !a.queue.Cancel(ad.claim) {
				a.queue.Done(time.Now(), ad.claim, backend.Cancelled)
			}
			return unrun(ended(ctx))
		}
	}
	state, again := a.queue.State(ad.claim)
	if state == backend.Running {
		return nil
	}
	r := unrun(refusals[state])
	r.again = again
	return r
}

// refusals says why a claim did not run.
var refusals = map[backend.State]caller.Reason{
	backend.Overloaded: caller.ReasonOverload,
	backend.Expired:    caller.ReasonDeadlineExceeded,
	backend.Closed:     caller.ReasonLeaving,
	backend.Finished:   caller.ReasonCancelled,
}

// run sends admitted work. The process may have been suspended while the work
// waited, so what decides is looked at once more.
func (a *admission) run(ctx context.Context, w *work, ad admitted) *result {
	if err := w.body.fetch(time.Now()); err != nil {
		a.queue.Done(time.Now(), ad.claim, backend.Cancelled)
		a.events.request(logs.Refusal, "body not read", w.id, "error", err.Error())
		return unrun(caller.ReasonCancelled)
	}
	now := time.Now()
	id, reason := a.target(now, w, ad.instance)
	left := w.deadline.Sub(now) - w.suspended.Since()
	switch {
	case ctx.Err() != nil:
		reason = ended(ctx)
	case left <= 0:
		reason = caller.ReasonDeadlineExceeded
	}
	if reason != caller.ReasonNone {
		a.queue.Done(now, ad.claim, backend.Cancelled)
		r := unrun(reason)
		r.instance = id
		return r
	}
	if w.once {
		// What runs at most once goes on where its caller has left: half of it
		// would be of no use to anyone.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), left)
		defer cancel()
	}
	a.running.Add(1)
	defer a.running.Add(-1)
	r := a.send(ctx, w, id, left, ad.claim)
	r.instance = id
	return r
}

// send sends work and judges what comes back.
func (a *admission) send(ctx context.Context, w *work, id string, left time.Duration, claim *backend.Entry) *result {
	h := w.header.Clone()
	a.protocol.SetTarget(h, id, left)
	req := http1.NewRequest(w.method, w.target, w.host, h)
	req.SetBody(w.body.start, w.body.rest, w.body.length)
	req.SetMatch(func(answer http.Header) bool { return a.protocol.Matches(w.id, answer) })
	if w.once {
		req.SetFresh()
	}
	resp, err := a.client.Do(ctx, req)
	now := time.Now()
	if err != nil {
		return a.failed(ctx, now, w, claim, err)
	}
	a.seen(now)
	v := a.protocol.ResponseMetadata(resp.Status(), resp.Header())
	if v.notRun {
		a.queue.Done(now, claim, backend.Shed)
		r := unrun(caller.ReasonOverload)
		if v.wrongInstance {
			a.events.belief("another instance answers", "expected", id, "found", v.instance)
			r.reason = caller.ReasonNoBackend
		}
		r.offered = true
		return r
	}
	a.queue.Done(now, claim, backend.Served)
	a.quarantine.RecordAnswer(suspect(w))
	return &result{outcome: caller.OutcomeRan, offered: true, status: resp.Status(), header: resp.Header(), body: resp.Body()}
}

// failed judges work whose answer did not come.
func (a *admission) failed(ctx context.Context, now time.Time, w *work, claim *backend.Entry, err error) *result {
	switch {
	case errors.Is(err, http1.ErrNotSent) && ctx.Err() != nil:
		a.queue.Done(now, claim, backend.Cancelled)
		return unrun(ended(ctx))
	case errors.Is(err, http1.ErrNotSent):
		a.queue.Done(now, claim, backend.Disconnected)
		a.unreachable(now, err)
		return unrun(caller.ReasonNoBackend)
	case ctx.Err() != nil:
		a.queue.Done(now, claim, backend.Cancelled)
		return &result{outcome: caller.OutcomeUnknown, reason: ended(ctx), offered: true}
	case errors.Is(err, http1.ErrBody):
		a.queue.Done(now, claim, backend.Cancelled)
		return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonBadRequest, offered: true}
	}
	a.queue.Done(now, claim, backend.Disconnected)
	a.events.request(logs.Refusal, "answer lost", w.id, "error", err.Error())
	if !a.client.Alive() {
		go a.inspect(w)
	}
	return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost, offered: true}
}

func suspect(w *work) backend.RequestKey { return backend.NewRequestKey(w.customer, w.fingerprint) }

// ended says why a context ended.
func ended(ctx context.Context) caller.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return caller.ReasonDeadlineExceeded
	}
	return caller.ReasonCancelled
}
