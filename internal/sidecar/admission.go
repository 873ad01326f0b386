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
	// backendDialTimeout bounds opening a connection on the own machine.
	backendDialTimeout = 150 * time.Millisecond
	// maxIdleBackendConns is how many idle connections to the backend server are
	// kept; no more requests than its slots run at once.
	maxIdleBackendConns = 64
	// initialSlots is the size of the queue's window before the entry is known.
	initialSlots = 1
)

// admission decides what the daemon's own backend server gets, and sends it.
type admission struct {
	*knowledge
	protocol   Protocol
	pool       *workers.Pool
	service    string
	centre     string
	address    fleet.Address
	queue      *backend.Queue[*backend.SlotWindow]
	client     *http1.Client
	quarantine *backend.Quarantine
	// reportCrash tells the other daemons of a request that a backend server died
	// of.
	reportCrash func(backend.RequestKey)
	// status guards what the daemon has seen of its backend server.
	status *backendStatus
	// daemonRestarted says that an earlier process may have run beside the backend
	// server, which may have started anew since its entry was written.
	daemonRestarted bool
	probing   atomic.Bool
	// running counts requests at the backend server, and stopping says that the
	// daemon takes no more.
	running  atomic.Int64
	stopping atomic.Bool
}

// queueDecision is the decision on work at the queue.
type queueDecision struct {
	entry    *backend.Entry
	state    backend.State
	retryAfter    time.Duration
	refusal  caller.Reason
	instance string
}

// serve runs work at the backend server or refuses it.
func (a *admission) serve(ctx context.Context, w *request, instance string, choosy bool) *result {
	begin := time.Now()
	r := a.admitAndRun(ctx, w, instance, choosy)
	running, waiting, limit, mean := a.queue.Load()
	r.load = upstream.NewLoadReport(running, waiting, limit, a.queue.MeanServiceTime(w.route), mean)
	a.events.request(classOf(r.outcome, logs.Attempt), "admission", w.id, "route", w.route, "customer", w.customer,
		"outcome", r.outcome.String(), "reason", string(r.reason), "status", r.status, "instance", r.instance,
		"waited", r.waited.String(), "took", time.Since(begin).String(), "running", running, "waiting", waiting,
		"limit", limit, "version", w.configVersion)
	return r
}

