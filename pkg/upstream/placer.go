package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// reportHalfLife is how fast a reported load loses weight.
	reportHalfLife = 250 * time.Millisecond
	// typicalWork is taken for the run time of a request before the first report.
	typicalWork = 50 * time.Millisecond
	// fullAvoid is how long an instance is left alone that had no room.
	fullAvoid = 20 * time.Millisecond
	// lostAvoidFirst and lostAvoidLast bound how long an instance is left alone
	// whose daemon did not answer; the time doubles with each failure.
	lostAvoidFirst = 250 * time.Millisecond
	lostAvoidLast  = 2 * time.Second
	// gradeWeight is the weight of the newest answer in the share of failures.
	gradeWeight = 0.1
	// gradeHalfLife is how fast failures are forgiven.
	gradeHalfLife = 2 * time.Second
	// hopDelay is what a hop to another machine costs. Leaving the data centre
	// costs farShare of the time to the request's objective, at the least farDelay,
	// and farPerKB of it for each kilobyte: links between data centres are narrow
	// and paid for, and an answer that keeps its objective need not come sooner.
	hopDelay = time.Millisecond
	farDelay = 20 * time.Millisecond
	farShare = 0.35
	farPerKB = 0.02
	// busyShare is how much longer a run takes at a backend server whose slots
	// are all taken.
	busyShare = 0.3
	// headSize is the bytes of the heads of a request and its answer between
	// daemons.
	headSize = 1 << 10
)

// LoadReport is what the daemon beside a backend server reports of it.
type LoadReport struct {
	running, waiting, limit int
	work, mean              time.Duration
}

// NewLoadReport returns a report: requests that run and wait, how many may run at
// once, and the mean times of a run of requests like the one at hand and of all.
func NewLoadReport(running, waiting, limit int, work, mean time.Duration) LoadReport {
	return LoadReport{running: running, waiting: waiting, limit: limit, work: work, mean: mean}
}

// Running returns how many requests run.
func (r LoadReport) Running() int { return r.running }

// Waiting returns how many requests wait.
func (r LoadReport) Waiting() int { return r.waiting }

// Limit returns how many requests may run at once.
func (r LoadReport) Limit() int { return r.limit }

// MeanRunTimeOfKind returns the mean time of a run of requests like the one at hand.
func (r LoadReport) MeanRunTimeOfKind() time.Duration { return r.work }

// MeanRunTime returns the mean time of a run.
func (r LoadReport) MeanRunTime() time.Duration { return r.mean }

// AttemptResult says how a request at an instance ended.
type AttemptResult uint8

// The endings.
const (
	// Succeeded: the backend server answered with a success.
	Succeeded AttemptResult = iota
	// Failed: the backend server ran the request and failed.
	Failed
	// Overloaded: the daemon turned the request away for want of room.
	Overloaded
	// Shed: the backend server itself did not run the request.
	Shed
	// Unavailable: the daemon answered for a backend server that cannot be reached or
	// is leaving.
	Unavailable
	// DaemonUnreachable: the daemon beside the backend server did not answer.
	DaemonUnreachable
	// Inconclusive: the caller gave up, which says nothing.
	Inconclusive
)

// Placement is an instance that a request may be placed at, with what is known.
type Placement struct {
	instance fleet.Instance
	room     LoadReport
	// work is the mean time of a run of requests like the one at hand.
	work     time.Duration
	inflight int
	// load is the reported load with its age taken into account.
	load float64
	// failures is the share of late answers that failed.
	failures float64
	local    bool
	near     bool
	// size is the expected bytes of the request with its answer, and objective the
	// time in which it should be answered.
	size      int
	objective time.Duration
}

// Instance returns the instance.
func (o Placement) Instance() fleet.Instance { return o.instance }

// ExpectedLatency estimates how long an answer takes.
func (o Placement) ExpectedLatency() time.Duration {
	limit := float64(o.instance.Slots())
	if o.room.limit > 0 {
		limit = float64(o.room.limit)
	}
	mean := o.work
	if o.room.mean > 0 {
		mean = o.room.mean
	}
	load := math.Max(o.load, float64(o.inflight))
	queue := math.Max(0, load+1-limit) / limit
	busy := busyShare * load / limit
	return time.Duration(float64(o.work)*(1+busy) + float64(mean)*queue)
}

