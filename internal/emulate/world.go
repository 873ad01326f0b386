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
	begin   time.Time
	events  events
	counter int
	rnd     *rand.Rand
	daemons []*daemon
	byID    map[string]*daemon
	// instances are those of each service that may get requests.
	instances map[string][]fleet.Instance
	out       map[string]bool
	burst     float64
	classes   map[string]*schema.EmulatedClass
	scores    map[string]*Score
}

// NewSimulation returns a simulation of a plan at its initial instant.
func NewSimulation(p *schema.Emulation) *Simulation {
	w := &Simulation{
		plan:    p,
		begin:   time.Unix(0, 0),
		rnd:     rand.New(rand.NewPCG(p.GetSeed(), 1)), //nolint:gosec // no secret
		byID:    make(map[string]*daemon),
		out:     make(map[string]bool),
		burst:   1,
		classes: make(map[string]*schema.EmulatedClass),
		scores:  make(map[string]*Score),
	}
	w.now = w.begin
	for _, c := range p.GetClasses() {
		w.classes[c.GetName()] = c
		w.scores[c.GetName()] = &Score{class: c}
	}
	for _, s := range p.GetServices() {
		w.addService(s)
	}
	w.publish()
	return w
}

func (w *Simulation) addService(s *schema.EmulatedService) {
	n := 0
	for c, count := range s.GetServers() {
		centre := w.plan.GetCentres()[c]
		for range count {
			id := fmt.Sprintf("%s-%s-%d", s.GetName(), centre, n)
			host := fmt.Sprintf("10.%d.%d.%d", c+1, len(w.byID)/250, len(w.byID)%250)
			i := fleet.NewInstance(id, s.GetName(), centre, fleet.NewAddress(host, 80), w.begin).WithSlots(int(s.GetSlots()))
			d := &daemon{
				world:    w,
				instance: i,
				service:  s,
				speed:    s.GetSpeeds()[n%len(s.GetSpeeds())],
				slowness: 1,
				queue:    backend.NewQueue(backend.NewSlotWindow(int(s.GetSlots())), backend.NewRateLimiter(coldOver, coldSlack)),
				placer:   upstream.NewBalancer(upstream.LatencyCost{}, host, centre),
			}
			w.daemons = append(w.daemons, d)
			w.byID[id] = d
			n++
		}
	}
}

// The bound on what a cold backend server gets.
const (
	coldOver  = 1.5
	coldSlack = 8
)

// publish takes over which instances may get requests.
func (w *Simulation) publish() {
	w.instances = make(map[string][]fleet.Instance)
	for _, d := range w.daemons {
		if !w.out[d.instance.Centre()] {
			w.instances[d.instance.Service()] = append(w.instances[d.instance.Service()], d.instance)
		}
	}
}

// Run plays the whole plan and returns the scores of all classes by name.
func (w *Simulation) Run() map[string]*Score {
	end := w.begin.Add(w.plan.GetLength().AsDuration())
	for _, c := range w.plan.GetClasses() {
		if c.GetRate() > 0 {
			w.arrive(c, end)
		}
	}
	for _, t := range w.plan.GetTroubles() {
		w.at(w.begin.Add(t.GetAt().AsDuration()), func() { w.trouble(t) })
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w.scores
}

// arrive lets the next request of a class come in, and those after it.
func (w *Simulation) arrive(c *schema.EmulatedClass, end time.Time) {
	gap := time.Duration(w.rnd.ExpFloat64() / (c.GetRate() * w.burst) * float64(time.Second))
	w.after(gap, func() {
		if !w.now.Before(end) {
			return
		}
		w.arrive(c, end)
		d := w.daemons[w.rnd.IntN(len(w.daemons))]
		w.scores[c.GetName()].asked++
		r := &request{class: c, at: d, objective: w.now.Add(c.GetObjective().AsDuration()), deadline: w.now.Add(c.GetDeadline().AsDuration())}
		r.done = func(e ending) { w.callerDone(r, e, c.GetRetries()) }
		r.start()
	})
}

// callerDone scores an answer, or lets the caller come back after a refusal.
func (w *Simulation) callerDone(r *request, e ending, retries uint32) {
	s := w.scores[r.class.GetName()]
	left := r.deadline.Sub(w.now)
	if e.refused && retries > 0 && left > 0 {
		s.again++
		wait := min(e.again, left/3)
		w.after(wait, func() {
			next := &request{class: r.class, at: r.at, objective: r.objective, deadline: r.deadline}
			next.done = func(e ending) { w.callerDone(next, e, retries-1) }
			next.start()
		})
		return
	}
	s.note(w.now, r, e)
}

func (w *Simulation) trouble(t *schema.EmulatedTrouble) {
	end := w.now.Add(t.GetFor().AsDuration())
	switch t.GetKind() {
	case schema.EmulatedTrouble_KIND_BURST:
		w.burst = t.GetFactor()
		w.at(end, func() { w.burst = 1 })
	case schema.EmulatedTrouble_KIND_OUT:
		w.out[t.GetCentre()] = true
		w.publish()
		w.at(end, func() {
			w.out[t.GetCentre()] = false
			w.publish()
		})
	default:
		w.troubleServers(t, end)
	}
}

func (w *Simulation) troubleServers(t *schema.EmulatedTrouble, end time.Time) {
	var hit []*daemon
	for _, d := range w.daemons {
		if (t.GetService() == "" || d.service.GetName() == t.GetService()) && (t.GetCentre() == "" || d.instance.Centre() == t.GetCentre()) {
			hit = append(hit, d)
		}
	}
	w.rnd.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
	for _, d := range hit[:int(math.Ceil(t.GetShare()*float64(len(hit))))] {
		switch t.GetKind() {
		case schema.EmulatedTrouble_KIND_SLOW:
			d.slowness = t.GetFactor()
		case schema.EmulatedTrouble_KIND_COLD:
			d.queue.SetCold(w.now, end, d.service.GetWarmup())
		case schema.EmulatedTrouble_KIND_SHED:
			d.sheds = t.GetFactor()
		}
		w.at(end, func() { d.slowness, d.sheds = 1, 0 })
	}
}

// delay is the time of a message between two daemons.
func (w *Simulation) delay(from, to *daemon) time.Duration {
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
	w.counter++
	heap.Push(&w.events, event{at: t, number: w.counter, do: do})
}

// event is something that happens at an instant; number keeps the order of
// those at one instant.
type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].number < e[j].number
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
