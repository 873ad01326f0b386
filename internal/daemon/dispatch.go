package daemon

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// probeAfter is how long a daemon may be silent about a call before it is
	// asked for a sign of life, and probeTimeout is how long that may take.
	probeAfter   = 400 * time.Millisecond
	probeTimeout = 600 * time.Millisecond
)

// reply is what an egress answers to a piece of work.
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

// router is the choice of backend servers, whatever its policy.
type router interface {
	Pick(now time.Time, rnd upstream.Rand, cfg *platform.Config, service string, usable upstream.Reachable, tried []string) (upstream.Candidate, bool)
	Done(now time.Time, name string, r upstream.Result, load upstream.Load)
	Status(now time.Time, cfg *platform.Config, name string, usable upstream.Reachable) string
	Sweep(cfg *platform.Config)
}

// dispatcher chooses backend servers for work and tries them.
type dispatcher struct {
	*core
	router router
	budget *caller.RetryBudget
	egress *egress
}

// choice is the router's verdict.
type choice struct {
	candidate upstream.Candidate
	ok        bool
}

// dispatch tries backend servers until one has answered, nothing more may be
// tried, or the request may have run and must not run again.
func (d *dispatcher) dispatch(ctx context.Context, cfg *platform.Config, w *work, body *payload) *Answer {
	d.budget.RecordRequest(w.service)
	retries := w.context.Retries()
	var tried []string
	last := refuse(caller.ReasonNoBackend)
	for {
		now := time.Now()
		c, err := workers.Do(ctx, d.pool, func() choice {
			var c choice
			c.candidate, c.ok = d.router.Pick(now, random(), cfg, w.service, d.usable(now), tried)
			return c
		})
		if err != nil {
			return d.stop(ctx, last)
		}
		if !c.ok {
			d.log.Info("route", "service", w.service, "tried", tried, "reason", "no backend server left")
			return last
		}
		name := c.candidate.Name()
		d.log.Info("route", "service", w.service, "backend", name, "distance", c.candidate.Distance(),
			"score", c.candidate.Score(), "try", len(tried)+1)
		w.context = caller.NewContext(w.context.Customer(), w.context.Anonymous(), w.context.Deadline(), w.context.Depth(), retries)
		r := d.try(ctx, name, w, body)
		d.done(name, r)
		last = answer(name, r)
		if !d.again(w, body, r) || retries == 0 || !d.budget.AllowRetry(w.service) {
			return last
		}
		retries--
		tried = append(tried, name)
	}
}

// stop answers a request whose caller gave up or whose deadline passed between
// two tries.
func (d *dispatcher) stop(ctx context.Context, last *Answer) *Answer {
	last.reason = ended(ctx)
	return last
}

// again says whether work may be tried once more: it has not run, or running
// it twice does no harm; and its body is still at hand.
func (d *dispatcher) again(w *work, body *payload, r *reply) bool {
	if !body.again() {
		return false
	}
	switch r.outcome {
	case caller.OutcomeRan:
		return false
	case caller.OutcomeUnknown:
		return !w.once && r.reason == caller.ReasonResponseLost
	}
	switch r.reason {
	case caller.ReasonInvalidKey, caller.ReasonDeadlineExceeded, caller.ReasonCancelled, caller.ReasonQuarantined, caller.ReasonNoRoute, caller.ReasonBadRequest:
		return false
	}
	return true
}

// done tells the router how a try went.
func (d *dispatcher) done(name string, r *reply) {
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

func answer(name string, r *reply) *Answer {
	return &Answer{
		outcome: r.outcome,
		reason:  r.reason,
		backend: name,
		status:  r.status,
		fields:  r.fields,
		body:    r.body,
		length:  r.length,
	}
}

// try sends work to one backend server, by its daemon or directly where it is
// the daemon's own.
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
		return d.failed(ctx, caller.OutcomeNotRun, caller.ReasonNoBackend)
	}
	if err != nil {
		return d.failed(ctx, caller.OutcomeUnknown, caller.ReasonResponseLost)
	}
	e := &exchange{dispatcher: d, name: name, stream: s, release: release}
	return e.run(ctx, w, body)
}

