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
	// loadHalfLife is the half-life of the weight of a reported load.
	loadHalfLife = 300 * time.Millisecond
	// refusedBackoff is how long a backend server is avoided whose gate refused a
	// request.
	refusedBackoff = 30 * time.Millisecond
	// connectionFailedBackoff is how long a backend server is avoided after a request
	// to it ended with ConnectionFailed.
	connectionFailedBackoff = 500 * time.Millisecond
	// drainingBackoff is how long a backend server is avoided whose daemon is
	// draining.
	drainingBackoff = 5 * time.Second
)

// Load is the load of a backend server, as reported by the admission gate in front of
// it (see backend.Gate). The zero value means that no load was reported.
type Load struct {
	running, waiting, window int
}

// NewLoad returns a load with the numbers of running and waiting requests and the
// limit of concurrent requests. A load with a limit of 0 is ignored.
func NewLoad(running, waiting, window int) Load {
	return Load{running: running, waiting: waiting, window: window}
}

// Running returns the number of running requests.
func (l Load) Running() int { return l.running }

// Waiting returns the number of queued requests.
func (l Load) Waiting() int { return l.waiting }

// Window returns the limit of concurrent requests.
func (l Load) Window() int { return l.window }

// Result is how an attempt at a backend server ended.
type Result uint8

const (
	// Accepted means that the gate admitted the request.
	Accepted Result = iota
	// Refused means that the gate refused the request for overload.
	Refused
	// Draining means that the daemon is shutting down.
	Draining
	// ConnectionFailed means that the daemon could not be reached, or that the
	// connection to it was lost during the request.
	ConnectionFailed
)

// backendState is what this daemon has observed of a backend server.
type backendState struct {
	inflight   int
	load       Load
	reportedAt time.Time
	avoidUntil time.Time
}

// Reachable reports whether the daemon beside a backend server, given by name, is
// currently reachable.
type Reachable func(name string) bool

// Router chooses backend servers. It is safe for concurrent use. Use NewRouter to
// create one.
type Router[P Policy] struct {
	policy   P
	self     string
	centre   string
	backends *table.Table[string, backendState]
}

// NewRouter returns the router of the daemon beside the backend server named self,
// in the data centre named centre.
func NewRouter[P Policy](policy P, self, centre string) *Router[P] {
	return &Router[P]{
		policy:   policy,
		self:     self,
		centre:   centre,
		backends: table.New[string, backendState](lock.Routes),
	}
}

// Pick chooses a backend server of a service and records the request as in flight
// there until Done. It skips backend servers that are out of service, unreachable,
// in backoff or named in tried, and returns false if none remains. It does not call
// reachable for the backend server of this daemon.
func (r *Router[P]) Pick(now time.Time, rnd Rand, cfg *platform.Config, service string, reachable Reachable, tried []string) (Candidate, bool) {
	var candidates []Candidate
	for _, b := range cfg.BackendsOf(service) {
		if slices.Contains(tried, b.Name()) || !cfg.InService(b.Name()) {
			continue
		}
		if b.Name() != r.self && !reachable(b.Name()) {
			continue
		}
		s, _ := r.backends.Get(b.Name())
		if now.Before(s.avoidUntil) {
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
	r.backends.Update(c.name, func(s backendState, _ bool) (backendState, bool) {
		s.inflight++
		return s, true
	})
	return c, true
}

// Status returns "ok" if Pick may choose a backend server, or else the reason why
// it does not, for display to operators: "unknown", "data centre out" or "out" for
// one that is out of service, "unreachable", or "left alone" for one in backoff.
func (r *Router[P]) Status(now time.Time, cfg *platform.Config, name string, reachable Reachable) string {
	b, ok := cfg.Backend(name)
	if !ok {
		return "unknown"
	}
	centre, _ := cfg.Centre(b.Centre())
	s, _ := r.backends.Get(name)
	switch {
	case centre.OutOfService():
		return "data centre out"
	case b.OutOfService():
		return "out"
	case name != r.self && !reachable(name):
		return "unreachable"
	case now.Before(s.avoidUntil):
		return "left alone"
	}
	return "ok"
}

func (r *Router[P]) distance(cfg *platform.Config, centre string) int {
	if centre == r.centre {
		return 0
	}
	own, _ := cfg.Centre(r.centre)
	other, _ := cfg.Centre(centre)
	if own.Region() == other.Region() {
		return 1
	}
	return 2
}

// score estimates the load as a fraction of the capacity. It takes the larger of
// the reported load, decayed with its age, and the number of requests that this
// daemon has in flight.
func (s backendState) score(now time.Time, slots int) float64 {
	window := slots
	if s.load.window > 0 {
		window = s.load.window
	}
	halfLives := max(0, now.Sub(s.reportedAt)).Seconds() / loadHalfLife.Seconds()
	reported := float64(s.load.running+s.load.waiting) * math.Exp2(-halfLives)
	return math.Max(reported, float64(s.inflight)) / float64(window)
}

// Done records the end of a request at a backend server. It must be called once for
// each request that Pick placed. The load is the zero value if none was reported.
func (r *Router[P]) Done(now time.Time, name string, result Result, load Load) {
	r.backends.Update(name, func(s backendState, _ bool) (backendState, bool) {
		s.inflight = max(0, s.inflight-1)
		if load.window > 0 {
			s.load = load
			s.reportedAt = now
		}
		switch result {
		case Refused:
			s.avoidUntil = now.Add(refusedBackoff)
		case Draining:
			s.avoidUntil = now.Add(drainingBackoff)
		case ConnectionFailed:
			s.avoidUntil = now.Add(connectionFailedBackoff)
		}
		return s, true
	})
}

// Sweep deletes the state of backend servers that are not in the configuration and
// have no request in flight.
func (r *Router[P]) Sweep(cfg *platform.Config) {
	r.backends.Sweep(func(name string, s backendState) bool {
		_, ok := cfg.Backend(name)
		return ok || s.inflight > 0
	})
}
