package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/handover"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// backendDialTimeout bounds opening a connection to the backend server, which runs
	// on the same machine.
	backendDialTimeout = 150 * time.Millisecond
	// maxIdleBackendConns is the maximum number of idle connections to the backend
	// server. It need not exceed the number of the server's slots, which bounds the
	// requests that run at the same time.
	maxIdleBackendConns = 64
	// initialSlots is the size of the queue's window until the instance's published
	// slot count is known.
	initialSlots = 1
)

// admission queues the requests for the daemon's own backend server and sends them when
// the queue admits them.
type admission struct {
	*fleetState
	protocol Protocol
	pool     *workers.Pool
	service  string
	centre   string
	address  fleet.Address
	queue    *backend.Queue[*backend.SlotWindow]
	// link paces the bodies that other daemons send.
	link   *linkPacer
	client *http1.Client
	// budget bounds the memory for bodies.
	budget     *http1.Budget
	quarantine *backend.Quarantine
	// reportCrashes notifies the other daemons of requests during which the backend server crashed,
	// or that it has answered since.
	reportCrashes func([]backend.CrashReport)
	// status is the observed state of the backend server.
	status *backendStatus
	// daemonRestarted indicates that an earlier daemon process may have run on this
	// machine. The backend server may then have restarted since its instance was last
	// published.
	daemonRestarted bool
	// checkingHealth is set while a health check is in progress.
	checkingHealth atomic.Bool
	// running is the number of requests at the backend server.
	running atomic.Int64
	// calls holds the requests at the backend server, whose ids the ids of calls extend.
	calls    *runningRequests
	waiting  *waitingRequests
	metrics  *metrics
	shutdown *shutdown
}

// queueDecision is the decision whether a request is refused, queued or started.
type queueDecision struct {
	// entry and state are the request's entry in the queue and its initial state.
	entry      *backend.Entry
	state      backend.State
	retryAfter time.Duration
	// refusal is the reason if the request is refused without being submitted to the
	// queue. entry is nil in that case.
	refusal  caller.Reason
	instance string
}

// serve sends a request to the backend server, or refuses it. If redirectable is set,
// another instance may serve the request, so a request that would have to wait long here
// is refused.
func (a *admission) serve(ctx context.Context, req *request, instance string, redirectable bool) *result {
	begin := time.Now()
	r := a.admitAndRun(ctx, req, instance, redirectable)
	running, waiting, limit, mean := a.queue.Load()
	a.metrics.recordAdmission(req, r, redirectable)
	r.calls = a.calls.tally.Report(time.Now(), req.kind())
	r.load = upstream.NewLoadReport(running, waiting, limit, a.queue.MeanServiceTime(req.route), mean)
	if a.link.limited() {
		r.load = r.load.WithLink(a.link.link.Backlog(time.Now()), a.link.link.Pace())
	}
	a.events.request(classOf(r.outcome, logs.Attempt), "admission", req.id, "route", req.route, "customer", req.customer,
		"outcome", r.outcome.String(), "reason", string(r.reason), "status", r.status, "instance", r.instance,
		"waited", r.waited.String(), "took", time.Since(begin).String(), "running", running, "waiting", waiting,
		"limit", limit, "version", req.configVersion)
	return r
}

func (a *admission) admitAndRun(ctx context.Context, req *request, instance string, redirectable bool) *result {
	begin := time.Now()
	defer req.body.inflow.end()
	ctx, cancel := a.shutdown.untilEnd(ctx)
	defer cancel(nil)
	start := &handover.Offer{}
	defer a.waiting.add(req.number, waitingRequest{req: req, offer: start, cancel: cancel})()
	if r := a.awaitLink(ctx, req, instance, redirectable); r != nil {
		r.waited = time.Since(begin)
		return r
	}
	now := time.Now()
	decision, err := workers.Do(ctx, a.pool, func() queueDecision { return a.admit(now, req, instance, redirectable) })
	if err != nil {
		return notRun(contextReason(ctx))
	}
	if decision.refusal != caller.ReasonNone {
		r := notRun(decision.refusal)
		r.retryAfter, r.instance = decision.retryAfter, decision.instance
		return r
	}
	defer a.abandon(decision.entry)
	r := a.awaitSlot(ctx, req, decision)
	waited := time.Since(begin)
	if r == nil {
		r = a.run(ctx, req, decision, start)
	} else {
		r.instance = decision.instance
	}
	r.waited, r.queued = waited, decision.state == backend.Waiting
	return r
}

