package emulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// Simulation is one discrete-event run of a plan. Use NewSimulation to create one.
type Simulation struct {
	plan   *schema.Emulation
	now    time.Time
	start  time.Time
	events events
	// scheduled is the number of events scheduled so far.
	scheduled int
	rng       *rand.Rand
	daemons   []*daemon
	// byID holds the daemons by the id of their instance.
	byID map[string]*daemon
	// instances holds the instances of each service that are eligible for requests.
	instances    map[string][]fleet.Instance
	outOfService map[string]bool
	// demand states how the arrival rates differ from the plan's.
	demand  demand
	classes map[string]*schema.EmulatedClass
	scores  map[string]*Score
}

// NewSimulation returns a simulation of a plan at its initial instant.
func NewSimulation(p *schema.Emulation) *Simulation {
	sim := &Simulation{
		plan:         p,
		start:        time.Unix(0, 0),
		rng:          rand.New(rand.NewPCG(p.GetSeed(), 1)), //nolint:gosec // no secret
		byID:         make(map[string]*daemon),
		outOfService: make(map[string]bool),
		demand:       demand{wave: p.GetWave(), centres: p.GetCentres()},
		classes:      make(map[string]*schema.EmulatedClass),
		scores:       make(map[string]*Score),
	}
	sim.now = sim.start
	for _, c := range p.GetClasses() {
		sim.classes[c.GetName()] = c
		sim.scores[c.GetName()] = &Score{class: c}
	}
	for _, s := range p.GetServices() {
		sim.addService(s)
	}
	sim.updateInstances()
	return sim
}

func (sim *Simulation) addService(s *schema.EmulatedService) {
	n := 0
	for c, count := range s.GetServers() {
		centre := sim.plan.GetCentres()[c]
		for range count {
			id := fmt.Sprintf("%s-%s-%d", s.GetName(), centre, n)
			host := fmt.Sprintf("10.%d.%d.%d", c+1, len(sim.byID)/250, len(sim.byID)%250)
			i := fleet.NewInstance(id, s.GetName(), centre, fleet.NewAddress(host, 80), sim.start).WithSlots(int(s.GetSlots()))
			d := &daemon{
				sim:      sim,
				instance: i,
				service:  s,
				speed:    s.GetSpeeds()[n%len(s.GetSpeeds())],
				slowdown: 1,
				episode:  1,
				queue:    backend.NewQueue(backend.NewSlotWindow(int(s.GetSlots())), backend.NewRateLimiter(coldRateFactor, coldSlack)),
				balancer: upstream.NewBalancer(upstream.LatencyCost{}, host, centre),
				calls:    upstream.NewCallTally(),
				shortage: upstream.NewShortage(),
				resends:  caller.NewResendBudget(resendRatio, resendSlack, resendWindow),
			}
			sim.daemons = append(sim.daemons, d)
			sim.byID[id] = d
			n++
		}
	}
}

// While a backend server is cold, it receives at most coldRateFactor times its warm-up rate
// plus coldSlack requests in any second.
const (
	coldRateFactor = 1.5
	coldSlack      = 8
)

// In any resendWindow, the fleet resends at most resendRatio times the requests to a service
// plus resendSlack.
const (
	resendRatio  = 0.2
	resendSlack  = 60
	resendWindow = 10 * time.Second
)

// updateInstances sets the eligible instances to those in data centres that are in
// service.
func (sim *Simulation) updateInstances() {
	sim.instances = make(map[string][]fleet.Instance)
	for _, d := range sim.daemons {
		if !sim.outOfService[d.instance.Centre()] {
			sim.instances[d.instance.Service()] = append(sim.instances[d.instance.Service()], d.instance)
		}
	}
}

// Run simulates the whole plan and returns the scores of all classes by name.
func (sim *Simulation) Run() map[string]*Score {
	end := sim.start.Add(sim.plan.GetLength().AsDuration())
	for _, c := range sim.plan.GetClasses() {
		if c.GetRate() > 0 {
			sim.scheduleArrival(c, end)
		}
	}
	for _, d := range sim.daemons {
		if d.service.HasEpisodes() {
			d.scheduleEpisode(end)
		}
	}
	for _, f := range sim.plan.GetTroubles() {
		sim.at(sim.start.Add(f.GetAt().AsDuration()), func() { sim.applyFault(f) })
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.fn()
	}
	return sim.scores
}