func (a *admission) admitAndRun(ctx context.Context, w *request, instance string, choosy bool) *result {
	now := time.Now()
	ad, err := workers.Do(ctx, a.pool, func() queueDecision { return a.admit(now, w, instance, choosy) })
	if err != nil {
		return notRun(contextReason(ctx))
	}
	if ad.refusal != caller.ReasonNone {
		r := notRun(ad.refusal)
		r.retryAfter, r.instance = ad.retryAfter, ad.instance
		return r
	}
	r := a.awaitSlot(ctx, ad)
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
func (a *admission) admit(now time.Time, w *request, instance string, choosy bool) queueDecision {
	id, reason := a.resolveInstance(now, w, instance)
	if reason == caller.ReasonNone && a.quarantine.Quarantined(now, requestKey(w)) {
		reason = caller.ReasonQuarantined
	}
	if reason != caller.ReasonNone {
		return queueDecision{refusal: reason, instance: id}
	}
	demand := backend.NewRequest(w.priority, w.route, w.objective, w.deadline)
	claim, state, again := a.queue.Submit(now, demand, choosy)
	if state == backend.Waiting && a.queue.Cold(now) {
		a.scheduleTick(now)
	}
	return queueDecision{entry: claim, state: state, retryAfter: again, instance: id}
}

// resolveInstance returns the instance that work would go to, and why it may not.
func (a *admission) resolveInstance(now time.Time, w *request, instance string) (string, caller.Reason) {
	if w.service != a.service {
		return "", caller.ReasonNoBackend
	}
	i, usable, ok := a.fleet.ByAddress(now, a.service, a.address)
	id := i.ID()
	a.status.mu.Lock()
	down := now.Before(a.status.avoidUntil)
	known := a.status.known
	a.status.mu.Unlock()
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

// scheduleTick lets work run later that waits for a cold backend server.
func (a *admission) scheduleTick(now time.Time) {
	next := a.queue.Tick(now)
	if next == 0 {
		return
	}
	a.status.mu.Lock()
	defer a.status.mu.Unlock()
	if a.status.tickTimer != nil {
		return
	}
	a.status.tickTimer = time.AfterFunc(next, func() {
		a.status.mu.Lock()
		a.status.tickTimer = nil
		a.status.mu.Unlock()
		a.scheduleTick(time.Now())
	})
}

// awaitSlot waits for a claim's turn and returns the refusal if it gets none.
func (a *admission) awaitSlot(ctx context.Context, ad queueDecision) *result {
	if ad.state == backend.Waiting {
		select {
		case <-ad.entry.Decided():
		case <-ctx.Done():
			if !a.queue.Cancel(ad.entry) {
				a.queue.Done(time.Now(), ad.entry, backend.Cancelled)
			}
			return notRun(contextReason(ctx))
		}
	}
	state, again := a.queue.State(ad.entry)
	if state == backend.Running {
		return nil
	}
	r := notRun(reasonByState[state])
	r.retryAfter = again
	return r
}

// reasonByState says why a claim did not run.
var reasonByState = map[backend.State]caller.Reason{
	backend.Overloaded: caller.ReasonOverload,
	backend.Expired:    caller.ReasonDeadlineExceeded,
	backend.Closed:     caller.ReasonLeaving,
	backend.Finished:   caller.ReasonCancelled,
}

// run sends admitted work. The process may have been suspended while the work
// waited, so what decides is looked at once more.
func (a *admission) run(ctx context.Context, w *request, ad queueDecision) *result {
	if err := w.body.readRest(time.Now()); err != nil {
		a.queue.Done(time.Now(), ad.entry, backend.Cancelled)
		a.events.request(logs.Refusal, "body not read", w.id, "error", err.Error())
		return notRun(caller.ReasonCancelled)
	}
	now := time.Now()
	id, reason := a.resolveInstance(now, w, ad.instance)
	left := w.deadline.Sub(now) - w.suspended.Since()
	switch {
	case ctx.Err() != nil:
		reason = contextReason(ctx)
	case left <= 0:
		reason = caller.ReasonDeadlineExceeded
	}
	if reason != caller.ReasonNone {
		a.queue.Done(now, ad.entry, backend.Cancelled)
		r := notRun(reason)
		r.instance = id
		return r
	}
	if w.atMostOnce {
		// What runs at most once goes on where its caller has left: half of it
		// would be of no use to anyone.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), left)
		defer cancel()
	}
	a.running.Add(1)
	defer a.running.Add(-1)
	r := a.send(ctx, w, id, left, ad.entry)
	r.instance = id
	return r
}

// send sends work and judges what comes back.
func (a *admission) send(ctx context.Context, w *request, id string, left time.Duration, claim *backend.Entry) *result {
	h := w.header.Clone()
	a.protocol.Send(h, id, left)
	req := http1.NewRequest(w.method, w.target, w.host, h)
	req.SetBody(w.body.prefix, w.body.rest, w.body.length)
	req.SetMatch(func(answer http.Header) bool { return a.protocol.Matches(w.id, answer) })
	if w.atMostOnce {
		req.SetFresh()
	}
	resp, err := a.client.Do(ctx, req)
	now := time.Now()
	if err != nil {
		return a.handleSendError(ctx, now, w, claim, err)
	}
	a.recordReachable(now)
	v := a.protocol.Verdict(resp.Status(), resp.Header())
	if v.unrun {
		a.queue.Done(now, claim, backend.Shed)
		r := notRun(caller.ReasonOverload)
		if v.moved {
			a.events.stateChange("another instance answers", "expected", id, "found", v.instance)
			r.reason = caller.ReasonNoBackend
		}
		r.offered = true
		return r
	}
	a.queue.Done(now, claim, backend.Served)
	a.quarantine.RecordAnswer(requestKey(w))
	return &result{outcome: caller.OutcomeRan, offered: true, status: resp.Status(), header: resp.Header(), body: resp.Body()}
}

// handleSendError judges work whose answer did not come.
func (a *admission) handleSendError(ctx context.Context, now time.Time, w *request, claim *backend.Entry, err error) *result {
	switch {
	case errors.Is(err, http1.ErrNotSent) && ctx.Err() != nil:
		a.queue.Done(now, claim, backend.Cancelled)
		return notRun(contextReason(ctx))
	case errors.Is(err, http1.ErrNotSent):
		a.queue.Done(now, claim, backend.Disconnected)
		a.recordUnreachable(now, err)
		return notRun(caller.ReasonNoBackend)
	case ctx.Err() != nil:
		a.queue.Done(now, claim, backend.Cancelled)
		return &result{outcome: caller.OutcomeUnknown, reason: contextReason(ctx), offered: true}
	case errors.Is(err, http1.ErrBody):
		a.queue.Done(now, claim, backend.Cancelled)
		return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonBadRequest, offered: true}
	}
	a.queue.Done(now, claim, backend.Disconnected)
	a.events.request(logs.Refusal, "answer lost", w.id, "error", err.Error())
	if !a.client.Alive() {
		go a.checkCrash(w)
	}
	return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost, offered: true}
}

func requestKey(w *request) backend.RequestKey { return backend.NewRequestKey(w.customer, w.fingerprint) }

// contextReason says why a context contextReason.
func contextReason(ctx context.Context) caller.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return caller.ReasonDeadlineExceeded
	}
	return caller.ReasonCancelled
}
