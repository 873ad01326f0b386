package emulate

import (
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// request is one attempt of a caller, or a call of a run.
type request struct {
	class               *schema.EmulatedClass
	daemon                  *daemon
	nested              bool
	objective, deadline time.Time
	retry             *upstream.RetryState
	lastAttempt                upstream.Attempt
	onDone                func(result)
	finished                bool
}

// result is what a caller is told.
type result struct {
	served, refused bool
	retryAfter           time.Duration
}

// maxAttempts is how many backend servers a request may be sent to, and minRetryAfter
// the least Retry-After.
const (
	maxAttempts = 3
	minRetryAfter   = 50 * time.Millisecond
	retryAfterJitter  = 0.5
)

func (r *request) start() {
	r.retry = upstream.NewRetryState(maxAttempts, r.class.GetOnce(), r.nested, true)
	r.daemon.sim.at(r.deadline, func() { r.finish(result{}) })
	r.daemon.handle(r.tryNext)
}

func (r *request) upstreamRequest() upstream.Request {
	return upstream.NewRequest(r.class.GetName(), int(r.class.GetSize()), r.objective.Sub(r.daemon.sim.now))
}

// tryNext tries the next instance, or ends the request.
func (r *request) tryNext() {
	if r.finished {
		return
	}
	w := r.daemon.sim
	if more, _ := r.retry.NextAttempt(w.now, r.deadline); more {
		instances := w.instances[r.class.GetService()]
		if o, ok := r.daemon.balancer.Pick(w.now, w.rng, r.upstreamRequest(), instances, r.retry.Tried()); ok {
			r.attempt(o.Instance(), r.retry.FailFast(len(instances) > len(r.retry.Tried())+1))
			return
		}
	}
	if id, _ := r.retry.Fallback(w.now, r.deadline); id != "" {
		i := w.byID[id].instance
		r.daemon.balancer.Assign(w.now, r.upstreamRequest(), i)
		r.attemptLast(i)
		return
	}
	r.finishWithLast()
}

func (r *request) attempt(i fleet.Instance, choosy bool) { r.forward(i, choosy, r.tryNext) }

func (r *request) attemptLast(i fleet.Instance) { r.forward(i, false, r.finishWithLast) }

// forward hands the request to the daemon beside an instance and goes on with its
// answer.
func (r *request) forward(i fleet.Instance, choosy bool, next func()) {
	w, to := r.daemon.sim, r.daemon.sim.byID[i.ID()]
	r.daemon.send(to, func() {
		to.admit(r, choosy, func(t upstream.Attempt) {
			room := to.loadReport(r.class.GetName())
			to.send(r.daemon, func() {
				r.daemon.balancer.Done(w.now, i.ID(), r.upstreamRequest(), t.Result(), room)
				r.retry.Record(i.ID(), t)
				r.lastAttempt = t
				next()
			})
		})
	})
}

// finishWithLast tells the caller what the last try came to.
func (r *request) finishWithLast() {
	t := r.lastAttempt
	switch {
	case len(r.retry.Tried()) == 0:
		r.finish(result{refused: true, retryAfter: minRetryAfter})
	case t.Outcome() == caller.OutcomeRan:
		r.finish(result{served: !r.retry.ServerFailed()})
	case r.retry.MayHaveRun():
		r.finish(result{})
	default:
		again := max(r.retry.RetryAfter(), minRetryAfter)
		again += time.Duration(r.daemon.sim.rng.Float64() * retryAfterJitter * float64(again))
		r.finish(result{refused: true, retryAfter: again})
	}
}

func (r *request) finish(e result) {
	if r.finished {
		return
	}
	r.finished = true
	if r.nested {
		r.daemon.sim.scores[r.class.GetName()].record(r.daemon.sim.now, r, e)
	}
	r.onDone(e)
}