// admit decides whether a request is refused, queued or started at once.
func (a *admission) admit(now time.Time, req *request, instance string, redirectable bool) queueDecision {
	id, reason := a.check(now, req, instance)
	if reason != caller.ReasonNone {
		return queueDecision{refusal: reason, instance: id}
	}
	queued := backend.NewRequest(req.priority, req.route, req.objective, req.deadline)
	entry, state, retryAfter := a.queue.Submit(now, queued, redirectable)
	return queueDecision{entry: entry, state: state, retryAfter: retryAfter, instance: id}
}

// check returns the id of the instance, and the reason if the request may not run whatever
// capacity there is.
func (a *admission) check(now time.Time, req *request, instance string) (string, caller.Reason) {
	id, reason := a.resolveInstance(now, req, instance)
	if reason == caller.ReasonNone && !a.quarantine.Admit(now, requestKey(req)) {
		reason = caller.ReasonQuarantined
	}
	return id, reason
}

// resolveInstance returns the id of the instance that is published for the backend
// server's address, and the reason if the request may not be sent to it. While no instance
// is known, it returns the id that the sender used.
func (a *admission) resolveInstance(now time.Time, req *request, instance string) (string, caller.Reason) {
	if req.service != a.service {
		return "", caller.ReasonNoBackend
	}
	i, usable, ok := a.fleet.ByAddress(now, a.service, a.address)
	id := i.ID()
	a.status.mu.Lock()
	unreachable := now.Before(a.status.avoidUntil)
	known := a.status.instanceKnown
	a.status.mu.Unlock()
	switch {
	case a.shutdown.backendClosed.Load(), !a.shutdown.accepts(now, req, a.queue.MeanServiceTime):
		return id, caller.ReasonLeaving
	case !ok || !known:
		return instance, caller.ReasonStarting
	case !usable:
		return id, caller.ReasonLeaving
	case a.fleet.Evacuated(a.centre):
		return id, caller.ReasonOutOfService
	case unreachable:
		return id, caller.ReasonNoBackend
	}
	return id, caller.ReasonNone
}

// scheduleTick calls the queue's Tick until no more calls are needed. Each call starts the queued
// requests that the warm-up rate of a cold backend server permits, or that have left free slots to
// calls for long enough.
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
		a.events.protect(func() { a.scheduleTick(time.Now()) })
	})
}

// finish ends a running request in the queue, which may leave others waiting beside free slots.
func (a *admission) finish(now time.Time, entry *backend.Entry, r backend.Result) {
	a.queue.Done(now, entry, r)
	if a.queue.Blocked() {
		a.scheduleTick(now)
	}
}

// abandon ends a request that is not run, or that a panic has left in the queue, so that it keeps no
// slot of the backend server. It has no effect on a request that has ended, whose slot another one may
// have.
func (a *admission) abandon(entry *backend.Entry) {
	if !a.queue.Cancel(entry) {
		a.finish(time.Now(), entry, backend.Cancelled)
	}
}

// awaitSlot waits until a queued request may run. It returns nil if the request may
// run, and the refusal otherwise. The link may refuse the request's body meanwhile.
func (a *admission) awaitSlot(ctx context.Context, req *request, decision queueDecision) *result {
	if decision.state == backend.Waiting {
		if a.queue.Blocked() {
			a.scheduleTick(time.Now())
		}
		select {
		case <-decision.entry.Decided():
		case <-req.body.inflow.withdrawn():
			a.abandon(decision.entry)
			r := req.body.inflow.refusal()
			a.events.request(logs.Refusal, "body refused", req.id, "route", req.route, "bytes", req.body.length, "granted", true,
				"wait", r.retryAfter.String(), "backlog", a.link.link.Backlog(time.Now()).String())
			return r
		case <-ctx.Done():
			a.abandon(decision.entry)
			return notRun(contextReason(ctx))
		}
	}
	state, retryAfter := a.queue.State(decision.entry)
	if state == backend.Running {
		return nil
	}
	r := notRun(reasonByState[state])
	r.retryAfter = retryAfter
	return r
}

