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
func (r failureRate) weight(now time.Time) float64 { return decay(now.Sub(r.at), failureHalfLife) }

// forgottenAfter is the number of half-lives after which a value counts as forgotten. Most of what
// a daemon knows of a large fleet is older.
const forgottenAfter = 10

// decay returns the weight of a value of the given age.
func decay(age, halfLife time.Duration) float64 {
	if age > forgottenAfter*halfLife {
		return 0
	}
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
