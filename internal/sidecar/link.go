package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/pkg/bandwidth"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

// serviceMargin is the factor by which a request is assumed to take longer than usual once its
// body has arrived. A request that is granted the link for its body and ends too late has taken
// the link from others in vain.
const serviceMargin = 1.3

// linkPacer decides when the bodies of requests are requested from other daemons, and records what
// arrives over the machine's link without having been requested. A nil linkPacer has no limit.
type linkPacer struct {
	link   *bandwidth.Link
	events *events
	// timer calls tick while bodies wait.
	timer *time.Timer
	// rate is the rate in use that was logged last, in bytes per second.
	rate atomic.Int64
}

// newLinkPacer returns the pacer of a link that receives rate bytes per second, 0 if unknown.
func newLinkPacer(rate int64, e *events) *linkPacer {
	p := &linkPacer{link: bandwidth.NewLink(float64(rate)), events: e}
	p.rate.Store(rate)
	p.timer = time.AfterFunc(time.Hour, func() { p.events.protect(func() { p.tick(time.Now()) }) })
	p.timer.Stop()
	return p
}

// limited reports whether the rate of the link is known.
func (p *linkPacer) limited() bool { return p != nil && p.link.Limited() }

// tick grants and refuses waiting bodies, and schedules the next call while bodies wait.
func (p *linkPacer) tick(now time.Time) {
	if next := p.link.Tick(now); next > 0 {
		p.timer.Reset(next)
	}
}

// record records bytes that have arrived without having been requested.
func (p *linkPacer) record(bytes int) {
	if p.limited() && bytes > 0 {
		p.link.Record(time.Now(), bytes)
	}
}

// end ends the transfer of a body of which received bytes have arrived.
func (p *linkPacer) end(e *bandwidth.Entry, received int) {
	now := time.Now()
	p.link.End(now, e, received)
	p.tick(now)
	rate := int64(p.link.Rate())
	if old := p.rate.Swap(rate); old != rate {
		p.events.stateChange("rate of link", "bytes-per-second", rate, "before", old)
	}
}

// updateGauges updates the gauges of the link.
func (p *linkPacer) updateGauges(now time.Time, gauge func(name string, v float64)) {
	if !p.limited() {
		return
	}
	counts := p.link.Counts()
	gauge("link_bytes_per_second", p.link.Rate())
	gauge("link_backlog_seconds", p.link.Backlog(now).Seconds())
	gauge("link_bodies_granted", float64(counts.Granted()))
	gauge("link_bodies_delayed", float64(counts.Delayed()))
	gauge("link_bodies_refused", float64(counts.Refused()))
	gauge("link_bodies_missing", float64(counts.Returned()))
	gauge("link_bodies_overtaken", float64(counts.Overtaken()))
}

// recordReads returns a body that records what is read of it.
func (p *linkPacer) recordReads(body io.ReadCloser) io.ReadCloser {
	if !p.limited() {
		return body
	}
	return &recordedBody{ReadCloser: body, pacer: p}
}

// recordRequests returns a handler that records the bodies of its requests.
func (p *linkPacer) recordRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = p.recordReads(r.Body)
		h.ServeHTTP(w, r)
	})
}

// recordedBody records the bytes that are read.
type recordedBody struct {
	io.ReadCloser
	pacer *linkPacer
}

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.pacer.record(n)
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
}

// receive prepares the body of another daemon's request for the link. What has arrived of it is
// recorded, and so is the rest, unless it is granted.
func (p *linkPacer) receive(b body) body {
	if !p.limited() {
		return b
	}
	p.record(len(b.prefix))
	if b.rest != nil {
		b.inflow = &inflow{pacer: p, src: b.rest, length: b.length}
		b.rest = b.inflow
	}
	return b
}

// inflow reads the body of another daemon's request and reports to the link how it arrives.
type inflow struct {
	pacer  *linkPacer
	src    io.Reader
	length int64
	// entry is the body's entry at the link, nil if it does not wait for a grant.
	entry    *bandwidth.Entry
	received atomic.Int64
}

// begin records that the body is requested. If more urgent bodies have overtaken it, begin first
// waits until they have arrived. requested is false if ctx ends before, or if the body is refused
// because there is no room for it in time.
func (f *inflow) begin(ctx context.Context) (overtaken, requested bool) {
	turn := f.pacer.link.Begin(time.Now(), f.entry)
	if turn == nil {
		return false, true
	}
	f.pacer.tick(time.Now())
	select {
	case <-turn:
		state, _ := f.pacer.link.State(f.entry)
		return true, state != bandwidth.Refused
	case <-ctx.Done():
		return true, false
	}
}