// NetworkCost returns what leaving the machine or the data centre costs, as time.
func (o Placement) NetworkCost() time.Duration {
	switch {
	case o.local:
		return 0
	case o.near:
		return hopDelay
	}
	objective := float64(o.objective)
	return max(farDelay, time.Duration(objective*farShare)) + time.Duration(objective*farPerKB*float64(o.size)/1024)
}

// CostModel orders the instances that a request may be placed at.
type CostModel interface {
	// Cost returns what placing a request costs; the least is taken.
	Cost(o Placement) float64
}

// LatencyCost prefers the instance that is expected to answer first, with failures
// counted as further tries.
type LatencyCost struct{}

// Cost implements Preference.
func (LatencyCost) Cost(o Placement) float64 {
	return o.ExpectedLatency().Seconds()*(1+2*o.failures+8*o.failures*o.failures) + o.NetworkCost().Seconds()
}

// UniformCost treats all instances alike.
type UniformCost struct{}

// Cost implements Preference.
func (UniformCost) Cost(Placement) float64 { return 0 }

// known is what this daemon knows of an instance.
type known struct {
	inflight int
	room     LoadReport
	told     time.Time
	avoid    time.Time
	lost     int
	failures float64
	graded   time.Time
}

func (k known) failuresAt(now time.Time) float64 {
	return k.failures * math.Exp2(-now.Sub(k.graded).Seconds()/gradeHalfLife.Seconds())
}

// Balancer chooses instances for requests. Make one with NewPlacer.
type Balancer[P CostModel] struct {
	preference P
	host       string
	centre     string
	states     *table.Table[string, known]
	works      *table.Table[kindAt, time.Duration]
	sizes      *table.Table[string, int]
	failing    *table.Table[string, float64]
	// unreached are the hosts whose daemons do not answer.
	unreached *table.Table[string, bool]
}

// Request is what is placed: a request of a kind, with the bytes of its body and
// the time that is left to its objective.
type Request struct {
	kind      string
	size      int
	objective time.Duration
}

// NewRequest returns a request to be placed.
func NewRequest(kind string, size int, objective time.Duration) Request {
	return Request{kind: kind, size: size, objective: max(objective, 0)}
}

// NewBalancer returns the placer of the daemon on a host in a data centre.
func NewBalancer[P CostModel](preference P, host, centre string) *Balancer[P] {
	return &Balancer[P]{
		preference: preference,
		host:       host,
		centre:     centre,
		states:     table.New[string, known](lock.Routes),
		works:      table.New[kindAt, time.Duration](lock.Routes),
		sizes:      table.New[string, int](lock.Routes),
		failing:    table.New[string, float64](lock.Routes),
		unreached:  table.New[string, bool](lock.Routes),
	}
}

// choices is how many instances of the data centre, and farChoices how many of the
// others, are compared for one request: a few drawn at random keep daemons with
// the same knowledge from all taking the same one.
const (
	choices    = 4
	farChoices = 2
)

// Pick chooses among instances, without those tried before, and counts a
// request in flight. End ends that request. An instance that is left alone is
// taken only where there is no other, one that is unreached never.
func (p *Balancer[P]) Pick(now time.Time, rnd Rand, r Request, instances []fleet.Instance, tried []string) (Placement, bool) {
	var free, avoided []Placement
	for _, i := range instances {
		if slices.Contains(tried, i.ID()) || p.Unreachable(i.Address().Host()) {
			continue
		}
		o, alone := p.option(now, r, i)
		if alone {
			avoided = append(avoided, o)
			continue
		}
		free = append(free, o)
	}
	if len(free) == 0 {
		free = avoided
	}
	if len(free) == 0 {
		return Placement{}, false
	}
	best := p.least(rnd, free)
	p.count(best.instance.ID())
	return best, true
}

// Assign counts a request in flight to a given instance, as Place does.
func (p *Balancer[P]) Assign(now time.Time, r Request, i fleet.Instance) Placement {
	o, _ := p.option(now, r, i)
	p.count(i.ID())
	return o
}

