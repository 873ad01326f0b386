package upstream

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the latest response in an instance's failure
	// rate.
	failureWeight = 0.1
	// failureHalfLife is the half-life of an instance's failure rate.
	failureHalfLife = 2 * time.Second
	// fullExcess is the fraction of the failure rate of the other instances by which that of
	// one must exceed it to count in full. The rate of an instance is an estimate from the last
	// ten responses or so: while all instances fail equally often, it deviates by a fifth.
	fullExcess = 0.5
	// minExcess is the least failure rate that counts in full where no other instance fails.
	minExcess = 0.02
	// minFailureWeight is the least weight of observations of other instances with which an
	// instance is compared.
	minFailureWeight = 0.5
	// assumedSuccesses is the number of successful responses that is added to those of a data
	// centre, so that its failure rate is near zero until some responses have been observed.
	assumedSuccesses = 2
	// centreShare is the fraction that counts of the difference between the failure rates of
	// two data centres. With more of it, the requests of a data centre that fails crowd the
	// others.
	centreShare = 0.35
)

// failureRate is the share of the recent responses of an instance that were failures. It decays
// with the time since the last response.
type failureRate struct {
	rate float64
	at   time.Time
	// responses and failures are the numbers of responses, decayed in the same way.
	responses, failures float64
}

func (r *failureRate) record(now time.Time, failed bool) {
	latest, weight := 0.0, r.weight(now)
	if failed {
		latest = 1
	}
	r.rate = r.rate*weight*(1-failureWeight) + latest*failureWeight
	r.responses, r.failures = r.responses*weight+1, r.failures*weight+latest
	r.at = now
}

// weight returns the share of the rate that has not decayed.
func (r failureRate) weight(now time.Time) float64 {
	return math.Exp2(-now.Sub(r.at).Seconds() / failureHalfLife.Seconds())
}

// failureRates compares the failure rates of the instances of a service, to tell how much more
// often one fails than the others.
//
// It addresses a service of which all backend servers shed or fail the same share of all
// requests for some seconds, with free slots. That says nothing about any one of them. If they
// were avoided for it, instances that have not been observed lately would appear better, most of
// them in other data centres, and a large part of the requests would leave the data centre to be
// shed there. A data centre whose backend servers fail more often than those of another one is
// avoided all the same, which some responses of the other one show.
type failureRates struct {
	now     time.Time
	centres []centreFailures
}

// centreFailures adds up the failure rates of the instances in a data centre.
type centreFailures struct {
	centre              string
	rates, weight       float64
	responses, failures float64
}

func (f *failureRates) add(centre string, r failureRate) {
	c := f.centre(centre)
	if c == nil {
		f.centres = append(f.centres, centreFailures{centre: centre})
		c = &f.centres[len(f.centres)-1]
	}
	weight := r.weight(f.now)
	c.rates += r.rate * weight
	c.weight += weight
	c.responses += r.responses * weight
	c.failures += r.failures * weight
}

func (f failureRates) centre(name string) *centreFailures {
	for n := range f.centres {
		if f.centres[n].centre == name {
			return &f.centres[n]
		}
	}
	return nil
}

func (c centreFailures) rate() float64 { return c.failures / (c.responses + assumedSuccesses) }

// excess returns the failure rate of an instance that has been added, as far as it exceeds that
// of the others in its data centre, plus a part of the rate by which the data centre exceeds the
// best one.
func (f failureRates) excess(centre string, r failureRate) float64 {
	own := f.centre(centre)
	best := own.rate()
	for _, c := range f.centres {
		best = min(best, c.rate())
	}
	weight := r.weight(f.now)
	rate, others := r.rate*weight, own.weight-weight
	if others < minFailureWeight {
		return rate
	}
	common := (own.rates - rate) / others
	return min(1, rate*min(1, max(0, rate-common)/(common*fullExcess+minExcess))+centreShare*(own.rate()-best))
}
