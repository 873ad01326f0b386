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
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/backendhttp"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/table"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

// Header fields between daemon and backend server.
const (
	// ParentHeader names a running request; the backend server passes it on
	// with the calls that the request leads to.
	ParentHeader = "Lycheehead-Request"
	// CustomerHeader names the customer that a request runs for.
	CustomerHeader = "Lycheehead-Customer"
	// TimeoutHeader has what is left of the deadline in milliseconds.
	TimeoutHeader = "Lycheehead-Timeout"
	// instanceHeader is the backend server's mark, which a restart changes.
	instanceHeader = "Backend-Instance"
	// shedHeader says that the backend server refused a request unrun.
	shedHeader = "Backend-Shed"
)

const (
	// maxConnections is how many maxConnections a backend server gets at most.
	maxConnections = 100
	// maxQueueWait and queueNested are how long work waits for its turn, the latter
	// where it follows from other work.
	maxQueueWait       = 500 * time.Millisecond
	maxNestedQueueWait = 30 * time.Millisecond
	// crashReportTimeout bounds telling another daemon of a death.
	crashReportTimeout = time.Second
	// bodyBufferBytes is the size in bytes of the reads of bodies.
	bodyBufferBytes = 16 << 10
)

// gate is the admission to a backend server, whatever its window.
type gate interface {
	Submit(now time.Time, customer string, weight int, deadline time.Time) (*backend.Ticket, backend.State)
	State(t *backend.Ticket) backend.State
	Done(now time.Time, t *backend.Ticket, r backend.Result)
	Cancel(t *backend.Ticket) bool
	Restarted(now time.Time)
	Resize(now time.Time, slots int)
	Close()
	Load() upstream.Load
}

// egress admits work to the daemon's own backend server and carries it there.
type egress struct {
	*core
	feed       *feed
	gate       gate
	quarantine *backend.Quarantine
	client     *backendhttp.Client
	// calls has the contexts of the requests that run, by their tokens.
	calls *table.Table[string, caller.Context]
	// instanceIDs has the backend server's instance mark under the empty key.
	instanceIDs *table.Table[string, string]
}

func newEgress(c *core, f *feed, g gate) *egress {
	k := &egress{
		core:        c,
		feed:        f,
		gate:        g,
		quarantine:  backend.NewQuarantine(),
		calls:       table.New[string, caller.Context](lock.Calls),
		instanceIDs: table.New[string, string](lock.Calls),
	}
	k.client = backendhttp.New(c.settings.GetBackend(), maxConnections, k.connectionsLost)
	return k
}

// connectionsLost notes a sign that the backend server has started anew.
func (k *egress) connectionsLost() {
	k.log.Info("gate", "reason", "backend server lost its connections")
	k.gate.Restarted(time.Now())
}

// apply takes over a version.
func (k *egress) apply(now time.Time, cfg *platform.Config) {
	if b, ok := cfg.Backend(k.self.Name()); ok {
		k.gate.Resize(now, b.Slots())
	}
}

// parentContext returns the context of a running request.
func (k *egress) parentContext(token string) (caller.Context, bool) { return k.calls.Get(token) }

// admission is the decision on a piece of work at the gate.
type admission struct {
	ticket  *backend.Ticket
	state   backend.State
	refusal caller.Reason
}

// serve runs work at the backend server. admitted is called before the first
// byte of a body that was held back is read.
func (k *egress) serve(ctx context.Context, w *work, body io.Reader, admitted func() error) *reply {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, w.context.Deadline())
	r := k.admitAndRun(ctx, now, w, body, admitted)
	r.load = k.gate.Load()
	k.log.Info("gate", "customer", w.context.Customer(), "route", w.route, "outcome", r.outcome.String(),
		"reason", string(r.reason), "running", r.load.Running(), "waiting", r.load.Waiting(), "window", r.load.Window())
	if r.body == nil {
		cancel()
		return r
	}
	r.body, _ = cancelOnClose(r.body, cancel)
	return r
}

func (k *egress) admitAndRun(ctx context.Context, now time.Time, w *work, body io.Reader, admitted func() error) *reply {
	a, err := workers.Do(ctx, k.pool, func() admission { return k.admit(now, w) })
	if err != nil {
		return notRunReply(endReason(ctx))
	}
	if a.refusal != caller.ReasonNone {
		r := notRunReply(a.refusal)
		r.leaving = a.refusal == caller.ReasonLeaving
		return r
	}
	if reason := k.awaitTicket(ctx, w, a); reason != caller.ReasonNone {
		return notRunReply(reason)
	}
	// The last look before the backend server: a process that was paused while
	// the work waited must not run what was given up meanwhile.
	if ctx.Err() != nil || !time.Now().Before(w.context.Deadline()) {
		k.gate.Done(time.Now(), a.ticket, backend.Cancelled)
		return notRunReply(caller.ReasonDeadlineExceeded)
	}
	if w.deferBody {
		body, err = awaitBody(body, admitted)
		if err != nil {
			k.gate.Done(time.Now(), a.ticket, backend.Cancelled)
			return notRunReply(caller.ReasonCancelled)
		}
	}
	return k.run(ctx, w, body, a.ticket)
}