// scheduleArrival schedules the arrival of the next request of a class, which in turn
// schedules the one after it. Arrivals form a Poisson process.
func (sim *Simulation) scheduleArrival(c *schema.EmulatedClass, end time.Time) {
	peak := sim.demand.peak(c.GetName())
	gap := time.Duration(sim.rng.ExpFloat64() / (c.GetRate() * peak) * float64(time.Second))
	sim.after(gap, func() {
		if !sim.now.Before(end) {
			return
		}
		sim.scheduleArrival(c, end)
		d := sim.daemons[sim.rng.IntN(len(sim.daemons))]
		if f := sim.demand.factor(sim.now.Sub(sim.start), c.GetName(), d.instance.Centre()); f < peak && sim.rng.Float64() >= f/peak {
			return
		}
		sim.scores[c.GetName()].requests++
		r := &request{
			class: c, daemon: d, priority: caller.NewPriority(false, 0, int(c.GetPriority())),
			objective: sim.now.Add(c.GetObjective().AsDuration()), deadline: sim.now.Add(c.GetDeadline().AsDuration()),
		}
		r.onDone = func(res result) { sim.handleResult(r, res, c.GetRetries()) }
		r.start()
	})
}

// handleResult records the result of a request, or schedules a retry by its caller after
// a refusal.
func (sim *Simulation) handleResult(r *request, res result, retries uint32) {
	score := sim.scores[r.class.GetName()]
	remaining := r.deadline.Sub(sim.now)
	if res.refused && retries > 0 && remaining > 0 {
		score.retries++
		wait := min(res.retryAfter, remaining/3)
		sim.after(wait, func() {
			next := &request{class: r.class, daemon: r.daemon, priority: r.priority, objective: r.objective, deadline: r.deadline}
			next.onDone = func(res result) { sim.handleResult(next, res, retries-1) }
			next.start()
		})
		return
	}
	score.record(sim.now, r, res)
}

func (sim *Simulation) applyFault(f *schema.EmulatedTrouble) {
	end := sim.now.Add(f.GetFor().AsDuration())
	switch f.GetKind() {
	case schema.EmulatedTrouble_KIND_BURST:
		sim.demand.bursts = append(sim.demand.bursts, f)
		sim.at(end, func() {
			sim.demand.bursts = slices.DeleteFunc(sim.demand.bursts, func(b *schema.EmulatedTrouble) bool { return b == f })
		})
	case schema.EmulatedTrouble_KIND_OUT:
		sim.outOfService[f.GetCentre()] = true
		sim.updateInstances()
		sim.at(end, func() {
			sim.outOfService[f.GetCentre()] = false
			sim.updateInstances()
		})
	default:
		sim.applyServerFault(f, end)
	}
}

func (sim *Simulation) applyServerFault(f *schema.EmulatedTrouble, end time.Time) {
	var affected []*daemon
	for _, d := range sim.daemons {
		if (f.GetService() == "" || d.service.GetName() == f.GetService()) && (f.GetCentre() == "" || d.instance.Centre() == f.GetCentre()) {
			affected = append(affected, d)
		}
	}
	sim.rng.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
	for _, d := range affected[:int(math.Ceil(f.GetShare()*float64(len(affected))))] {
		switch f.GetKind() {
		case schema.EmulatedTrouble_KIND_SLOW:
			d.slowdown = f.GetFactor()
		case schema.EmulatedTrouble_KIND_COLD:
			d.queue.SetCold(sim.now, end, d.service.GetWarmup())
		case schema.EmulatedTrouble_KIND_SHED:
			d.shedRatio = f.GetFactor()
		}
		sim.at(end, func() { d.slowdown, d.shedRatio = 1, 0 })
	}
}

// share returns a daemon's share of the fleet's slack for resends.
func (sim *Simulation) share() float64 { return 1 / float64(len(sim.daemons)) }

// networkDelay returns the one-way delay of a message between two daemons.
func (sim *Simulation) networkDelay(from, to *daemon) time.Duration {
	switch {
	case from == to:
		return 0
	case from.instance.Centre() == to.instance.Centre():
		return sim.plan.GetNear().AsDuration()
	}
	return sim.plan.GetFar().AsDuration()
}

func (sim *Simulation) after(d time.Duration, fn func()) { sim.at(sim.now.Add(d), fn) }

func (sim *Simulation) at(t time.Time, fn func()) {
	sim.scheduled++
	heap.Push(&sim.events, event{at: t, sequence: sim.scheduled, fn: fn})
}

// event is a function to be called at an instant. Events at the same instant are called
// in the order in which they were scheduled, which sequence records.
type event struct {
	at       time.Time
	sequence int
	fn       func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
