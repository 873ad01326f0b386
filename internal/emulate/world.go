package emulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// Simulation is one discrete-event run of a plan. Use NewSimulation to create one.
type Simulation struct {
	plan    *schema.Emulation
	now     time.Time
	start   time.Time
	events  events
	scheduled int
	rng     *rand.Rand
	daemons []*daemon
	byID    map[string]*daemon
	// instances are those of each service that may get requests.
	instances map[string][]fleet.Instance
	outOfService       map[string]bool
	rateFactor     float64
	classes   map[string]*schema.EmulatedClass
	scores    map[string]*Score
}

// NewSimulation returns a simulation of a plan at its initial instant.
func NewSimulation(p *schema.Emulation) *Simulation {
	w := &Simulation{
		plan:    p,
		start:   time.Unix(0, 0),
		rng:     rand.New(rand.NewPCG(p.GetSeed(), 1)), //nolint:gosec // no secret
		byID:    make(map[string]*daemon),
		outOfService:     make(map[string]bool),
		rateFactor:   1,
		classes: make(map[string]*schema.EmulatedClass),
		scores:  make(map[string]*Score),
	}
	w.now = w.start
	for _, c := range p.GetClasses() {
		w.classes[c.GetName()] = c
		w.scores[c.GetName()] = &Score{class: c}
	}
	for _, s := range p.GetServices() {
		w.addService(s)
	}
	w.updateInstances()
	return w
}

func (w *Simulation) addService(s *schema.EmulatedService) {
	n := 0
	for c, count := range s.GetServers() {
		centre := w.plan.GetCentres()[c]
		for range count {
			id := fmt.Sprintf("%s-%s-%d", s.GetName(), centre, n)
			host := fmt.Sprintf("10.%d.%d.%d", c+1, len(w.byID)/250, len(w.byID)%250)
			i := fleet.NewInstance(id, s.GetName(), centre, fleet.NewAddress(host, 80), w.start).WithSlots(int(s.GetSlots()))
			d := &daemon{
				sim:    w,
				instance: i,
				service:  s,
				speed:    s.GetSpeeds()[n%len(s.GetSpeeds())],
				slowdown: 1,
				queue:    backend.NewQueue(backend.NewSlotWindow(int(s.GetSlots())), backend.NewRateLimiter(coldRateFactor, coldSlack)),
				balancer:   upstream.NewBalancer(upstream.LatencyCost{}, host, centre),
			}
			w.daemons = append(w.daemons, d)
			w.byID[id] = d
			n++
		}
	}
}

// The bound on what a cold backend server gets.
const (
	coldRateFactor  = 1.5
	coldSlack = 8
)

// updateInstances takes over which instances may get requests.
func (w *Simulation) updateInstances() {
	w.instances = make(map[string][]fleet.Instance)
	for _, d := range w.daemons {
		if !w.outOfService[d.instance.Centre()] {
			w.instances[d.instance.Service()] = append(w.instances[d.instance.Service()], d.instance)
		}
	}
}

// Run plays the whole plan and returns the scores of all classes by name.
func (w *Simulation) Run() map[string]*Score {
	end := w.start.Add(w.plan.GetLength().AsDuration())
	for _, c := range w.plan.GetClasses() {
		if c.GetRate() > 0 {
			w.scheduleArrival(c, end)
		}
	}
	for _, t := range w.plan.GetTroubles() {
		w.at(w.start.Add(t.GetAt().AsDuration()), func() { w.applyFault(t) })
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	return w.scores
}

// scheduleArrival lets the next request of a class come in, and those after it.
func (w *Simulation) scheduleArrival(c *schema.EmulatedClass, end time.Time) {
	gap := time.Duration(w.rng.ExpFloat64() / (c.GetRate() * w.rateFactor) * float64(time.Second))
	w.after(gap, func() {
		if !w.now.Before(end) {
			return
		}
		w.scheduleArrival(c, end)
		d := w.daemons[w.rng.IntN(len(w.daemons))]
		w.scores[c.GetName()].requests++
		r := &request{class: c, daemon: d, objective: w.now.Add(c.GetObjective().AsDuration()), deadline: w.now.Add(c.GetDeadline().AsDuration())}
		r.onDone = func(e result) { w.handleResult(r, e, c.GetRetries()) }
		r.start()
	})
}

// handleResult scores an answer, or lets the caller come back after a refusal.
func (w *Simulation) handleResult(r *request, e result, retries uint32) {
	s := w.scores[r.class.GetName()]
	left := r.deadline.Sub(w.now)
	if e.refused && retries > 0 && left > 0 {
		s.retries++
		wait := min(e.retryAfter, left/3)
		w.after(wait, func() {
			next := &request{class: r.class, daemon: r.daemon, objective: r.objective, deadline: r.deadline}
			next.onDone = func(e result) { w.handleResult(next, e, retries-1) }
			next.start()
		})
		return
	}
	s.record(w.now, r, e)
}

func (w *Simulation) applyFault(t *schema.EmulatedTrouble) {
	end := w.now.Add(t.GetFor().AsDuration())
	switch t.GetKind() {
	case schema.EmulatedTrouble_KIND_BURST:
		w.rateFactor = t.GetFactor()
		w.at(end, func() { w.rateFactor = 1 })
	case schema.EmulatedTrouble_KIND_OUT:
		w.outOfService[t.GetCentre()] = true
		w.updateInstances()
		w.at(end, func() {
			w.outOfService[t.GetCentre()] = false
			w.updateInstances()
		})
	default:
		w.applyServerFault(t, end)
	}
}

func (w *Simulation) applyServerFault(t *schema.EmulatedTrouble, end time.Time) {
	var hit []*daemon
	for _, d := range w.daemons {
		if (t.GetService() == "" || d.service.GetName() == t.GetService()) && (t.GetCentre() == "" || d.instance.Centre() == t.GetCentre()) {
			hit = append(hit, d)
		}
	}
	w.rng.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
	for _, d := range hit[:int(math.Ceil(t.GetShare()*float64(len(hit))))] {
		switch t.GetKind() {
		case schema.EmulatedTrouble_KIND_SLOW:
			d.slowdown = t.GetFactor()
		case schema.EmulatedTrouble_KIND_COLD:
			d.queue.SetCold(w.now, end, d.service.GetWarmup())
		case schema.EmulatedTrouble_KIND_SHED:
			d.shedRatio = t.GetFactor()
		}
		w.at(end, func() { d.slowdown, d.shedRatio = 1, 0 })
	}
}

// networkDelay is the time of a message between two daemons.
func (w *Simulation) networkDelay(from, to *daemon) time.Duration {
	switch {
	case from == to:
		return 0
	case from.instance.Centre() == to.instance.Centre():
		return w.plan.GetNear().AsDuration()
	}
	return w.plan.GetFar().AsDuration()
}

func (w *Simulation) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *Simulation) at(t time.Time, do func()) {
	w.scheduled++
	heap.Push(&w.events, event{at: t, sequence: w.scheduled, fn: do})
}

// event is something that happens at an instant; number keeps the order of
// those at one instant.
type event struct {
	at     time.Time
	sequence int
	fn     func()
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
