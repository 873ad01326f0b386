package daemon

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/handover"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// probeDelay is how long to wait for the reply to a call before probing the other
	// daemon, and probeTimeout bounds the probe.
	probeDelay   = 400 * time.Millisecond
	probeTimeout = 600 * time.Millisecond
)

var errWithdrawn = eris.New("request was given up")

// reply is the result of sending work to an egress, in this or in another daemon. body
// is nil unless the backend server responded.
type reply struct {
	outcome caller.Outcome
	reason  caller.Reason
	status  int
	fields  []Field
	length  int64
	load    upstream.Load
	leaving bool
	body    io.ReadCloser
}

// router selects backend servers, with any routing policy.
type router interface {
	Pick(now time.Time, rnd upstream.Rand, cfg *platform.Config, service string, available upstream.Reachable, tried []string) (upstream.Candidate, bool)
	Done(now time.Time, name string, r upstream.Result, load upstream.Load)
	Status(now time.Time, cfg *platform.Config, name string, available upstream.Reachable) string
	Sweep(cfg *platform.Config)
}

// dispatcher selects backend servers for requests and sends the requests to them.
type dispatcher struct {
	*core
	router router
	// budget limits the retries to each service.
	budget *caller.RetryBudget
	egress *egress
}

// pickResult is what router.Pick returns.
type pickResult struct {
	candidate upstream.Candidate
	ok        bool
}

// dispatch tries backend servers until one responds, no retry is left, or the
// request may have run and must not run again.
func (d *dispatcher) dispatch(ctx context.Context, cfg *platform.Config, w *work, body *payload) *Response {
	d.budget.RecordRequest(w.service)
	retries := w.context.Retries()
	var tried []string
	last := refusedResponse(caller.ReasonNoBackend)
	lost := false
	for {
		now := time.Now()
		c, err := workers.Do(ctx, d.pool, func() pickResult {
			var c pickResult
			c.candidate, c.ok = d.router.Pick(now, newRand(), cfg, w.service, d.available(now), tried)
			return c
		})
		if err != nil {
			return d.interrupted(ctx, last)
		}
		if !c.ok {
			d.log.Info("route", "service", w.service, "tried", tried, "reason", "no eligible backend server left")
			return last
		}
		name := c.candidate.Name()
		d.log.Info("route", "service", w.service, "backend", name, "distance", c.candidate.Distance(),
			"score", c.candidate.Score(), "try", len(tried)+1)
		w.context = caller.NewContext(w.context.Customer(), w.context.Anonymous(), w.context.Deadline(), w.context.Depth(), retries)
		r := d.try(ctx, name, w, body)
		d.recordResult(name, r)
		last = newResponse(name, r)
		lost = lost || r.outcome == caller.OutcomeUnknown
		if lost && r.outcome == caller.OutcomeNotRun {
			// An earlier try may have run the request.
			last.outcome = caller.OutcomeUnknown
			if ctx.Err() == nil {
				last.reason = caller.ReasonResponseLost
			}
		}
		if !d.mayRetry(w, body, r) || retries == 0 || !d.budget.AllowRetry(w.service) {
			return last
		}
		retries--
		tried = append(tried, name)
	}
}

// interrupted returns the response to a request that was cancelled or whose
// deadline passed before the next try.
func (d *dispatcher) interrupted(ctx context.Context, last *Response) *Response {
	last.reason = endReason(ctx)
	return last
}

// mayRetry reports whether work may be tried again: it has not run or may run
// twice, and its body can be sent again.
func (d *dispatcher) mayRetry(w *work, body *payload, r *reply) bool {
	if !body.replayable() {
		return false
	}
	switch r.outcome {
	case caller.OutcomeRan:
		return false
	case caller.OutcomeUnknown:
		return !w.atMostOnce && r.reason == caller.ReasonResponseLost
	}
	switch r.reason {
	case caller.ReasonInvalidKey, caller.ReasonDeadlineExceeded, caller.ReasonCancelled, caller.ReasonQuarantined, caller.ReasonNoRoute, caller.ReasonBadRequest:
		return false
	}
	return true
}

// recordResult reports the result of a try to the router.
func (d *dispatcher) recordResult(name string, r *reply) {
	result := upstream.Accepted
	switch {
	case r.leaving:
		result = upstream.Draining
	case r.reason == caller.ReasonOverload, r.reason == caller.ReasonOutOfService, r.reason == caller.ReasonStarting:
		result = upstream.Refused
	case r.reason == caller.ReasonNoBackend, r.reason == caller.ReasonResponseLost:
		result = upstream.ConnectionFailed
	}
	d.router.Done(time.Now(), name, result, r.load)
}

func newResponse(name string, r *reply) *Response {
	return &Response{
		outcome: r.outcome,
		reason:  r.reason,
		backend: name,
		status:  r.status,
		fields:  r.fields,
		body:    r.body,
		length:  r.length,
	}
}

