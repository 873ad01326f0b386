package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// loadHalfLife is how fast a told load loses weight.
	loadHalfLife = 300 * time.Millisecond
	// refusedAvoid is how long a gate that refused is left alone.
	refusedAvoid = 30 * time.Millisecond
	// failedAvoid is how long a daemon that could not be reached is left alone.
	failedAvoid = 500 * time.Millisecond
	// leavingAvoid is how long a leaving daemon is left alone.
	leavingAvoid = 5 * time.Second
)

// Load is what a gate tells of itself.
type Load struct {
	running, waiting, window int
}

// NewLoad returns a load: requests that run, requests that wait, and how many
// may run at once.
func NewLoad(running, waiting, window int) Load {
	return Load{running: running, waiting: waiting, window: window}
}

// Running returns how many requests run.
func (l Load) Running() int { return l.running }

// Waiting returns how many requests wait.
func (l Load) Waiting() int { return l.waiting }

// Window returns how many requests may run at once.
func (l Load) Window() int { return l.window }

// Result says how a try at a backend server went.
type Result uint8

// The results.
const (
	// Accepted: the gate took the request.
	Accepted Result = iota
	// Refused: the gate refused it for load.
	Refused
	// Draining: the daemon is leaving.
	Draining
	// ConnectionFailed: the daemon could not be reached, or was lost during the request.
	ConnectionFailed
)

// seen is what this daemon has seen of a backend server.
type seen struct {
	inflight int
	load     Load
	told     time.Time
	avoid    time.Time
}

// Reachable says whether a slot's daemon may be reached now.
type Reachable func(name string) bool

// Router chooses backend servers. Make one with NewRouter.
type Router[P Policy] struct {
	policy P
	self   string
	centre string
	states *table.Table[string, seen]
}

// NewRouter returns the router of the slot named self in a data centre.
func NewRouter[P Policy](policy P, self, centre string) *Router[P] {
	return &Router[P]{
		policy: policy,
		self:   self,
		centre: centre,
		states: table.New[string, seen](lock.Routes),
	}
}

// Pick chooses a backend server of a service that is in service, usable, not
// left alone and not among those tried, and counts a request in flight to it.
// Done ends that request.
func (r *Router[P]) Pick(now time.Time, rnd Rand, cfg *platform.Config, service string, usable Reachable, tried []string) (Candidate, bool) {
	var candidates []Candidate
	for _, b := range cfg.BackendsOf(service) {
		if slices.Contains(tried, b.Name()) || !cfg.InService(b.Name()) {
			continue
		}
		if b.Name() != r.self && !usable(b.Name()) {
			continue
		}
		s, _ := r.states.Get(b.Name())
		if now.Before(s.avoid) {
			continue
		}
		candidates = append(candidates, Candidate{
			name:     b.Name(),
			distance: r.distance(cfg, b.Centre()),
			score:    s.score(now, b.Slots()),
		})
	}
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	c := candidates[r.policy.Choose(rnd, candidates)]
	r.states.Update(c.name, func(s seen, _ bool) (seen, bool) {
		s.inflight++
		return s, true
	})
	return c, true
}

// Status says in a word why a backend server gets no work now, or "ok".
func (r *Router[P]) Status(now time.Time, cfg *platform.Config, name string, usable Reachable) string {
	b, ok := cfg.Backend(name)
	if !ok {
		return "unknown"
	}
	centre, _ := cfg.Centre(b.Centre())
	s, _ := r.states.Get(name)
	switch {
	case centre.OutOfService():
		return "data centre out"
	case b.OutOfService():
		return "out"
	case name != r.self && !usable(name):
		return "unreachable"
	case now.Before(s.avoid):
		return "left alone"
	}
	return "ok"
}

func (r *Router[P]) distance(cfg *platform.Config, centre string) int {
	if centre == r.centre {
		return 0
	}
	own, _ := cfg.Centre(r.centre)
	far, _ := cfg.Centre(centre)
	if own.Region() == far.Region() {
		return 1
	}
	return 2
}

// score estimates the load as a part of what the backend server bears: the
// larger of what it told, losing weight with age, and what this daemon has in
// flight there.
func (s seen) score(now time.Time, slots int) float64 {
	window := slots
	if s.load.window > 0 {
		window = s.load.window
	}
	age := max(0, now.Sub(s.told)).Seconds() / loadHalfLife.Seconds()
	told := float64(s.load.running+s.load.waiting) * math.Exp2(-age)
	return math.Max(told, float64(s.inflight)) / float64(window)
}

// Done ends a request that Pick counted.
func (r *Router[P]) Done(now time.Time, name string, result Result, load Load) {
	r.states.Update(name, func(s seen, _ bool) (seen, bool) {
		s.inflight = max(0, s.inflight-1)
		if load.window > 0 {
			s.load = load
			s.told = now
		}
		switch result {
		case Refused:
			s.avoid = now.Add(refusedAvoid)
		case Draining:
			s.avoid = now.Add(leavingAvoid)
		case ConnectionFailed:
			s.avoid = now.Add(failedAvoid)
		}
		return s, true
	})
}

// Sweep forgets backend servers that the version no longer has.
func (r *Router[P]) Sweep(cfg *platform.Config) {
	r.states.Sweep(func(name string, s seen) bool {
		_, ok := cfg.Backend(name)
		return ok || s.inflight > 0
	})
}
