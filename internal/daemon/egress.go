package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/backendhttp"
	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/handover"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

// Header fields between the daemon and its backend server.
const (
	// ParentHeader identifies a running request. The backend server copies it to the
	// calls that it makes for that request.
	ParentHeader = "Lycheehead-Request"
	// CustomerHeader names the customer of a request.
	CustomerHeader = "Lycheehead-Customer"
	// TimeoutHeader is the time remaining until the deadline, in milliseconds.
	TimeoutHeader = "Lycheehead-Timeout"
	// instanceHeader is an identifier that the backend server changes at each restart.
	instanceHeader = "Backend-Instance"
	// shedHeader is set if the backend server refused a request without running it.
	shedHeader = "Backend-Shed"
)

const (
	// maxConnections is the maximum number of connections to the backend server.
	maxConnections = 100
	// maxQueueWait and maxNestedQueueWait bound the wait for admission, the latter
	// for nested work.
	maxQueueWait       = 500 * time.Millisecond
	maxNestedQueueWait = 30 * time.Millisecond
	// bodyBufferBytes is the buffer size for reading bodies.
	bodyBufferBytes = 16 << 10
)

// gate controls admission to a backend server, with any window policy.
type gate interface {
	Submit(now time.Time, customer string, weight int, deadline time.Time) (*backend.Ticket, backend.State)
	State(t *backend.Ticket) backend.State
	Done(now time.Time, t *backend.Ticket, r backend.Result)
	Cancel(t *backend.Ticket) bool
	RecordRestart(now time.Time)
	Resize(now time.Time, concurrency int)
	Close()
	Load() upstream.Load
}

// egress admits work to the daemon's own backend server and sends it there.
type egress struct {
	*core
	feed     *feed
	gate     gate
	reporter *crashReporter
	client   *backendhttp.Client
	// calls maps the tokens of running requests to their contexts.
	calls *table.Table[string, caller.Context]
	// instanceIDs holds the last identifier received in instanceHeader. Its only key is
	// the empty string.
	instanceIDs *table.Table[string, string]
}

func newEgress(c *core, f *feed, g gate) *egress {
	e := &egress{
		core:        c,
		feed:        f,
		gate:        g,
		reporter:    newCrashReporter(c),
		calls:       table.New[string, caller.Context](lock.Calls),
		instanceIDs: table.New[string, string](lock.Calls),
	}
	e.client = backendhttp.New(c.settings.GetBackend(), maxConnections, isRefusal, e.connectionsLost)
	return e
}

// isRefusal reports whether a response with a header says that the request was not run.
func isRefusal(h http.Header) bool { return h.Get(shedHeader) != "" }

// connectionsLost handles the loss of the last connection to the backend server or
// its refusal of a new one. Both indicate a restart.
func (e *egress) connectionsLost() {
	e.log.Info("gate", "reason", "connections to backend server lost or refused")
	e.gate.RecordRestart(time.Now())
}

// apply resizes the gate to the number of requests that, according to cfg, the backend
// server can run at once.
func (e *egress) apply(now time.Time, cfg *platform.Config) {
	if b, ok := cfg.Backend(e.self.Name()); ok {
		e.gate.Resize(now, b.Slots())
	}
}

// parentContext returns the context of the running request that token identifies.
func (e *egress) parentContext(token string) (caller.Context, bool) { return e.calls.Get(token) }

// admission is the result of admit: a refusal, or the ticket of the gate with its state
// at that time.
type admission struct {
	ticket  *backend.Ticket
	state   backend.State
	refusal caller.Reason
}

// serve runs work at the backend server. It calls admitted before it reads the first
// byte of a deferred body. The caller must close the body of the reply, if it has one.
func (e *egress) serve(ctx context.Context, w *work, body io.Reader, admitted func() error) *reply {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, w.context.Deadline())
	r := e.admitAndRun(ctx, now, w, body, admitted)
	r.load = e.gate.Load()
	e.log.Info("gate", "customer", w.context.Customer(), "route", w.route, "outcome", r.outcome.String(),
		"reason", string(r.reason), "running", r.load.Running(), "waiting", r.load.Waiting(), "window", r.load.Window())
	if r.body == nil {
		cancel()
		return r
	}
	r.body, _ = cancelOnClose(r.body, cancel)
	return r
}

func (e *egress) admitAndRun(ctx context.Context, now time.Time, w *work, body io.Reader, admitted func() error) *reply {
	a, err := workers.Do(ctx, e.pool, func() admission { return e.admit(now, w) })
	if err != nil {
		return notRunReply(endReason(ctx))
	}
	if a.refusal != caller.ReasonNone {
		r := notRunReply(a.refusal)
		r.leaving = a.refusal == caller.ReasonLeaving
		return r
	}
	if reason := e.awaitTicket(ctx, w, a); reason != caller.ReasonNone {
		return notRunReply(reason)
	}
	// Check again directly before the backend server: if the process was paused while
	// the work was queued, the caller may have given up on it.
	if ctx.Err() != nil || !time.Now().Before(w.context.Deadline()) {
		e.gate.Done(time.Now(), a.ticket, backend.Cancelled)
		return notRunReply(caller.ReasonDeadlineExceeded)
	}
	if receipt := handover.NewReceipt[handover.FirstByte](w.deferBody); !receipt.MayBegin() {
		body, err = awaitBody(body, admitted)
		if err != nil {
			e.gate.Done(time.Now(), a.ticket, backend.Cancelled)
			return notRunReply(caller.ReasonCancelled)
		}
	}
	return e.run(ctx, w, body, a.ticket)
}

