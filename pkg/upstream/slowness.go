package upstream

import (
	"math"
	"time"
)

const (
	// recentHalfLife is the half-life of the difference between the slowness that an instance has
	// last reported and its lasting one. Without a half-life, an instance that was slow for a while
	// would get no further requests and could not show that it is fast again.
	recentHalfLife = 2 * time.Second
	// lastingHalfLife is the half-life of the lasting slowness without reports. It spans the time
	// in which each of some 70 daemons sends a few requests to each of some 40 instances.
	lastingHalfLife = 30 * time.Second
	// lastingPeriod is the time over which reports are averaged into the lasting slowness, so that
	// a disturbance of a few seconds changes it little.
	lastingPeriod = 10 * time.Second
	// maxLastingWeight is the largest weight of one report in the lasting slowness. A report is
	// itself the mean of some ten runs.
	maxLastingWeight = 0.7
	// Reported slowness counts in the lasting one as if it were between minLasting and maxLasting.
	// Larger deviations are disturbances, not properties of a machine.
	minLasting, maxLasting = 0.5, 2.0
)

// slowness is the run time of requests at an instance relative to that at all instances of its
// service: 1 is usual, 2 is twice as long.
//
// The load pattern is a service whose servers run at 0.7 to 1.6 of the mean speed, each of them
// slow for moments, and so many daemons that each one hears of each server only every few seconds.
// A daemon that soon forgets what it has heard sends requests to slow servers beside fast ones
// with free slots, where they are late four times as often. One that never forgets leaves a server
// unused that was slow for a moment.
//
// The zero value is that of an instance without reports.
type slowness struct {
	// kind and runTime are those of the last report, whose slowness follows from the mean run time
	// of the kind. The mean may have changed since, as at the start.
	kind    string
	runTime time.Duration
	// lasting is the average slowness of the reports, as of the last one.
	lasting  float64
	reported time.Time
}

// at returns the expected slowness. mean is the mean run time of the kind of the last report.
func (s slowness) at(now time.Time, mean time.Duration) float64 {
	if s.reported.IsZero() || mean <= 0 {
		return 1
	}
	age := now.Sub(s.reported)
	lasting, recent := s.lastingAt(age), float64(s.runTime)/float64(mean)
	return lasting + decay(age, recentHalfLife)*(recent-lasting)
}

func (s slowness) lastingAt(age time.Duration) float64 {
	return 1 + decay(age, lastingHalfLife)*(s.lasting-1)
}

// record returns the slowness after a report of the run time of a kind, whose mean is given.
func (s slowness) record(now time.Time, kind string, runTime, mean time.Duration) slowness {
	age, lasting, weight := now.Sub(s.reported), 1.0, maxLastingWeight
	if !s.reported.IsZero() {
		lasting = s.lastingAt(age)
		weight = min(weight, 1-math.Exp2(-age.Seconds()/lastingPeriod.Seconds()))
	}
	counted := min(max(float64(runTime)/float64(mean), minLasting), maxLasting)
	return slowness{kind: kind, runTime: runTime, lasting: lasting + weight*(counted-lasting), reported: now}
}