// awaitBody asks for a body that was held back and waits for its first byte.
func awaitBody(body io.Reader, admitted func() error) (io.Reader, error) {
	if err := admitted(); err != nil {
		return nil, fmt.Errorf("ask for the body: %w", err)
	}
	r := bufio.NewReaderSize(body, bodyBufferBytes)
	if _, err := r.Peek(1); err != nil {
		return nil, fmt.Errorf("begin body: %w", err)
	}
	return r, nil
}

func notRunReply(reason caller.Reason) *reply {
	return &reply{outcome: caller.OutcomeNotRun, reason: reason}
}

// admit decides on work at the gate. The ingress has checked the key; it is
// checked again here unless the ingress went by a newer version.
func (k *egress) admit(now time.Time, w *work) admission {
	cfg := k.config()
	switch {
	case k.stopping.Load():
		return admission{refusal: caller.ReasonLeaving}
	case cfg == nil || !k.feed.ready(now):
		return admission{refusal: caller.ReasonStarting}
	case !cfg.InService(k.self.Name()):
		return admission{refusal: caller.ReasonOutOfService}
	}
	if w.version <= cfg.Number() {
		if reason := authorize(cfg, w); reason != caller.ReasonNone {
			return admission{refusal: reason}
		}
	}
	if b, ok := cfg.Backend(k.self.Name()); !ok || b.Service() != w.service {
		return admission{refusal: caller.ReasonOutOfService}
	}
	if k.quarantine.Quarantined(now, requestKey(w)) {
		return admission{refusal: caller.ReasonQuarantined}
	}
	t, state := k.gate.Submit(now, w.context.Customer(), w.weight, w.context.Deadline())
	return admission{ticket: t, state: state}
}

// authorize checks that the work may run for its customer.
func authorize(cfg *platform.Config, w *work) caller.Reason {
	route, ok := cfg.Route(pathOf(w.target))
	if !ok {
		return caller.ReasonNoRoute
	}
	customer := w.context.Customer()
	switch {
	case route.AllowsAnonymous():
		return caller.ReasonNone
	case w.context.Depth() > 0:
		if _, known := cfg.Customer(customer); !known {
			return caller.ReasonInvalidKey
		}
		return caller.ReasonNone
	}
	if owner, known := cfg.CustomerByKey(w.keyDigest); !known || owner.Name() != customer {
		return caller.ReasonInvalidKey
	}
	return caller.ReasonNone
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

// awaitTicket waits for a ticket's turn and returns why it has none. Work that follows
// from other work waits but shortly: what it waits for may be waiting for it.
func (k *egress) awaitTicket(ctx context.Context, w *work, a admission) caller.Reason {
	if a.state == backend.Waiting {
		patience := maxQueueWait
		if w.context.Depth() > 0 {
			patience = maxNestedQueueWait
		}
		timer := time.NewTimer(patience)
		defer timer.Stop()
		select {
		case <-a.ticket.Decided():
		case <-timer.C:
			return k.withdraw(a, caller.ReasonOverload)
		case <-ctx.Done():
			return k.withdraw(a, endReason(ctx))
		}
	}
	switch k.gate.State(a.ticket) {
	case backend.Running:
		return caller.ReasonNone
	case backend.Overloaded:
		return caller.ReasonOverload
	case backend.Closed:
		return caller.ReasonLeaving
	}
	return caller.ReasonDeadlineExceeded
}

// withdraw takes back a ticket that waits, or ends it if it runs by now.
func (k *egress) withdraw(a admission, reason caller.Reason) caller.Reason {
	if !k.gate.Cancel(a.ticket) {
		k.gate.Done(time.Now(), a.ticket, backend.Cancelled)
	}
	return reason
}

// run sends admitted work to the backend server.
func (k *egress) run(ctx context.Context, w *work, body io.Reader, t *backend.Ticket) *reply {
	parent := newToken()
	k.calls.Put(parent, w.context)
	resp, err := k.client.Do(ctx, backendhttp.NewRequest(w.method, w.target, k.header(w, parent), body, w.length))
	if err != nil {
		k.calls.Delete(parent)
		return k.failedReply(ctx, w, t, err)
	}
	k.recordInstanceID(resp.Header.Get(instanceHeader))
	if resp.Header.Get(shedHeader) != "" {
		k.calls.Delete(parent)
		_ = resp.Body.Close()
		k.gate.Done(time.Now(), t, backend.Shed)
		return notRunReply(caller.ReasonOverload)
	}
	result := backend.Served
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		result = backend.Shed
	}
	k.quarantine.RecordAnswer(requestKey(w))
	return &reply{
		outcome: caller.OutcomeRan,
		status:  resp.StatusCode,
		fields:  fieldsOf(resp.Header),
		length:  resp.ContentLength,
		body:    &backendBody{egress: k, ctx: ctx, body: resp.Body, ticket: t, result: result, parent: parent, work: w},
	}
}