// reasonByState maps the final state of a queue entry that did not run to the reason
// given to the caller.
var reasonByState = map[backend.State]caller.Reason{
	backend.Overloaded: caller.ReasonOverload,
	backend.Expired:    caller.ReasonDeadlineExceeded,
	backend.Closed:     caller.ReasonLeaving,
	backend.Finished:   caller.ReasonCancelled,
}

// run sends an admitted request unless it has been given up. The process may have been suspended while
// the request was queued, and equal requests may have crashed backend servers, so the instance, the
// quarantine, the context and the deadline are checked again.
func (a *admission) run(ctx context.Context, req *request, decision queueDecision, start *handover.Offer) *result {
	if err := a.connectFirst(ctx, &req.body); err != nil {
		return a.handleSendError(ctx, time.Now(), req, decision.entry, err)
	}
	if r := a.awaitTurn(ctx, req); r != nil {
		a.finish(time.Now(), decision.entry, backend.Cancelled)
		r.instance = decision.instance
		return r
	}
	if err := req.body.readRest(time.Now(), req.deadline.Add(-req.suspended.Elapsed()), a.budget); err != nil {
		a.finish(time.Now(), decision.entry, backend.Cancelled)
		a.events.request(logs.Refusal, "reading request body failed", req.id, "error", err.Error())
		if errors.Is(err, http1.ErrBodyTooLarge) {
			return notRun(caller.ReasonOverload)
		}
		return notRun(caller.ReasonCancelled)
	}
	now := time.Now()
	id, reason := a.resolveInstance(now, req, decision.instance)
	remaining := req.deadline.Sub(now) - req.suspended.Elapsed()
	switch {
	case ctx.Err() != nil:
		reason = contextReason(ctx)
	case reason == caller.ReasonNone && a.quarantine.Quarantined(now, requestKey(req)):
		reason = caller.ReasonQuarantined
	case !req.body.receipt.MayBegin():
		reason = caller.ReasonCancelled
	case remaining <= 0:
		reason = caller.ReasonDeadlineExceeded
	case reason == caller.ReasonNone && !start.Commit():
		reason = caller.ReasonLeaving
	}
	if reason != caller.ReasonNone {
		a.finish(now, decision.entry, backend.Cancelled)
		r := notRun(reason)
		r.instance = id
		return r
	}
	if req.atMostOnce {
		// A request that runs at most once is not cancelled when its caller disconnects,
		// because a partial run is of no use to anyone.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), remaining)
		defer cancel()
		var end context.CancelCauseFunc
		ctx, end = a.shutdown.untilEnd(ctx)
		defer end(nil)
	}
	a.running.Add(1)
	defer a.running.Add(-1)
	a.calls.begin(now, req)
	defer a.calls.end(req)
	r := a.send(ctx, req, id, remaining, decision.entry)
	r.instance = id
	return r
}

// connectFirst makes sure that the backend server can be reached before a body is asked for
// that can't be sent to another one afterwards.
func (a *admission) connectFirst(ctx context.Context, b *body) error {
	if b.receipt.MayBegin() || b.bufferable() || a.client.HasOpenConn() {
		return nil
	}
	if err := a.client.Connect(ctx); err != nil {
		return fmt.Errorf("%w: %w", http1.ErrNotSent, err)
	}
	return nil
}