// failed is the reply where the daemon beside the backend server gave none.
func (d *dispatcher) failed(ctx context.Context, o caller.Outcome, reason caller.Reason) *reply {
	if ctx.Err() != nil {
		reason = ended(ctx)
	}
	return &reply{outcome: o, reason: reason}
}

// exchange is one try at another daemon.
type exchange struct {
	*dispatcher
	name    string
	stream  *peerquic.Stream
	release func()
}

// run sends the body and reads the reply.
func (e *exchange) run(ctx context.Context, w *work, body *payload) *reply {
	stop := context.AfterFunc(ctx, e.stream.Abort)
	probe := time.AfterFunc(probeAfter, func() { e.probe(ctx) })
	defer probe.Stop()
	abandon := func(o caller.Outcome, reason caller.Reason) *reply {
		stop()
		e.stream.Abort()
		e.release()
		return e.failed(ctx, o, reason)
	}
	if err := e.begin(w, body); err != nil {
		return abandon(caller.OutcomeUnknown, caller.ReasonResponseLost)
	}
	sent := !w.hold
	for {
		a, err := e.stream.ReadAnswer()
		if err != nil || !a.HasReply() {
			// An egress begins nothing before the first byte of the body.
			if !sent {
				return abandon(caller.OutcomeNotRun, caller.ReasonNoBackend)
			}
			return abandon(caller.OutcomeUnknown, caller.ReasonResponseLost)
		}
		if a.GetReply().GetAdmitted() {
			sent = true
			e.tasks.start(func() { e.sendOrAbort(body) })
			continue
		}
		e.members.RecordSuccess(e.name)
		return e.finish(stop, decodeReply(a.GetReply()))
	}
}

// begin sends the call, with its body unless that is held back.
func (e *exchange) begin(w *work, body *payload) error {
	if w.hold {
		return e.stream.Flush()
	}
	return e.send(body)
}

func (e *exchange) send(body *payload) error {
	if _, err := io.Copy(e.stream, body.reader()); err != nil {
		return err
	}
	return e.stream.CloseSend()
}

// sendOrAbort sends a body that was held back. One that is cut on the caller's
// side is cut on the other side too, and never looks whole.
func (e *exchange) sendOrAbort(body *payload) {
	if err := e.send(body); err != nil {
		e.stream.Abort()
	}
}

// finish hands the reply on; the rest of the stream is its body.
func (e *exchange) finish(stop func() bool, r *reply) *reply {
	if r.outcome == caller.OutcomeNotRun || r.status == 0 {
		stop()
		e.stream.Abort()
		e.release()
		return r
	}
	r.body = &streamBody{stream: e.stream, end: func() {
		stop()
		e.stream.Abort()
		e.release()
	}}
	return r
}

// probe asks a daemon that is silent about a call for a sign of life. Without
// one the connection is given up, and with it the calls that wait on it.
func (e *exchange) probe(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	request := schema.Request_builder{Gossip: &schema.Gossip{}}.Build()
	if _, err := e.ask(ctx, e.name, probeTimeout, request); err != nil && ctx.Err() == nil {
		e.log.Warn("daemon does not answer", "slot", e.name)
		e.mesh.Disconnect(e.name)
	}
}

// streamBody is the body of an answer that comes from another daemon.
type streamBody struct {
	stream *peerquic.Stream
	end    func()
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) { return b.stream.Read(p) }

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.end()
	return nil
}

// ownedBody ends a request's context once its body is closed.
type ownedBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// own ties a context to a body and returns a cancel that does nothing.
func own(body io.ReadCloser, cancel context.CancelFunc) (io.ReadCloser, context.CancelFunc) {
	return &ownedBody{ReadCloser: body, cancel: cancel}, func() {}
}

// Close implements io.Closer.
func (b *ownedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
