package emulate

import (
	"math"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// daemon is a daemon with its backend server.
type daemon struct {
	world    *Simulation
	instance fleet.Instance
	service  *schema.EmulatedService
	speed    float64
	// slowness is the factor by which runs take longer for now, and sheds the
	// share of what it gets that the backend server refuses.
	slowness, sheds float64
	queue           *backend.Queue[*backend.SlotWindow]
	placer          *upstream.Balancer[upstream.LatencyCost]
	waiting         []*stay
	// busy is until when the daemon handles messages that came before.
	busy time.Time
	// ticking says that a tick of the queue is due.
	ticking bool
}

// handle does something once the daemon has handled what came before.
func (d *daemon) handle(do func()) {
	w := d.world
	if d.busy.Before(w.now) {
		d.busy = w.now
	}
	d.busy = d.busy.Add(w.plan.GetHandling().AsDuration())
	w.at(d.busy, do)
}

// send carries something to another daemon, which handles it.
func (d *daemon) send(to *daemon, do func()) {
	if d == to {
		do()
		return
	}
	d.handle(func() { d.world.after(d.world.delay(d, to), func() { to.handle(do) }) })
}

// stay is a request at the daemon beside a backend server.
type stay struct {
	request *request
	claim   *backend.Entry
	at      *daemon
	reply   func(t upstream.Attempt)
	gone    bool
}

// admit decides on a request that was handed over.
func (d *daemon) admit(r *request, choosy bool, reply func(upstream.Attempt)) {
	w := d.world
	rank := backend.NewPriority(r.nested, 0, int(r.class.GetPriority()))
	demand := backend.NewRequest(rank, r.class.GetName(), r.objective, r.deadline)
	s := &stay{request: r, at: d, reply: reply}
	claim, state, again := d.queue.Submit(w.now, demand, choosy)
	s.claim = claim
	switch state {
	case backend.Waiting:
		d.waiting = append(d.waiting, s)
		w.at(r.deadline, func() { s.expire() })
	case backend.Running:
		s.run()
	default:
		reply(refusal(state, again))
	}
	d.sweep()
}

func refusal(s backend.State, again time.Duration) upstream.Attempt {
	reason := caller.ReasonOverload
	if s == backend.Expired {
		reason = caller.ReasonDeadlineExceeded
	}
	return upstream.NewAttempt(caller.OutcomeNotRun, reason, false, false, again)
}

// sweep goes on with what waited and no longer does.
func (d *daemon) sweep() {
	for moved := d.takeMoved(); len(moved) > 0; moved = d.takeMoved() {
		for _, s := range moved {
			if state, wait := d.queue.State(s.claim); state == backend.Running {
				s.run()
			} else if !s.gone {
				s.reply(refusal(state, wait))
			}
		}
	}
	if d.ticking || len(d.waiting) == 0 || !d.queue.Cold(d.world.now) {
		return
	}
	if next := d.queue.Tick(d.world.now); next > 0 {
		d.ticking = true
		d.world.after(next, func() {
			d.ticking = false
			d.sweep()
		})
	}
}

// takeMoved takes out what no longer waits, in the order of its arrival.
func (d *daemon) takeMoved() []*stay {
	var moved []*stay
	d.waiting = slices.DeleteFunc(d.waiting, func(s *stay) bool {
		select {
		case <-s.claim.Decided():
			moved = append(moved, s)
			return true
		default:
			return false
		}
	})
	return moved
}

// expire ends a wait at the request's deadline.
func (s *stay) expire() {
	if state, _ := s.at.queue.State(s.claim); state != backend.Waiting {
		return
	}
	s.gone = true
	s.at.queue.Cancel(s.claim)
	s.reply(upstream.NewAttempt(caller.OutcomeNotRun, caller.ReasonDeadlineExceeded, false, false, 0))
	s.at.sweep()
}

// busyShare is how much longer a run takes where all slots are taken.
const busyShare = 0.3

// run runs a request: its own work, and then its calls, which the slot waits for.
func (s *stay) run() {
	d, w := s.at, s.at.world
	if w.rnd.Float64() < d.sheds {
		d.queue.Done(w.now, s.claim, backend.Shed)
		s.reply(upstream.NewAttempt(caller.OutcomeNotRun, caller.ReasonOverload, true, false, 0))
		return
	}
	running, _, _, _ := d.queue.Load()
	spread := math.Exp(0.3*w.rnd.NormFloat64() - 0.045)
	busy := 1 + busyShare*float64(running)/float64(d.service.GetSlots())
	work := time.Duration(float64(s.request.class.GetWork().AsDuration()) * spread * busy * d.slowness / d.speed)
	w.after(work, func() { s.call() })
}

// call makes the calls of a run, all at once, and ends the run with the last.
func (s *stay) call() {
	d, w := s.at, s.at.world
	open, failed := 1, false
	end := func(e ending) {
		open--
		failed = failed || !e.served
		if open == 0 {
			s.end(failed)
		}
	}
	for _, call := range s.request.class.GetCalls() {
		if w.rnd.Float64() >= call.GetShare() {
			continue
		}
		class := w.classes[call.GetClass()]
		for range call.GetTimes() {
			open++
			r := &request{
				class: class, at: d, nested: true, done: end,
				objective: w.now.Add(class.GetObjective().AsDuration()),
				deadline:  earlier(w.now.Add(class.GetDeadline().AsDuration()), s.request.deadline),
			}
			w.scores[class.GetName()].asked++
			r.start()
		}
	}
	end(ending{served: true})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *stay) end(failed bool) {
	d, w := s.at, s.at.world
	d.queue.Done(w.now, s.claim, backend.Served)
	late := w.now.After(s.request.deadline)
	outcome, reason := caller.OutcomeRan, caller.ReasonNone
	if late {
		outcome, reason = caller.OutcomeUnknown, caller.ReasonDeadlineExceeded
	}
	s.reply(upstream.NewAttempt(outcome, reason, true, failed, 0))
	d.sweep()
}

// room is what the daemon tells with its answers.
func (d *daemon) room(class string) upstream.LoadReport {
	running, waiting, limit, mean := d.queue.Load()
	return upstream.NewLoadReport(running, waiting, limit, d.queue.MeanServiceTime(class), mean)
}
