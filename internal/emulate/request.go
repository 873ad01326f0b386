package emulate

import (
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// request is one submission by a caller, or a nested call by a running request.
type request struct {
	class    *schema.EmulatedClass
	daemon   *daemon
	priority caller.Priority
	// spent is the time already spent on the request that made this one as a call, and resent
	// states that this request, or that one, has reached another backend server before.
	spent  time.Duration
	resent bool
	// started states that a backend server has started the request.
	started             bool
	begun               time.Time
	objective, deadline time.Time
	retry               *upstream.RetryState
	lastAttempt         upstream.Attempt
	onDone              func(result)
	finished            bool
}

// result is the response to a caller.
type result struct {
	served, refused bool
	retryAfter      time.Duration
	// call states that the request is a call, and short that it found no capacity.
	call, short bool
}

const (
	// maxAttempts is the maximum number of backend servers that a request is sent to.
	maxAttempts = 3
	// minRetryAfter is the minimum Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// retryAfterJitter is the largest fraction by which a Retry-After is lengthened at
	// random.
	retryAfterJitter = 0.5
)

func (r *request) start() {
	r.retry = upstream.NewRetryState(maxAttempts, r.class.GetOnce(), r.priority.Nested(), true)
	r.daemon.sim.at(r.deadline, func() { r.finish(result{}) })
	r.daemon.handle(r.admit)
}

// admit records the request in the daemon's budget for resends and sends it.
func (r *request) admit() {
	d := r.daemon
	r.begun = d.sim.now
	if !r.priority.Nested() {
		if retryAfter, ok := d.shortage.Admit(d.sim.now, r.kind()); !ok {
			r.finish(result{refused: true, retryAfter: r.daemon.jitter(max(retryAfter, minRetryAfter))})
			return
		}
	}
	if !r.resent {
		d.resends.RecordRequest(d.sim.now, r.class.GetService(), r.priority.Nested())
	} else if !d.resends.AllowCall(d.sim.now, r.class.GetService(), d.sim.share()) {
		r.finish(result{refused: true, retryAfter: minRetryAfter})
		return
	}
	r.tryNext()
}

// mayResend reports whether a request that has reached a backend server may be sent to another one.
func (r *request) mayResend() bool {
	d := r.daemon
	if r.retry.ServerFailed() && d.balancer.FailsEverywhere(r.upstreamRequest()) {
		return false
	}
	need := caller.NewNeed(r.priority, r.objective, r.deadline, d.balancer.MeanRunTime(r.class.GetName()))
	urgent := need.WithSpent(r.spent + d.sim.now.Sub(r.begun)).Urgent()
	if !d.resends.AllowResend(d.sim.now, r.class.GetService(), urgent, d.sim.share()) {
		return false
	}
	r.resent = true
	return true
}

// kind returns the kind of requests that share the fate of their calls.
func (r *request) kind() upstream.Kind { return upstream.NewKind(r.class.GetName(), r.priority) }

// jitter lengthens a time at random.
func (d *daemon) jitter(t time.Duration) time.Duration {
	return t + time.Duration(d.sim.rng.Float64()*retryAfterJitter*float64(t))
}

func (r *request) upstreamRequest() upstream.Request {
	return upstream.NewRequest(r.class.GetName(), int(r.class.GetSize()), r.objective.Sub(r.daemon.sim.now))
}

// tryNext sends the request to the next instance. If no instance is left, it makes a last
// attempt without a limit on the wait, or finishes the request.
func (r *request) tryNext() {
	if r.finished {
		return
	}
	sim := r.daemon.sim
	if more, resend := r.retry.NextAttempt(sim.now, r.deadline); more && (!resend || r.mayResend()) {
		instances := sim.instances[r.class.GetService()]
		if placement, ok := r.daemon.balancer.Pick(sim.now, sim.rng, r.upstreamRequest(), instances, r.retry.Tried()); ok {
			r.attempt(placement.Instance(), r.retry.FailFast(len(instances) > len(r.retry.Tried())+1))
			return
		}
	}
	if id, resend := r.retry.Fallback(sim.now, r.deadline); id != "" && (!resend || r.mayResend()) {
		i := sim.byID[id].instance
		r.daemon.balancer.Assign(sim.now, r.upstreamRequest(), i)
		r.attemptLast(i)
		return
	}
	r.finishWithLast()
}

func (r *request) attempt(i fleet.Instance, redirectable bool) { r.forward(i, redirectable, r.tryNext) }

func (r *request) attemptLast(i fleet.Instance) { r.forward(i, false, r.finishWithLast) }

// forward sends the request to the daemon of an instance, records the reply and calls
// next.
func (r *request) forward(i fleet.Instance, redirectable bool, next func()) {
	sim, to := r.daemon.sim, r.daemon.sim.byID[i.ID()]
	if i.Centre() != r.daemon.instance.Centre() {
		sim.scores[r.class.GetName()].remote++
	}
	r.daemon.send(to, func() {
		to.admit(r, redirectable, func(a upstream.Attempt) {
			report, calls := to.loadReport(r.class.GetName()), to.calls.Report(sim.now, r.kind())
			to.send(r.daemon, func() {
				r.daemon.balancer.Done(sim.now, i.ID(), r.upstreamRequest(), a.Result(), report)
				r.daemon.shortage.Record(sim.now, r.kind(), calls)
				r.retry.Record(i.ID(), a)
				r.lastAttempt = a
				next()
			})
		})
	})
}

// finishWithLast finishes the request with the result of its last attempt.
func (r *request) finishWithLast() {
	last := r.lastAttempt
	switch {
	case len(r.retry.Tried()) == 0:
		r.finish(result{refused: true, retryAfter: minRetryAfter})
	case last.Outcome() == caller.OutcomeRan:
		r.finish(result{served: !r.retry.ServerFailed()})
	case r.retry.MayHaveRun():
		r.finish(result{})
	default:
		r.finish(result{refused: true, retryAfter: r.daemon.jitter(max(r.retry.RetryAfter(), minRetryAfter))})
	}
}

func (r *request) finish(res result) {
	if r.finished {
		return
	}
	r.finished = true
	if r.priority.Nested() {
		res.call, res.short = true, !res.served && (!r.started || !r.daemon.sim.now.Before(r.deadline))
		r.daemon.sim.scores[r.class.GetName()].record(r.daemon.sim.now, r, res)
	}
	r.onDone(res)
}
