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
	// reportHalfLife is the half-life of the weight of a reported load, about two run times.
	reportHalfLife = 500 * time.Millisecond
	// defaultRunTime is the assumed run time of a request before the first report.
	defaultRunTime = 50 * time.Millisecond
	// overloadBackoff is how long an instance is avoided that refused a request for
	// overload.
	overloadBackoff = 20 * time.Millisecond
	// minUnavailableBackoff and maxUnavailableBackoff bound how long an unavailable
	// instance is avoided. The time doubles with each consecutive failure.
	minUnavailableBackoff = 250 * time.Millisecond
	maxUnavailableBackoff = 2 * time.Second
	// hopCost is the cost of sending a request to another machine of the data centre.
	hopCost = time.Millisecond
	// A request that leaves the data centre costs remoteCostShare of the time left to
	// its objective, at least minRemoteCost, and remoteCostPerKiB of that time for each
	// KiB of the request and its response. Links between data centres are narrow and
	// billed by traffic, and a response that meets its objective need not be faster.
	minRemoteCost    = 20 * time.Millisecond
	remoteCostShare  = 0.35
	remoteCostPerKiB = 0.02
	// refusedRemoteShare is the fraction of the first of these costs that remains once an instance
	// has refused the request or failed. The near ones are then likely to be full as well. Large
	// bodies still stay, since their bytes are billed.
	refusedRemoteShare = 0.3
	// saturationSlowdown is the relative increase of the run time at a backend server
	// whose slots are all busy.
	saturationSlowdown = 0.3
	// latenessCost is the cost of a response that misses its objective, as a fraction of the time
	// left to the objective.
	latenessCost = 0.5
	// latenessSpread is the relative error of an expected latency. Run times vary by a third.
	latenessSpread = 0.25
	// headerBytes is the size of the headers of a request and its response between
	// daemons.
	headerBytes = 1 << 10
)

// LoadReport is the load of a backend server, as reported by the daemon beside it.
// The zero value means that no report was received.
type LoadReport struct {
	running, waiting, limit        int
	meanRunTimeOfKind, meanRunTime time.Duration
	// linkBacklog and linkPace describe the link of the machine; see WithLink.
	linkBacklog, linkPace time.Duration
}

// NewLoadReport returns a report of the numbers of running and waiting requests,
// the limit of concurrent requests, the mean run time of requests of the same kind
// as the one that the report answers, and the mean run time of all requests. A mean
// of zero means that it is unknown. Of a report with a limit of 0, only
// meanRunTimeOfKind is used.
func NewLoadReport(running, waiting, limit int, meanRunTimeOfKind, meanRunTime time.Duration) LoadReport {
	return LoadReport{running: running, waiting: waiting, limit: limit, meanRunTimeOfKind: meanRunTimeOfKind, meanRunTime: meanRunTime}
}

// Running returns the number of running requests.
func (r LoadReport) Running() int { return r.running }

// Waiting returns the number of queued requests.
func (r LoadReport) Waiting() int { return r.waiting }

// Limit returns the limit of concurrent requests.
func (r LoadReport) Limit() int { return r.limit }

// MeanRunTimeOfKind returns the mean run time of requests of the same kind as the
// one that the report answers, or zero if it is unknown.
func (r LoadReport) MeanRunTimeOfKind() time.Duration { return r.meanRunTimeOfKind }

// MeanRunTime returns the mean run time of all requests, or zero if it is unknown.
func (r LoadReport) MeanRunTime() time.Duration { return r.meanRunTime }

// AttemptResult classifies the end of an attempt by what it shows about the state
// of the instance.
type AttemptResult uint8

const (
	// Succeeded means that the backend server ran the request successfully.
	Succeeded AttemptResult = iota
	// Failed means that the backend server ran the request and answered with a
	// failure.
	Failed
	// Overloaded means that the daemon refused the request for lack of capacity.
	Overloaded
	// Shed means that the backend server received the request and did not run it.
	Shed
	// Unavailable means that the daemon answered, but its backend server is
	// unreachable or draining.
	Unavailable
	// DaemonUnreachable means that the daemon beside the backend server did not
	// answer. Done does not put the instance into backoff for it; the caller reports
	// the host with MarkUnreachable.
	DaemonUnreachable
	// Inconclusive means that the attempt ended for a reason that is unrelated to the
	// state of the instance, such as a cancelled request.
	Inconclusive
)