// failedReply replies to work that the backend server did not answer.
func (k *egress) failedReply(ctx context.Context, w *work, t *backend.Ticket, err error) *reply {
	k.log.Debug("backend server", "error", err)
	now := time.Now()
	switch {
	case errors.Is(err, backendhttp.ErrNotSent) && ctx.Err() != nil:
		k.gate.Done(now, t, backend.Cancelled)
		return notRunReply(endReason(ctx))
	case errors.Is(err, backendhttp.ErrNotSent):
		k.gate.Done(now, t, backend.Disconnected)
		return notRunReply(caller.ReasonNoBackend)
	case ctx.Err() != nil:
		k.gate.Done(now, t, backend.Cancelled)
		return &reply{outcome: caller.OutcomeUnknown, reason: endReason(ctx)}
	}
	k.gate.Done(now, t, backend.Disconnected)
	k.recordCrash(now, w)
	return &reply{outcome: caller.OutcomeUnknown, reason: caller.ReasonResponseLost}
}

// recordCrash notes that the backend server recordCrash while it ran work, and tells the
// other daemons of the service, where the same request may come next.
func (k *egress) recordCrash(now time.Time, w *work) {
	k.log.Warn("backend server died", "customer", w.context.Customer(), "route", w.route, "fingerprint", w.fingerprint)
	k.quarantine.RecordCrash(now, requestKey(w))
	request := schema.Request_builder{Death: schema.Death_builder{
		Customer:    proto.String(w.context.Customer()),
		Fingerprint: proto.Uint64(w.fingerprint),
		Backend:     proto.String(k.self.Name()),
	}.Build()}.Build()
	for _, b := range k.config().BackendsOf(w.service) {
		if b.Name() != k.self.Name() {
			k.tasks.start(func() { _, _ = k.callPeer(k.baseCtx, b.Name(), crashReportTimeout, request) })
		}
	}
}

// recordInstanceID notes the backend server's instance recordInstanceID; a new one is a new start.
func (k *egress) recordInstanceID(mark string) {
	if mark == "" {
		return
	}
	changed := false
	k.instanceIDs.Update("", func(old string, ok bool) (string, bool) {
		changed = ok && old != mark
		return mark, true
	})
	if changed {
		k.gate.Restarted(time.Now())
	}
}

// header builds the header fields for the backend server.
func (k *egress) header(w *work, parent string) http.Header {
	h := make(http.Header, len(w.fields)+3)
	for _, f := range w.fields {
		h.Add(f.name, f.value)
	}
	h.Set(ParentHeader, parent)
	h.Set(CustomerHeader, w.context.Customer())
	left := time.Until(w.context.Deadline())
	h.Set(TimeoutHeader, strconv.FormatInt(left.Milliseconds(), 10))
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

// backendBody is the body of a backend server's answer. The request counts as
// running until it is closed.
type backendBody struct {
	egress *egress
	ctx    context.Context
	body   io.ReadCloser
	ticket *backend.Ticket
	result backend.Result
	parent string
	work   *work
	once   sync.Once
}

// Read implements io.Reader.
func (b *backendBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.finishTruncated()
		return n, fmt.Errorf("read answer: %w", err)
	}
	return n, err
}

// finishTruncated notes that an answer ended before it was whole.
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
		return fmt.Errorf("close answer: %w", err)
	}
	return nil
}

func (b *backendBody) finish(r backend.Result) {
	b.once.Do(func() {
		b.egress.calls.Delete(b.parent)
		b.egress.gate.Done(time.Now(), b.ticket, r)
		if r == backend.Disconnected {
			b.egress.recordCrash(time.Now(), b.work)
		}
	})
}