// awaitBody requests a deferred body and waits for its first byte.
func awaitBody(body io.Reader, admitted func() error) (io.Reader, error) {
	if err := admitted(); err != nil {
		return nil, fmt.Errorf("request deferred body: %w", err)
	}
	r := bufio.NewReaderSize(body, bodyBufferBytes)
	if _, err := r.Peek(1); err != nil {
		return nil, fmt.Errorf("read first byte of deferred body: %w", err)
	}
	return r, nil
}

func notRunReply(reason caller.Reason) *reply {
	return &reply{outcome: caller.OutcomeNotRun, reason: reason}
}

// admit decides on admission. The ingress has already checked the API key; the check
// is repeated here unless the ingress used a newer version.
func (e *egress) admit(now time.Time, w *work) admission {
	cfg := e.config()
	switch {
	case e.stopping.Load():
		return admission{refusal: caller.ReasonLeaving}
	case cfg == nil || !e.feed.ready(now):
		return admission{refusal: caller.ReasonStarting}
	case !cfg.InService(e.self.Name()):
		return admission{refusal: caller.ReasonOutOfService}
	}
	if w.version <= cfg.Number() {
		if reason := authorize(cfg, w); reason != caller.ReasonNone {
			return admission{refusal: reason}
		}
	}
	if b, ok := cfg.Backend(e.self.Name()); !ok || b.Service() != w.service {
		return admission{refusal: caller.ReasonOutOfService}
	}
	if !e.quarantine.Admit(now, requestKey(w)) {
		return admission{refusal: caller.ReasonQuarantined}
	}
	t, state := e.gate.Submit(now, w.context.Customer(), w.weight, w.context.Deadline())
	return admission{ticket: t, state: state}
}

// authorize checks that work may run for its customer.
func authorize(cfg *platform.Config, w *work) caller.Reason {
	route, ok := cfg.Route(pathOf(w.target))
	if !ok {
		return caller.ReasonNoRoute
	}
	customer := w.context.Customer()
	if w.context.Depth() > 0 {
		if _, known := cfg.Customer(customer); !known && !route.AllowsAnonymous() {
			return caller.ReasonInvalidKey
		}
		return caller.ReasonNone
	}
	var credential caller.Credential[string]
	if w.keyDigest != "" {
		credential = caller.NewCredential(w.keyDigest)
	}
	owner, identified, refusal := caller.Identify(credential, !route.AllowsAnonymous(), cfg.CustomerByKey)
	if identified && owner.Name() != customer {
		return caller.ReasonInvalidKey
	}
	return refusal
}

func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

func requestKey(w *work) backend.RequestKey {
	return backend.NewRequestKey(w.context.Customer(), w.fingerprint)
}

// awaitTicket waits for the gate's decision on a ticket and returns the reason of a
// refusal. Nested work waits only briefly, because the request that made it may
// occupy the capacity that it waits for.
func (e *egress) awaitTicket(ctx context.Context, w *work, a admission) caller.Reason {
	if a.state == backend.Waiting {
		limit := maxQueueWait
		if w.context.Depth() > 0 {
			limit = maxNestedQueueWait
		}
		timer := time.NewTimer(limit)
		defer timer.Stop()
		select {
		case <-a.ticket.Decided():
		case <-timer.C:
			return e.withdraw(a, caller.ReasonOverload)
		case <-ctx.Done():
			return e.withdraw(a, endReason(ctx))
		}
	}
	switch e.gate.State(a.ticket) {
	case backend.Running:
		return caller.ReasonNone
	case backend.Overloaded:
		return caller.ReasonOverload
	case backend.Closed:
		return caller.ReasonLeaving
	}
	return caller.ReasonDeadlineExceeded
}

// withdraw cancels a ticket, or ends it if it has been admitted.
func (e *egress) withdraw(a admission, reason caller.Reason) caller.Reason {
	if !e.gate.Cancel(a.ticket) {
		e.gate.Done(time.Now(), a.ticket, backend.Cancelled)
	}
	return reason
}