// Placement is an instance that a request may be sent to, with the data for
// estimating the cost of sending it there. Only a Balancer creates placements.
type Placement struct {
	instance fleet.Instance
	report   LoadReport
	// slowness is the expected slowness of the instance.
	slowness float64
	// runTime is the expected run time of the request.
	runTime  time.Duration
	inflight int
	// reportedLoad is the number of requests last reported, of which reportWeight has not decayed
	// with the age of the report. A Balancer takes the rest from the other instances.
	reportedLoad, reportWeight float64
	// failures is the share of recent responses that were failures, and failureRate that share
	// as far as the other instances of the service fail less often.
	failures    failureRate
	failureRate float64
	local       bool
	sameCentre  bool
	// refused states that another instance has refused the request, or failed.
	refused bool
	// transferSize is the expected bytes of the request and its response, and
	// objective the time left in which it should be answered.
	transferSize int
	objective    time.Duration
	// linkTime is the expected time until the body has arrived at the machine.
	linkTime time.Duration
}

// Instance returns the instance.
func (p Placement) Instance() fleet.Instance { return p.instance }

// ExpectedLatency estimates the time until the response, from the run time, the
// load and the queue. It leaves out the network.
func (p Placement) ExpectedLatency() time.Duration {
	limit := p.limit()
	mean := p.runTime
	if p.report.meanRunTime > 0 {
		mean += time.Duration(p.reportWeight * float64(p.report.meanRunTime-p.runTime))
	}
	load := math.Max(p.reportedLoad, float64(p.inflight))
	queue := math.Max(0, load+1-limit) / limit
	slowdown := saturationSlowdown * load / limit
	return time.Duration(float64(p.runTime)*(1+slowdown)+float64(mean)*queue) + p.linkTime
}

// limit returns the number of requests that the instance runs concurrently.
func (p Placement) limit() float64 {
	if p.report.limit > 0 {
		return float64(p.report.limit)
	}
	return float64(p.instance.Slots())
}

// NetworkCost returns the cost of leaving the machine or the data centre, expressed
// as a time.
func (p Placement) NetworkCost() time.Duration {
	switch {
	case p.local:
		return 0
	case p.sameCentre:
		return hopCost
	}
	objective := float64(p.objective)
	leaving := objective * remoteCostShare
	if p.refused {
		leaving *= refusedRemoteShare
	}
	return max(minRemoteCost, time.Duration(leaving)) + time.Duration(objective*remoteCostPerKiB*float64(p.transferSize)/1024)
}

// latenessRisk returns the probability that the response misses its objective: it rises from 0 to 1
// as the expected latency rises from 1-latenessSpread to 1+latenessSpread times the objective.
func (p Placement) latenessRisk() float64 {
	if p.objective <= 0 {
		return 0
	}
	ratio := float64(p.ExpectedLatency()) / float64(p.objective)
	return min(1, max(0, (ratio-1+latenessSpread)/(2*latenessSpread)))
}

// CostModel ranks the placements of a request.
type CostModel interface {
	// Cost returns the cost of a placement, in a unit of the model's choice. The
	// Balancer picks the cheapest. Cost must be safe for concurrent use.
	Cost(p Placement) float64
}

// LatencyCost is the expected latency plus the network cost, in seconds. It raises
// the latency with the failure rate, since a failure leads to another attempt, and adds a cost for
// the risk of missing the objective.
//
// That cost addresses demand that is concentrated in one data centre. A response that meets its
// objective need not be faster, so that leaving the data centre costs more than it saves. Where
// the near backend servers are full, the alternative is a late response.
type LatencyCost struct{}

// Cost implements CostModel.
func (LatencyCost) Cost(p Placement) float64 {
	latency := p.ExpectedLatency().Seconds()
	return latency*(1+2*p.failureRate+8*p.failureRate*p.failureRate) + p.NetworkCost().Seconds() + latenessCost*p.objective.Seconds()*p.latenessRisk()
}

// UniformCost gives all placements the same cost, so that the Balancer picks at
// random.
type UniformCost struct{}

// Cost implements CostModel.
func (UniformCost) Cost(Placement) float64 { return 0 }

// instanceState is what this daemon has observed of an instance.
type instanceState struct {
	inflight     int
	report       LoadReport
	reportedAt   time.Time
	avoidUntil   time.Time
	unavailables int
	failures     failureRate
	slowness     slowness
}

