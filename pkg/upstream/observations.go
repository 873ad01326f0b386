package upstream

import "time"

const (
	// assumedIdle is the weight of the assumption that the backend servers of a data centre are
	// idle, relative to one recent report. It decides while nothing is known of them.
	assumedIdle = 0.5
	// newInstanceLoad is the load of an instance that has not sent a report yet, as a fraction of
	// the mean load. It is below 1, so that new instances are found soon, and above 0, since all
	// daemons find one at the same time.
	newInstanceLoad = 0.5
	// maxRelativeLoad is the largest load that is assumed of an instance, relative to the mean load.
	maxRelativeLoad = 2
)

// observations sums up what this daemon has observed of the instances of a service, by data
// centre, so that an instance can be compared with the others.
//
// Failure rates: it addresses a service of which all backend servers shed or fail the same share
// of all requests for some seconds, with free slots. That says nothing about any one of them. If
// they were avoided for it, instances that have not been observed lately would appear better,
// most of them in other data centres, and a large part of the requests would leave the data
// centre to be shed there. A data centre whose backend servers fail more often than those of
// another one is avoided all the same, which some responses of the other one show.
//
// Loads: it addresses demand that triples within seconds, or in one data centre. An instance from
// which this daemon has no recent report would appear idle if its load were forgotten, and all
// daemons would send their requests to the instances that they know least of. It is assumed to
// answer as late as the others instead.
type observations struct {
	now     time.Time
	centres []centreObservations
}

// usualCentres is the number of data centres up to which no memory is allocated for more.
const usualCentres = 5

func newObservations(now time.Time) observations {
	return observations{now: now, centres: make([]centreObservations, 0, usualCentres)}
}

// centreObservations sums up the observations of the instances in a data centre.
type centreObservations struct {
	centre string
	// rates are failure rates and weight how much of them has not decayed.
	rates, weight float64
	// responses and failures are decayed numbers of responses.
	responses, failures float64
	// loads are loads as fractions of the limits, latencies expected latencies as multiples of the
	// usual run time, and reports how much of both has not decayed.
	loads, latencies, reports float64
}

// add adds the state of an instance in a data centre, and its slowness.
func (o *observations) add(centre string, s instanceState, slowness float64) {
	c := o.centre(centre)
	if c == nil {
		o.centres = append(o.centres, centreObservations{centre: centre})
		c = &o.centres[len(o.centres)-1]
	}
	if s.failures.responses > 0 {
		weight := s.failures.weight(o.now)
		c.rates += s.failures.rate * weight
		c.weight += weight
		c.responses += s.failures.responses * weight
		c.failures += s.failures.failures * weight
	}
	if s.report.limit > 0 {
		weight := s.reportWeight(o.now)
		load := float64(s.report.running+s.report.waiting) / float64(s.report.limit)
		c.loads += weight * load
		c.latencies += weight * slowness * latencyAt(load)
		c.reports += weight
	}
}

func (o observations) centre(name string) *centreObservations {
	for n := range o.centres {
		if o.centres[n].centre == name {
			return &o.centres[n]
		}
	}
	return nil
}

func (c centreObservations) failureRate() float64 {
	return c.failures / (c.responses + assumedSuccesses)
}

// excessFailures returns the failure rate of an instance that has been added, as far as it exceeds
// that of the others in its data centre, plus a part of the rate by which the data centre exceeds
// the best one.
func (o observations) excessFailures(centre string, r failureRate) float64 {
	own := o.centre(centre)
	best := own.failureRate()
	for _, c := range o.centres {
		best = min(best, c.failureRate())
	}
	weight := r.weight(o.now)
	rate, others := r.rate*weight, own.weight-weight
	if others < minFailureWeight {
		return rate
	}
	common := (own.rates - rate) / others
	return min(1, rate*min(1, max(0, rate-common)/(common*fullExcess+minExcess))+centreShare*(own.failureRate()-best))
}

// latencyAt returns the latency at a backend server of usual speed as a multiple of the run time when
// it is idle. load is a fraction of its limit.
func latencyAt(load float64) float64 {
	return 1 + saturationSlowdown*load + max(0, load-1)
}

// loadAt is the inverse of latencyAt. It is zero for latencies below that of an idle server.
func loadAt(latency float64) float64 {
	return max(0, min(1, (latency-1)/saturationSlowdown)) + max(0, latency-1-saturationSlowdown)/(1+saturationSlowdown)
}

// assumedLoad returns the load of an instance, as a fraction of its limit, that is assumed in place
// of the part of its last report that has decayed. weight is the part that has not, and reported
// states that there was a report. All daemons prefer the instances that answer sooner, so that a fast
// one is taken to be so busy, and a slow one to be so idle, that both answer after the same time. It
// is not taken to be much busier than the others, since fast ones answer sooner where all are idle.
func (o observations) assumedLoad(centre string, weight float64, reported bool, slowness float64) float64 {
	c := o.centre(centre)
	load := c.loads / (c.reports + assumedIdle)
	if !reported {
		return load * newInstanceLoad
	}
	latency := (c.latencies + assumedIdle) / (c.reports + assumedIdle)
	return min(loadAt(latency/slowness), load*maxRelativeLoad) * (1 - weight)
}
