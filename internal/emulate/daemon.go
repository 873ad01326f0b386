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

// daemon models a daemon and its backend server.
type daemon struct {
	sim      *Simulation
	instance fleet.Instance
	service  *schema.EmulatedService
	// speed divides the run times.
	speed float64
	// slowdown multiplies the run times. It is set by faults.
	slowdown float64
	// episode multiplies the run times as well. It is above 1 during a slow episode.
	episode float64
	// shedRatio is the fraction of requests that the backend server sheds. It is set by
	// faults.
	shedRatio float64
	queue     *backend.Queue[*backend.SlotWindow]
	balancer  *upstream.Balancer[upstream.LatencyCost]
	// resends limits the resends of requests that a backend server has received.
	resends  *caller.ResendBudget
	calls    *upstream.CallTally
	shortage *upstream.Shortage
	// waiting holds the jobs that wait in the queue, in their order of arrival.
	waiting []*job
	// busyUntil is when the daemon will have processed the messages received so far.
	busyUntil time.Time
	// tickScheduled indicates that an event for the next Tick of the queue is pending.
	tickScheduled bool
}

// handle processes a message by calling fn. The daemon processes one message at a time,
// and each takes the plan's handling time.
func (d *daemon) handle(fn func()) {
	sim := d.sim
	if d.busyUntil.Before(sim.now) {
		d.busyUntil = sim.now
	}
	d.busyUntil = d.busyUntil.Add(sim.plan.GetHandling().AsDuration())
	sim.at(d.busyUntil, fn)
}

// send sends a message to a daemon, which processes it by calling fn. A message to the
// daemon itself takes no time.
func (d *daemon) send(to *daemon, fn func()) {
	if d == to {
		fn()
		return
	}
	d.handle(func() { d.sim.after(d.sim.networkDelay(d, to), func() { to.handle(fn) }) })
}

// job is a request queued or running at a backend server.
type job struct {
	request *request
	entry   *backend.Entry
	daemon  *daemon
	reply   func(upstream.Attempt)
	expired bool
	started time.Time
}

// admit submits a request to the queue of the backend server. If redirectable is set,
// another backend server may serve the request, so a request that would have to wait long
// here is refused.
func (d *daemon) admit(r *request, redirectable bool, reply func(upstream.Attempt)) {
	sim := d.sim
	submitted := backend.NewRequest(r.priority, r.class.GetName(), r.objective, r.deadline)
	j := &job{request: r, daemon: d, reply: reply}
	entry, state, retryAfter := d.queue.Submit(sim.now, submitted, redirectable)
	j.entry = entry
	switch state {
	case backend.Waiting:
		d.waiting = append(d.waiting, j)
		sim.at(r.deadline, func() { j.expire() })
	case backend.Running:
		j.run()
	default:
		reply(rejection(state, retryAfter))
	}
	d.processDecided()
}

func rejection(s backend.State, retryAfter time.Duration) upstream.Attempt {
	reason := caller.ReasonOverload
	if s == backend.Expired {
		reason = caller.ReasonDeadlineExceeded
	}
	return upstream.NewAttempt(caller.OutcomeNotRun, reason, false, false, retryAfter)
}

// processDecided runs or rejects the jobs on which the queue has decided, and schedules
// the next Tick while entries wait beside free slots.
func (d *daemon) processDecided() {
	for decided := d.takeDecided(); len(decided) > 0; decided = d.takeDecided() {
		for _, j := range decided {
			if state, retryAfter := d.queue.State(j.entry); state == backend.Running {
				j.run()
			} else if !j.expired {
				j.reply(rejection(state, retryAfter))
			}
		}
	}
	if d.tickScheduled || len(d.waiting) == 0 || !d.queue.Blocked() {
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

// takeDecided removes the jobs that no longer wait and returns them in their order of
// arrival.
func (d *daemon) takeDecided() []*job {
	var decided []*job
	d.waiting = slices.DeleteFunc(d.waiting, func(j *job) bool {
		select {
		case <-j.entry.Decided():
			decided = append(decided, j)
			return true
		default:
			return false
		}
	})
	return decided
}

// expire rejects a job that is still waiting at the deadline of its request.
func (j *job) expire() {
	if state, _ := j.daemon.queue.State(j.entry); state != backend.Waiting {
		return
	}
	j.expired = true
	j.daemon.queue.Cancel(j.entry)
	j.reply(upstream.NewAttempt(caller.OutcomeNotRun, caller.ReasonDeadlineExceeded, false, false, 0))
	j.daemon.processDecided()
}

// fullLoadSlowdown is the fraction by which runs take longer when all slots are in use.
const fullLoadSlowdown = 0.3

// run runs a request: its own work first, then its nested calls. The slot stays occupied
// until the calls have returned. The run time varies by a random factor with a log-normal
// distribution of mean 1.
func (j *job) run() {
	d, sim := j.daemon, j.daemon.sim
	j.started, j.request.started = sim.now, true
	if sim.rng.Float64() < d.shedRatio {
		d.queue.Done(sim.now, j.entry, backend.Shed)
		j.reply(upstream.NewAttempt(caller.OutcomeNotRun, caller.ReasonOverload, true, false, 0))
		return
	}
	running, _, _, _ := d.queue.Load()
	variation := math.Exp(0.3*sim.rng.NormFloat64() - 0.045)
	contention := 1 + fullLoadSlowdown*float64(running)/float64(d.service.GetSlots())
	work := time.Duration(float64(j.request.class.GetWork().AsDuration()) * variation * contention * d.slowdown * d.episode / d.speed)
	sim.after(work, func() { j.makeCalls() })
}

// makeCalls starts the nested calls of a run in parallel and completes the run when the
// last has returned.
func (j *job) makeCalls() {
	d, sim := j.daemon, j.daemon.sim
	pending, failed := 1, false
	finish := func(res result) {
		pending--
		failed = failed || !res.served
		if res.call {
			d.calls.Record(sim.now, j.request.kind(), res.short)
		}
		if pending == 0 {
			j.complete(failed)
		}
	}
	for _, call := range j.request.class.GetCalls() {
		if sim.rng.Float64() >= call.GetShare() {
			continue
		}
		class := sim.classes[call.GetClass()]
		for range call.GetTimes() {
			pending++
			r := &request{
				class: class, daemon: d, resent: j.request.resent, spent: sim.now.Sub(j.started), priority: j.request.priority.Call(int(class.GetPriority())), onDone: finish,
				objective: sim.now.Add(class.GetObjective().AsDuration()),
				deadline:  earlier(sim.now.Add(class.GetDeadline().AsDuration()), j.request.deadline),
			}
			sim.scores[class.GetName()].requests++
			r.start()
		}
	}
	finish(result{served: true})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (j *job) complete(failed bool) {
	d, sim := j.daemon, j.daemon.sim
	d.queue.Done(sim.now, j.entry, backend.Served)
	late := sim.now.After(j.request.deadline)
	outcome, reason := caller.OutcomeRan, caller.ReasonNone
	if late {
		outcome, reason = caller.OutcomeUnknown, caller.ReasonDeadlineExceeded
	}
	j.reply(upstream.NewAttempt(outcome, reason, true, failed, 0))
	d.processDecided()
}

// loadReport returns the load report that the daemon attaches to its replies.
func (d *daemon) loadReport(class string) upstream.LoadReport {
	running, waiting, limit, mean := d.queue.Load()
	return upstream.NewLoadReport(running, waiting, limit, d.queue.MeanServiceTime(class), mean)
}