// reportWeight returns the share of the last report that has not decayed.
func (s instanceState) reportWeight(now time.Time) float64 {
	return decay(now.Sub(s.reportedAt), reportHalfLife)
}

// Balancer chooses instances for requests. It is safe for concurrent use. Use
// NewBalancer to create one.
type Balancer[P CostModel] struct {
	costModel P
	host      string
	centre    string
	instances *table.Table[string, instanceState]
	// runTimes, responseSizes and failureRates hold estimates per kind of request.
	runTimes      *table.Table[string, time.Duration]
	responseSizes *table.Table[string, int]
	failureRates  *table.Table[string, float64]
	// unreachableHosts are the hosts whose daemons do not answer.
	unreachableHosts *table.Table[string, bool]
}

// Request describes a request to the Balancer.
type Request struct {
	kind      string
	size      int
	objective time.Duration
}

// NewRequest returns a request with the size of its body in bytes and the time left
// until its latency objective, which is taken as zero if negative. Requests of the
// same kind, such as those on one route, share estimates of run time, response size
// and failure rate.
func NewRequest(kind string, size int, objective time.Duration) Request {
	return Request{kind: kind, size: size, objective: max(objective, 0)}
}

// NewBalancer returns the balancer of the daemon on a host in a data centre. The
// host is an IP address in the form that fleet.Address has, the data centre a name.
func NewBalancer[P CostModel](costModel P, host, centre string) *Balancer[P] {
	return &Balancer[P]{
		costModel:        costModel,
		host:             host,
		centre:           centre,
		instances:        table.New[string, instanceState](lock.Routes),
		runTimes:         table.New[string, time.Duration](lock.Routes),
		responseSizes:    table.New[string, int](lock.Routes),
		failureRates:     table.New[string, float64](lock.Routes),
		unreachableHosts: table.New[string, bool](lock.Routes),
	}
}

// The number of instances compared for one request, in the daemon's own data centre
// and in the others. A small random sample keeps daemons with the same information from
// all picking the same instance.
const (
	sameCentreSamples = 4
	remoteSamples     = 2
)

// Pick chooses among the instances whose ids are not in tried, and records the
// request as in flight there until Done. An instance in backoff is picked only if
// there is no other, and one on an unreachable host never. Pick returns false if no
// instance remains. It does not modify the slices.
func (b *Balancer[P]) Pick(now time.Time, rnd Rand, r Request, instances []fleet.Instance, tried []string) (Placement, bool) {
	// The candidates are the indices of instances. Placements are made of the few that
	// are compared.
	eligible := make([]int, 0, len(instances))
	var inBackoff []int
	observed := newObservations(now)
	means := meanRunTimes[P]{balancer: b}
	for n := range instances {
		i := &instances[n]
		s, _ := b.instances.Get(i.ID())
		observed.add(i.Centre(), s, s.slowness.at(now, means.get(s.slowness.kind)))
		if slices.Contains(tried, i.ID()) || b.Unreachable(i.Address().Host()) {
			continue
		}
		if now.Before(s.avoidUntil) {
			inBackoff = append(inBackoff, n)
			continue
		}
		eligible = append(eligible, n)
	}
	if len(eligible) == 0 {
		eligible = inBackoff
	}
	if len(eligible) == 0 {
		return Placement{}, false
	}
	best := b.cheapest(rnd, r, instances, eligible, len(tried) > 0, observed)
	b.addInflight(best.instance.ID())
	return best, true
}

// Assign places a request at a given instance, even one in backoff or on an
// unreachable host, and records it as in flight there until Done.
func (b *Balancer[P]) Assign(now time.Time, r Request, i fleet.Instance) Placement {
	p := b.placement(now, r, i)
	b.addInflight(i.ID())
	return p
}

func (b *Balancer[P]) addInflight(id string) {
	b.instances.Update(id, func(s instanceState, _ bool) (instanceState, bool) {
		s.inflight++
		return s, true
	})
}

func (b *Balancer[P]) placement(now time.Time, r Request, i fleet.Instance) Placement {
	s, _ := b.instances.Get(i.ID())
	weight, slowness := s.reportWeight(now), s.slowness.at(now, b.MeanRunTime(s.slowness.kind))
	return Placement{
		instance:     i,
		report:       s.report,
		inflight:     s.inflight,
		reportedLoad: float64(s.report.running+s.report.waiting) * weight,
		reportWeight: weight,
		failures:     s.failures,
		slowness:     slowness,
		local:        i.Address().Host() == b.host,
		sameCentre:   i.Centre() == b.centre,
		runTime:      b.runTime(r.kind, slowness),
		transferSize: b.transferSize(r),

		objective: r.objective,
		linkTime:  s.report.linkTime(r.size, weight),
	}
}