func (p *Balancer[P]) count(id string) {
	p.states.Update(id, func(k known, _ bool) (known, bool) {
		k.inflight++
		return k, true
	})
}

func (p *Balancer[P]) option(now time.Time, r Request, i fleet.Instance) (o Placement, alone bool) {
	k, _ := p.states.Get(i.ID())
	age := max(0, now.Sub(k.told)).Seconds() / reportHalfLife.Seconds()
	return Placement{
		instance: i,
		room:     k.room,
		inflight: k.inflight,
		load:     float64(k.room.running+k.room.waiting) * math.Exp2(-age),
		failures: k.failuresAt(now),
		local:    i.Address().Host() == p.host,
		near:     i.Centre() == p.centre,
		work:     p.work(i.ID(), r.kind),
		size:     p.size(r),

		objective: r.objective,
	}, now.Before(k.avoid)
}

// MarkUnreachable notes that the daemon on a host does not answer, and returns whether that
// is news. Its backend server gets no request, and is not tried by one, until
// Found.
func (p *Balancer[P]) MarkUnreachable(host string) bool {
	news := false
	p.unreached.Update(host, func(_, known bool) (bool, bool) {
		news = !known
		return true, true
	})
	return news
}

// MarkReachable notes that the daemon on a host answers.
func (p *Balancer[P]) MarkReachable(host string) { p.unreached.Delete(host) }

// Unreachable says whether the daemon on a host is known not to answer.
func (p *Balancer[P]) Unreachable(host string) bool {
	lost, _ := p.unreached.Get(host)
	return lost
}

// learnWeight is the weight of the newest answer in what is learned of a kind.
const learnWeight = 0.1

// failingMost is the share of failing answers of a kind above which another
// backend server is likely to fail as well.
const failingMost = 0.2

// failingWeight is the weight of the newest answer in the share of failures.
const failingWeight = 0.05

// least returns the cheapest of a few options drawn at random, the local one
// always among them.
func (p *Balancer[P]) least(rnd Rand, options []Placement) Placement {
	rnd.Shuffle(len(options), func(i, j int) { options[i], options[j] = options[j], options[i] })
	best, cost := Placement{}, math.Inf(1)
	near, far := choices, farChoices
	for _, o := range options {
		left := &far
		if o.near {
			left = &near
		}
		if *left == 0 && !o.local {
			continue
		}
		*left = max(0, *left-1)
		if c := p.preference.Cost(o); c < cost {
			best, cost = o, c
		}
	}
	return best
}

// Done ends a request that Place counted, with the report that came back, if any.
func (p *Balancer[P]) Done(now time.Time, id string, r Request, e AttemptResult, room LoadReport) {
	p.learnWork(id, r.kind, room.work)
	p.learnFailing(r.kind, e)
	p.states.Update(id, func(k known, _ bool) (known, bool) {
		k.inflight = max(0, k.inflight-1)
		if room.limit > 0 {
			k.room, k.told = room, now
		}
		k.grade(now, e)
		return k, true
	})
}

func (k *known) grade(now time.Time, e AttemptResult) {
	switch e {
	case Succeeded, Failed, Shed:
		failed := 1.0
		if e == Succeeded {
			failed = 0
		}
		k.failures = k.failuresAt(now)*(1-gradeWeight) + failed*gradeWeight
		k.graded = now
		k.lost = 0
	case DaemonUnreachable:
	case Overloaded:
		k.avoid = now.Add(fullAvoid)
		k.lost = 0
	case Unavailable:
		k.avoid = now.Add(min(lostAvoidFirst<<min(k.lost, 8), lostAvoidLast))
		k.lost++
	}
}

// Sweep forgets instances that are not in use and not in a set of ids.
func (p *Balancer[P]) Sweep(keep map[string]bool) {
	p.states.Sweep(func(id string, k known) bool { return k.inflight > 0 || keep[id] })
	p.works.Sweep(func(at kindAt, _ time.Duration) bool { return at.id == "" || keep[at.id] })
}