// try sends work to one backend server, directly or through the daemon beside it.
func (d *dispatcher) try(ctx context.Context, name string, w *work, body *payload) *reply {
	if name == d.self.Name() {
		return d.egress.serve(ctx, w, body.reader(), func() error { return nil })
	}
	i, ok := d.members.Get(name)
	if !ok {
		return &reply{outcome: caller.OutcomeNotRun, reason: caller.ReasonNoBackend}
	}
	request := schema.Request_builder{Call: encodeWork(w, time.Now())}.Build()
	s, release, err := d.mesh.OpenStream(ctx, name, i.PeerAddress(), request)
	if errors.Is(err, peerquic.ErrUnreachable) {
		d.members.RecordFailure(time.Now(), name)
		return d.failedReply(ctx, caller.OutcomeNotRun, caller.ReasonNoBackend)
	}
	if err != nil {
		return d.failedReply(ctx, caller.OutcomeUnknown, caller.ReasonResponseLost)
	}
	e := &exchange{dispatcher: d, name: name, stream: s, release: release}
	return e.run(ctx, w, body)
}

// failedReply returns the reply to a try for which the other daemon sent none.
func (d *dispatcher) failedReply(ctx context.Context, o caller.Outcome, reason caller.Reason) *reply {
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	return &reply{outcome: o, reason: reason}
}

// exchange is one try through another daemon.
type exchange struct {
	*dispatcher
	name    string
	stream  *peerquic.Stream
	release func()
	offer   handover.Offer
	// body is the deferred body once it is being sent, or nil.
	body *watchedBody
}

// run sends the body and reads the reply.
func (e *exchange) run(ctx context.Context, w *work, body *payload) *reply {
	stop := context.AfterFunc(ctx, e.stream.Abort)
	probe := time.AfterFunc(probeDelay, func() { e.probe(ctx) })
	defer probe.Stop()
	fail := func(err error) *reply {
		stop()
		e.stream.Abort()
		e.release()
		if errors.Is(err, peerquic.ErrUnreachable) || w.deferBody && e.offer.Withdraw() {
			return e.failedReply(ctx, caller.OutcomeNotRun, caller.ReasonNoBackend)
		}
		if e.body != nil && e.body.failed.Load() {
			// The other daemon is not at fault, and is not avoided.
			return e.failedReply(ctx, caller.OutcomeUnknown, caller.ReasonCancelled)
		}
		return e.failedReply(ctx, caller.OutcomeUnknown, caller.ReasonResponseLost)
	}
	// A daemon that has answered reads no more, and its answer decides.
	if err := e.sendInitial(w, body); err != nil && !errors.Is(err, peerquic.ErrNotReading) {
		return fail(err)
	}
	for {
		a, err := e.stream.ReadAnswer()
		if err != nil || !a.HasReply() {
			return fail(err)
		}
		if a.GetReply().GetAdmitted() {
			// From here on the body cannot be sent again.
			deferred := &watchedBody{Reader: body.reader()}
			e.body = deferred
			e.tasks.start(func() { e.sendOrAbort(deferred) })
			continue
		}
		e.members.RecordSuccess(e.name)
		return e.finish(stop, decodeReply(a.GetReply()))
	}
}

// sendInitial sends the call, with its body unless that is deferred.
func (e *exchange) sendInitial(w *work, body *payload) error {
	if w.deferBody {
		return e.stream.Flush()
	}
	return e.send(body.reader())
}

func (e *exchange) send(body io.Reader) error {
	if _, err := io.Copy(bodyWriter{e}, body); err != nil {
		return err
	}
	return e.stream.CloseSend()
}

// bodyWriter writes the body of an exchange.
type bodyWriter struct {
	*exchange
}

// Write implements io.Writer.
func (w bodyWriter) Write(p []byte) (int, error) {
	if !w.offer.Commit() {
		return 0, errWithdrawn
	}
	return w.stream.Write(p)
}

// sendOrAbort sends a deferred body. If the caller's body is truncated, it aborts the
// stream, so that the receiver does not treat the body as complete. It does not abort it if the
// receiver reads no more, whose reply may still be arriving.
func (e *exchange) sendOrAbort(body io.Reader) {
	if err := e.send(body); err != nil && !errors.Is(err, peerquic.ErrNotReading) {
		e.stream.Abort()
	}
}

// finish returns the reply with the rest of the stream as its body.
func (e *exchange) finish(stop func() bool, r *reply) *reply {
	if r.outcome == caller.OutcomeNotRun || r.status == 0 {
		stop()
		e.stream.Abort()
		e.release()
		return r
	}
	r.body = &streamBody{stream: e.stream, onClose: func() {
		stop()
		e.stream.Abort()
		e.release()
	}}
	return r
}

// probe checks that a daemon that has not replied to a call is alive. If the
// probe fails, it closes the connection, which ends all calls waiting on it.
func (e *exchange) probe(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	request := schema.Request_builder{Gossip: &schema.Gossip{}}.Build()
	_, err := e.callPeer(ctx, e.name, probeTimeout, request)
	if err != nil && ctx.Err() == nil && !errors.Is(err, peerquic.ErrStopping) {
		e.log.Warn("daemon not responding to probe, closing connection", "slot", e.name)
		e.mesh.Disconnect(e.name)
	}
}

// streamBody is a response body received from another daemon.
type streamBody struct {
	stream  *peerquic.Stream
	onClose func()
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) { return b.stream.Read(p) }

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.onClose()
	return nil
}

// cancelBody is a body that cancels the context of its request when closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// cancelOnClose makes closing the body call cancel, and returns a cancel function
// that does nothing.
func cancelOnClose(body io.ReadCloser, cancel context.CancelFunc) (io.ReadCloser, context.CancelFunc) {
	return &cancelBody{ReadCloser: body, cancel: cancel}, func() {}
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