// run sends admitted work to the backend server.
func (e *egress) run(ctx context.Context, w *work, body io.Reader, t *backend.Ticket) *reply {
	token := newToken()
	e.calls.Put(token, w.context)
	watched := &watchedBody{Reader: body}
	if _, buffered := body.(io.Seeker); !buffered {
		body = watched
	}
	req := backendhttp.NewRequest(w.method, w.target, e.header(w, token), body, w.length)
	if w.atMostOnce {
		req = req.AtMostOnce()
	}
	resp, err := e.client.Do(ctx, req)
	if err != nil {
		e.calls.Delete(token)
		return e.failedReply(ctx, w, t, err, watched.failed.Load())
	}
	e.recordInstanceID(resp.Header.Get(instanceHeader))
	if isRefusal(resp.Header) {
		e.calls.Delete(token)
		_ = resp.Body.Close()
		e.gate.Done(time.Now(), t, backend.Shed)
		return notRunReply(caller.ReasonOverload)
	}
	result := backend.Served
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		result = backend.Shed
	}
	e.quarantine.RecordAnswer(requestKey(w))
	http1.DropConnectionFields(resp.Header)
	return &reply{
		outcome: caller.OutcomeRan,
		status:  resp.StatusCode,
		fields:  fieldsOf(resp.Header),
		length:  resp.ContentLength,
		body:    &backendBody{egress: e, ctx: ctx, body: resp.Body, ticket: t, result: result, token: token, work: w},
	}
}

// watchedBody is a request body that records whether it could not be read.
type watchedBody struct {
	io.Reader
	failed atomic.Bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.failed.Store(true)
	}
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
}

// failedReply returns the reply to work for which the backend server sent no
// response. bodyFailed states that the body could not be read, so that the connection to the
// backend server was closed for that and not because of a crash.
func (e *egress) failedReply(ctx context.Context, w *work, t *backend.Ticket, err error, bodyFailed bool) *reply {
	e.log.Debug("request to backend server failed", "error", err)
	now := time.Now()
	switch {
	case errors.Is(err, backendhttp.ErrNotSent) && ctx.Err() != nil:
		e.gate.Done(now, t, backend.Cancelled)
		return notRunReply(endReason(ctx))
	case errors.Is(err, backendhttp.ErrNotSent):
		e.gate.Done(now, t, backend.Disconnected)
		return notRunReply(caller.ReasonNoBackend)
	case ctx.Err() != nil:
		e.gate.Done(now, t, backend.Cancelled)
		return &reply{outcome: caller.OutcomeUnknown, reason: endReason(ctx)}
	case bodyFailed:
		e.gate.Done(now, t, backend.Cancelled)
		return &reply{outcome: caller.OutcomeUnknown, reason: caller.ReasonCancelled}
	}
	e.gate.Done(now, t, backend.Disconnected)
	e.recordCrash(now, w)
	return &reply{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost}
}

// recordCrash records that the backend server crashed while it ran work, and reports
// it to the other daemons of the service, which may receive the same request next.
func (e *egress) recordCrash(now time.Time, w *work) {
	e.log.Warn("backend server died", "customer", w.context.Customer(), "route", w.route, "fingerprint", w.fingerprint)
	var others []string
	for _, b := range e.config().BackendsOf(w.service) {
		if b.Name() != e.self.Name() {
			others = append(others, b.Name())
		}
	}
	e.reporter.report(now, requestKey(w), others)
}

// recordInstanceID records the backend server's identifier. A changed one means
// that the backend server was restarted.
func (e *egress) recordInstanceID(id string) {
	if id == "" {
		return
	}
	changed := false
	e.instanceIDs.Update("", func(old string, ok bool) (string, bool) {
		changed = ok && old != id
		return id, true
	})
	if changed {
		e.gate.RecordRestart(time.Now())
	}
}

// header builds the header of the request to the backend server.
func (e *egress) header(w *work, token string) http.Header {
	h := make(http.Header, len(w.fields)+3)
	for _, f := range w.fields {
		h.Add(f.name, f.value)
	}
	// A daemon of another version may have passed them on.
	http1.DropConnectionFields(h)
	h.Set(ParentHeader, token)
	h.Set(CustomerHeader, w.context.Customer())
	remaining := time.Until(w.context.Deadline())
	h.Set(TimeoutHeader, strconv.FormatInt(remaining.Milliseconds(), 10))
	return h
}

func fieldsOf(h http.Header) []Field {
	fields := make([]Field, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, Field{name: name, value: v})
		}
	}
	return fields
}

// backendBody is the body of a backend server's response. The gate treats the
// request as running until the body is closed or a read fails.
type backendBody struct {
	egress *egress
	ctx    context.Context
	body   io.ReadCloser
	ticket *backend.Ticket
	result backend.Result
	token  string
	work   *work
	once   sync.Once
}

// Read implements io.Reader.
func (b *backendBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.finishTruncated()
		return n, fmt.Errorf("read response body: %w", err)
	}
	return n, err
}

// finishTruncated ends a request whose response body was truncated.
func (b *backendBody) finishTruncated() {
	if b.ctx.Err() != nil {
		b.finish(backend.Cancelled)
		return
	}
	b.finish(backend.Disconnected)
}

// Close implements io.Closer.
func (b *backendBody) Close() error {
	b.finish(b.result)
	if err := b.body.Close(); err != nil {
		return fmt.Errorf("close response body: %w", err)
	}
	return nil
}

func (b *backendBody) finish(r backend.Result) {
	b.once.Do(func() {
		b.egress.calls.Delete(b.token)
		b.egress.gate.Done(time.Now(), b.ticket, r)
		if r == backend.Disconnected {
			b.egress.recordCrash(time.Now(), b.work)
		}
	})
}