// MarkUnreachable records that the daemon on a host, given by its IP address, does
// not answer, and reports whether the host was reachable before. Pick skips the
// host's instances until MarkReachable.
func (b *Balancer[P]) MarkUnreachable(host string) bool {
	changed := false
	b.unreachableHosts.Update(host, func(_, known bool) (bool, bool) {
		changed = !known
		return true, true
	})
	return changed
}

// MarkReachable records that the daemon on a host answers. It undoes MarkUnreachable.
func (b *Balancer[P]) MarkReachable(host string) { b.unreachableHosts.Delete(host) }

// Unreachable reports whether the daemon on a host is known not to answer.
func (b *Balancer[P]) Unreachable(host string) bool {
	unreachable, _ := b.unreachableHosts.Get(host)
	return unreachable
}

// UnreachableHosts returns the number of hosts whose daemons are known not to answer.
func (b *Balancer[P]) UnreachableHosts() int { return b.unreachableHosts.Len() }

// meanWeight is the weight of the latest value in a running mean per kind.
const meanWeight = 0.1

// maxKindFailureRate is the failure rate of a kind above which another backend
// server is likely to fail as well.
const maxKindFailureRate = 0.2

// kindFailureWeight is the weight of the latest response in the failure rate of a
// kind.
const kindFailureWeight = 0.05

// cheapest returns the cheapest placement at a random sample of candidates, which are indices
// of instances. The sample always includes the local one. observed covers all instances.
func (b *Balancer[P]) cheapest(rnd Rand, r Request, instances []fleet.Instance, candidates []int, refused bool, observed observations) Placement {
	rnd.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best, bestCost := Placement{}, math.Inf(1)
	sameCentre, remote := sameCentreSamples, remoteSamples
	for _, n := range candidates {
		i := &instances[n]
		left := &remote
		if i.Centre() == b.centre {
			left = &sameCentre
		}
		if *left == 0 && i.Address().Host() != b.host {
			continue
		}
		*left = max(0, *left-1)
		p := b.placement(observed.now, r, *i)
		p.refused = refused
		p.failureRate = observed.excessFailures(i.Centre(), p.failures)
		p.reportedLoad += p.limit() * observed.assumedLoad(i.Centre(), p.reportWeight, p.report.limit > 0, p.slowness)
		if c := b.costModel.Cost(p); c < bestCost {
			best, bestCost = p, c
		}
	}
	return best
}

// Done records the end of a request at the instance with the given id. It must be
// called once for each request that Pick or Assign placed. The report is the zero value if
// none was received.
func (b *Balancer[P]) Done(now time.Time, id string, r Request, result AttemptResult, report LoadReport) {
	mean := b.recordRunTime(r.kind, report.meanRunTimeOfKind)
	b.recordKindFailure(r.kind, result)
	b.instances.Update(id, func(s instanceState, _ bool) (instanceState, bool) {
		s.inflight = max(0, s.inflight-1)
		if report.limit > 0 {
			s.report, s.reportedAt = report, now
		}
		if report.meanRunTimeOfKind > 0 {
			s.slowness = s.slowness.record(now, r.kind, report.meanRunTimeOfKind, mean)
		}
		s.record(now, result)
		return s, true
	})
}

func (s *instanceState) record(now time.Time, result AttemptResult) {
	switch result {
	case Succeeded, Failed, Shed:
		s.failures.record(now, result != Succeeded)
		s.unavailables = 0
	case DaemonUnreachable:
	case Overloaded:
		s.avoidUntil = now.Add(overloadBackoff)
		s.unavailables = 0
	case Unavailable:
		s.avoidUntil = now.Add(min(minUnavailableBackoff<<min(s.unavailables, 8), maxUnavailableBackoff))
		s.unavailables++
	}
}

// Sweep deletes the state of instances that have no request in flight and whose ids
// are not in keep. Without regular calls, the state of past instances accumulates.
func (b *Balancer[P]) Sweep(keep map[string]bool) {
	b.instances.Sweep(func(id string, s instanceState) bool { return s.inflight > 0 || keep[id] })
}
