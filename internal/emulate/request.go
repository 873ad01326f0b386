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
	at                  *daemon
	nested              bool
	objective, deadline time.Time
	journey             *upstream.RetryState
	last                upstream.Attempt
	done                func(ending)
	over                bool
}

// ending is what a caller is told.
type ending struct {
	served, refused bool
	again           time.Duration
}

// attemptsMost is how many backend servers a request may be sent to, and againFirst
// the least Retry-After.
const (
	attemptsMost = 3
	againFirst   = 50 * time.Millisecond
	againJitter  = 0.5
)

func (r *request) start() {
	r.journey = upstream.NewRetryState(attemptsMost, r.class.GetOnce(), r.nested, true)
	r.at.world.at(r.deadline, func() { r.finish(ending{}) })
	r.at.handle(r.step)
}

func (r *request) parcel() upstream.Request {
	return upstream.NewRequest(r.class.GetName(), int(r.class.GetSize()), r.objective.Sub(r.at.world.now))
}

// step tries the next instance, or ends the request.
func (r *request) step() {
	if r.over {
		return
	}
	w := r.at.world
	if more, _ := r.journey.NextAttempt(w.now, r.deadline); more {
		instances := w.instances[r.class.GetService()]
		if o, ok := r.at.placer.Pick(w.now, w.rnd, r.parcel(), instances, r.journey.Tried()); ok {
			r.try(o.Instance(), r.journey.FailFast(len(instances) > len(r.journey.Tried())+1))
			return
		}
	}
	if id, _ := r.journey.Fallback(w.now, r.deadline); id != "" {
		i := w.byID[id].instance
		r.at.placer.Assign(w.now, r.parcel(), i)
		r.tryLast(i)
		return
	}
	r.end()
}

func (r *request) try(i fleet.Instance, choosy bool) { r.hand(i, choosy, r.step) }

func (r *request) tryLast(i fleet.Instance) { r.hand(i, false, r.end) }

// hand hands the request to the daemon beside an instance and goes on with its
// answer.
func (r *request) hand(i fleet.Instance, choosy bool, next func()) {
	w, to := r.at.world, r.at.world.byID[i.ID()]
	r.at.send(to, func() {
		to.admit(r, choosy, func(t upstream.Attempt) {
			room := to.room(r.class.GetName())
			to.send(r.at, func() {
				r.at.placer.Done(w.now, i.ID(), r.parcel(), t.Result(), room)
				r.journey.Record(i.ID(), t)
				r.last = t
				next()
			})
		})
	})
}

// end tells the caller what the last try came to.
func (r *request) end() {
	t := r.last
	switch {
	case len(r.journey.Tried()) == 0:
		r.finish(ending{refused: true, again: againFirst})
	case t.Outcome() == caller.OutcomeRan:
		r.finish(ending{served: !r.journey.ServerFailed()})
	case r.journey.MayHaveRun():
		r.finish(ending{})
	default:
		again := max(r.journey.RetryAfter(), againFirst)
		again += time.Duration(r.at.world.rnd.Float64() * againJitter * float64(again))
		r.finish(ending{refused: true, again: again})
	}
}

func (r *request) finish(e ending) {
	if r.over {
		return
	}
	r.over = true
	if r.nested {
		r.at.world.scores[r.class.GetName()].note(r.at.world.now, r, e)
	}
	r.done(e)
}