// Read implements io.Reader.
func (f *inflow) Read(p []byte) (int, error) {
	n, err := f.src.Read(p)
	received := f.received.Add(int64(n))
	switch {
	case f.entry == nil:
		f.pacer.record(n)
	case err != nil || received == f.length:
		f.end()
	default:
		f.pacer.link.Progress(time.Now(), f.entry)
	}
	return n, err //nolint:wrapcheck // readers compare io.EOF itself
}

// withdrawn returns a channel that is closed if the body is refused after it has been granted, or nil
// if it does not wait for a grant.
func (f *inflow) withdrawn() <-chan struct{} {
	if f == nil || f.entry == nil {
		return nil
	}
	return f.entry.Withdrawn()
}

// refusal returns the result of a request whose body was granted and has been refused since, or nil.
func (f *inflow) refusal() *result {
	state, wait := f.pacer.link.State(f.entry)
	if state != bandwidth.Refused {
		return nil
	}
	r := notRun(caller.ReasonOverload)
	r.retryAfter = wait
	return r
}

// end ends the transfer, whether the body has arrived or not. Calls after the first have no effect.
func (f *inflow) end() {
	if f != nil && f.entry != nil {
		f.pacer.end(f.entry, int(f.received.Load()))
	}
}

// linkDecision is the decision whether the body of a request is refused, queued or granted.
type linkDecision struct {
	entry *bandwidth.Entry
	state bandwidth.State
	wait  time.Duration
	// refusal is the reason if the request is refused without the link having been asked.
	refusal  caller.Reason
	instance string
}

// awaitLink waits until the body of a request may be requested from its sender. It returns nil
// if that is so, or if the body need not wait, and the refusal otherwise. The caller must end
// the transfer. The request does not have a slot of the backend server meanwhile, which calls
// with small bodies need as well.
func (a *admission) awaitLink(ctx context.Context, req *request, instance string, redirectable bool) *result {
	f := req.body.inflow
	if f == nil || req.body.receipt.MayBegin() || req.body.length >= 0 && req.body.length <= upstream.MaxInlineBody {
		return nil
	}
	begin := time.Now()
	d, err := workers.Do(ctx, a.pool, func() linkDecision { return a.submitBody(begin, req, instance, redirectable) })
	if err != nil {
		return notRun(contextReason(ctx))
	}
	if d.refusal != caller.ReasonNone {
		r := notRun(d.refusal)
		r.instance = d.instance
		return r
	}
	f.entry = d.entry
	f.pacer.tick(time.Now())
	if d.state == bandwidth.Queued {
		select {
		case <-d.entry.Decided():
		case <-ctx.Done():
			return notRun(contextReason(ctx))
		}
	}
	state, wait := f.pacer.link.State(d.entry)
	class, text := logs.Success, "body granted"
	if state != bandwidth.Granted {
		class, text = logs.Refusal, "body refused"
	}
	if waited := time.Since(begin); d.state != bandwidth.Granted {
		a.events.request(class, text, req.id, "route", req.route, "bytes", req.body.length, "waited", waited.String(),
			"wait", wait.String(), "backlog", f.pacer.link.Backlog(time.Now()).String())
	}
	if state == bandwidth.Granted {
		return nil
	}
	r := notRun(caller.ReasonOverload)
	if a.shutdown.backendClosed.Load() {
		r.reason = caller.ReasonLeaving
	}
	r.retryAfter, r.instance = wait, d.instance
	return r
}

// awaitTurn waits until the body of a request that has a slot may be requested, unless it need not
// wait for the link. It returns the refusal if that will not be so before the deadline.
func (a *admission) awaitTurn(ctx context.Context, req *request) *result {
	f := req.body.inflow
	if f == nil || f.entry == nil {
		return nil
	}
	begin := time.Now()
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(-req.suspended.Elapsed()))
	defer cancel()
	overtaken, requested := f.begin(ctx)
	if overtaken {
		class := logs.Success
		if !requested {
			class = logs.Refusal
		}
		a.events.request(class, "body overtaken", req.id, "route", req.route, "bytes", req.body.length, "waited", time.Since(begin).String(),
			"requested", requested)
	}
	if requested {
		return nil
	}
	if r := f.refusal(); r != nil {
		return r
	}
	return notRun(contextReason(ctx))
}

// submitBody submits the body of a request to the link, unless the request is refused anyway.
func (a *admission) submitBody(now time.Time, req *request, instance string, redirectable bool) linkDecision {
	id, reason := a.check(now, req, instance)
	if reason != caller.ReasonNone {
		return linkDecision{refusal: reason, instance: id}
	}
	suspended := -req.suspended.Elapsed()
	after := time.Duration(serviceMargin * float64(a.queue.MeanServiceTime(req.route)))
	transfer := bandwidth.NewTransfer(int(req.body.length), req.priority, req.objective.Add(suspended), req.deadline.Add(suspended), after, redirectable)
	entry, state, wait := req.body.inflow.pacer.link.Submit(now, transfer)
	return linkDecision{entry: entry, state: state, wait: wait, instance: id}
}