// send sends a request to the backend server and interprets the response.
func (a *admission) send(ctx context.Context, req *request, id string, remaining time.Duration, entry *backend.Entry) *result {
	h := req.header.Clone()
	a.protocol.SetTarget(h, id, remaining)
	httpReq := http1.NewRequest(req.method, req.target, req.host, h)
	httpReq.SetBody(req.body.prefix, req.body.rest, req.body.length)
	a.identifyResponse(httpReq, req.id)
	if req.atMostOnce {
		httpReq.SetFreshConnOnly()
	}
	resp, err := a.client.Do(ctx, httpReq)
	now := time.Now()
	if err != nil {
		return a.handleSendError(ctx, now, req, entry, err)
	}
	a.recordReachable(now)
	meta := a.protocol.ResponseMetadata(resp.Status(), resp.Header())
	resp.DropConnectionFields()
	if meta.notRun {
		a.finish(now, entry, backend.Shed)
		r := notRun(caller.ReasonOverload)
		if meta.wrongInstance {
			a.events.stateChange("unexpected instance at backend address", "expected", id, "found", meta.instance)
			r.reason = caller.ReasonNoBackend
		}
		r.delivered = true
		resp.Release()
		return r
	}
	a.finish(now, entry, backend.Served)
	if answered := a.quarantine.RecordAnswer(requestKey(req)); len(answered) > 0 {
		a.events.spawn(func() { a.reportCrashes(answered) })
	}
	return &result{outcome: caller.OutcomeRan, delivered: true, status: resp.Status(), header: resp.Header(), body: resp.Body(), lease: resp.Lease()}
}

// identifyResponse makes a request to the backend server accept only the response to the
// request with its id. A backend server may send a response again later. That must not happen
// to a refusal, by which others are told that a request has not run, not even where the same
// request is sent to the backend server again. A refusal therefore ends its connection.
func (a *admission) identifyResponse(r *http1.Request, id string) {
	r.SetResponseMatcher(func(h http.Header) http1.Match { return a.protocol.Match(id, h) })
	r.SetCloseAfter(func(status int, h http.Header) bool { return a.protocol.ResponseMetadata(status, h).notRun })
	r.SetOnSkip(func(status int, h http.Header) {
		a.events.request(logs.Refusal, "response skipped", id, "status", status, "refusal", a.protocol.ResponseMetadata(status, h).notRun,
			"identified", a.protocol.Match(id, h) != http1.Unidentified)
	})
}

// handleSendError derives the result of a request that got no response from the error.
func (a *admission) handleSendError(ctx context.Context, now time.Time, req *request, entry *backend.Entry, err error) *result {
	switch {
	case errors.Is(err, http1.ErrNotSent) && ctx.Err() != nil:
		a.finish(now, entry, backend.Cancelled)
		return notRun(contextReason(ctx))
	case errors.Is(err, http1.ErrNotSent) && localShortage(err):
		a.finish(now, entry, backend.Cancelled)
		a.events.request(logs.Refusal, "connecting to backend server failed", req.id, "error", err.Error())
		return notRun(caller.ReasonNoBackend)
	case errors.Is(err, http1.ErrNotSent):
		a.finish(now, entry, backend.Disconnected)
		a.recordUnreachable(now, err)
		return notRun(caller.ReasonNoBackend)
	case ctx.Err() != nil:
		a.finish(now, entry, backend.Cancelled)
		return &result{outcome: caller.OutcomeUnknown, reason: contextReason(ctx), delivered: true}
	case errors.Is(err, http1.ErrRequestBody):
		a.finish(now, entry, backend.Cancelled)
		return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonBadRequest, delivered: true}
	}
	a.finish(now, entry, backend.Disconnected)
	a.events.request(logs.Unknown, "response lost", req.id, "error", err.Error())
	if !a.client.HasOpenConn() {
		a.events.spawn(func() { a.checkCrash(req) })
	}
	return &result{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost, delivered: true}
}

func requestKey(req *request) backend.RequestKey {
	return backend.NewRequestKey(req.customer, req.fingerprint)
}

// contextReason maps the cause for which a context ended to a reason.
func contextReason(ctx context.Context) caller.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return caller.ReasonDeadlineExceeded
	case errors.Is(cause, errStopping):
		return caller.ReasonLeaving
	}
	return caller.ReasonCancelled
}
