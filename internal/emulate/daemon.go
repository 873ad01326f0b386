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
	sim    *Simulation
	instance fleet.Instance
	service  *schema.EmulatedService
	speed    float64
	// slowdown is the factor by which runs take longer for now, and shedRatio the
	// share of what it gets that the backend server refuses.
	slowdown, shedRatio float64
	queue           *backend.Queue[*backend.SlotWindow]
	balancer          *upstream.Balancer[upstream.LatencyCost]
	waiting         []*job
	// busyUntil is until when the daemon handles messages that came before.
	busyUntil time.Time
	// tickScheduled says that a tick of the queue is due.
	tickScheduled bool
}

// handle does something once the daemon has handled what came before.
func (d *daemon) handle(do func()) {
	w := d.sim
	if d.busyUntil.Before(w.now) {
		d.busyUntil = w.now
	}
	d.busyUntil = d.busyUntil.Add(w.plan.GetHandling().AsDuration())
	w.at(d.busyUntil, do)
}

// send carries something to another daemon, which handles it.
func (d *daemon) send(to *daemon, do func()) {
	if d == to {
		do()
		return
	}
	d.handle(func() { d.sim.after(d.sim.networkDelay(d, to), func() { to.handle(do) }) })
}

// job is a request at the daemon beside a backend server.
type job struct {
	request *request
	entry   *backend.Entry
	daemon      *daemon
	reply   func(t upstream.Attempt)
	expired    bool
}

// admit decides on a request that was handed over.
func (d *daemon) admit(r *request, choosy bool, reply func(upstream.Attempt)) {
	w := d.sim
	rank := backend.NewPriority(r.nested, 0, int(r.class.GetPriority()))
	demand := backend.NewRequest(rank, r.class.GetName(), r.objective, r.deadline)
	s := &job{request: r, daemon: d, reply: reply}
	claim, state, again := d.queue.Submit(w.now, demand, choosy)
	s.entry = claim
	switch state {
	case backend.Waiting:
		d.waiting = append(d.waiting, s)
		w.at(r.deadline, func() { s.expire() })
	case backend.Running:
		s.run()
	default:
		reply(rejection(state, again))
	}
	d.processDecided()
}

func rejection(s backend.State, again time.Duration) upstream.Attempt {
	reason := caller.ReasonOverload
	if s == backend.Expired {
		reason = caller.ReasonDeadlineExceeded
	}
	return upstream.NewAttempt(caller.OutcomeNotRun, reason, false, false, again)
}

// processDecided goes on with what waited and no longer does.
func (d *daemon) processDecided() {
	for moved := d.takeDecided(); len(moved) > 0; moved = d.takeDecided() {
		for _, s := range moved {
			if state, wait := d.queue.State(s.entry); state == backend.Running {
				s.run()
			} else if !s.expired {
				s.reply(rejection(state, wait))
			}
		}
	}
	if d.tickScheduled || len(d.waiting) == 0 || !d.queue.Cold(d.sim.now) {
		return
	}
	if next := d.queue.Tick(d.sim.now); next > 0 {
		d.tickScheduled = true
		d.sim.after(next, func() {
			d.tickScheduled = false
			d.processDecided()
		})
	}
}

// takeDecided takes out what no longer waits, in the order of its arrival.
func (d *daemon) takeDecided() []*job {
	var moved []*job
	d.waiting = slices.DeleteFunc(d.waiting, func(s *job) bool {
		select {
		case <-s.entry.Decided():
			moved = append(moved, s)
			return true
		default:
			return false
		}
	})
	return moved
}

// expire ends a wait at the request's deadline.
func (s *job) expire() {
	if state, _ := s.daemon.queue.State(s.entry); state != backend.Waiting {
		return
	}
	s.expired = true
	s.daemon.queue.Cancel(s.entry)
	s.reply(upstream.NewAttempt(caller.OutcomeNotRun, caller.ReasonDeadlineExceeded, false, false, 0))
	s.daemon.processDecided()
}

// fullLoadSlowdown is how much longer a run takes where all slots are taken.
const fullLoadSlowdown = 0.3

// run runs a request: its own work, and then its calls, which the slot waits for.
func (s *job) run() {
	d, w := s.daemon, s.daemon.sim
	if w.rng.Float64() < d.shedRatio {
		d.queue.Done(w.now, s.entry, backend.Shed)
		s.reply(upstream.NewAttempt(caller.OutcomeNotRun, caller.ReasonOverload, true, false, 0))
		return
	}
	running, _, _, _ := d.queue.Load()
	spread := math.Exp(0.3*w.rng.NormFloat64() - 0.045)
	busy := 1 + fullLoadSlowdown*float64(running)/float64(d.service.GetSlots())
	work := time.Duration(float64(s.request.class.GetWork().AsDuration()) * spread * busy * d.slowdown / d.speed)
	w.after(work, func() { s.makeCalls() })
}

// makeCalls makes the calls of a run, all at once, and ends the run with the last.
func (s *job) makeCalls() {
	d, w := s.daemon, s.daemon.sim
	open, failed := 1, false
	end := func(e result) {
		open--
		failed = failed || !e.served
		if open == 0 {
			s.complete(failed)
		}
	}
	for _, call := range s.request.class.GetCalls() {
		if w.rng.Float64() >= call.GetShare() {
			continue
		}
		class := w.classes[call.GetClass()]
		for range call.GetTimes() {
			open++
			r := &request{
				class: class, daemon: d, nested: true, onDone: end,
				objective: w.now.Add(class.GetObjective().AsDuration()),
				deadline:  earlier(w.now.Add(class.GetDeadline().AsDuration()), s.request.deadline),
			}
			w.scores[class.GetName()].requests++
			r.start()
		}
	}
	end(result{served: true})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *job) complete(failed bool) {
	d, w := s.daemon, s.daemon.sim
	d.queue.Done(w.now, s.entry, backend.Served)
	late := w.now.After(s.request.deadline)
	outcome, reason := caller.OutcomeRan, caller.ReasonNone
	if late {
		outcome, reason = caller.OutcomeUnknown, caller.ReasonDeadlineExceeded
	}
	s.reply(upstream.NewAttempt(outcome, reason, true, failed, 0))
	d.processDecided()
}

// loadReport is what the daemon tells with its answers.
func (d *daemon) loadReport(class string) upstream.LoadReport {
	running, waiting, limit, mean := d.queue.Load()
	return upstream.NewLoadReport(running, waiting, limit, d.queue.MeanServiceTime(class), mean)
}
