package upstream

import "time"

// runTimeHalfLife is the half-life of the difference between the run time that an instance has last
// reported and the mean of all instances. Without a half-life, an instance that was slow for a while
// would get no further requests and could not show that it is fast again.
const runTimeHalfLife = 2 * time.Second

// runTimeKey is a kind of request at an instance. The key with an empty instance
// holds the mean over all instances.
type runTimeKey struct {
	instance, kind string
}

// runTime returns the expected run time of a kind of request at an instance, given the age of the
// instance's last report: what it has reported, and increasingly the mean of all instances as that
// report ages. A kind that has not been observed there gets the mean.
func (b *Balancer[P]) runTime(instance, kind string, age time.Duration) time.Duration {
	mean, known := b.runTimes.Get(runTimeKey{kind: kind})
	own, observed := b.runTimes.Get(runTimeKey{instance: instance, kind: kind})
	switch {
	case observed && known:
		return mean + time.Duration(decay(age, runTimeHalfLife)*float64(own-mean))
	case known:
		return mean
	}
	return defaultRunTime
}

// MeanRunTime returns the mean run time of a kind of request over all instances, or zero if
// none has been observed.
func (b *Balancer[P]) MeanRunTime(kind string) time.Duration {
	d, _ := b.runTimes.Get(runTimeKey{kind: kind})
	return d
}

// transferSize returns the expected bytes of a request and its response together.
func (b *Balancer[P]) transferSize(r Request) int {
	response, _ := b.responseSizes.Get(r.kind)
	return headerBytes + r.size + response
}

// RecordResponseSize records the size of the response to a request, in bytes, for
// estimates of later requests of the same kind.
func (b *Balancer[P]) RecordResponseSize(r Request, size int) {
	b.responseSizes.Update(r.kind, func(mean int, ok bool) (int, bool) {
		if !ok {
			return size, true
		}
		return mean + int(float64(size-mean)*meanWeight), true
	})
}

// FailsEverywhere reports whether a kind of request fails so often, over all
// instances, that sending one to another instance would mostly add load: more than
// 20 % of the recent responses were failures.
func (b *Balancer[P]) FailsEverywhere(r Request) bool {
	rate, _ := b.failureRates.Get(r.kind)
	return rate > maxKindFailureRate
}

func (b *Balancer[P]) recordKindFailure(kind string, result AttemptResult) {
	if result != Succeeded && result != Failed {
		return
	}
	b.failureRates.Update(kind, func(rate float64, _ bool) (float64, bool) {
		rate *= 1 - kindFailureWeight
		if result == Failed {
			rate += kindFailureWeight
		}
		return rate, true
	})
}

func (b *Balancer[P]) recordRunTime(instance, kind string, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	b.runTimes.Put(runTimeKey{instance: instance, kind: kind}, runTime)
	b.runTimes.Update(runTimeKey{kind: kind}, func(mean time.Duration, ok bool) (time.Duration, bool) {
		if !ok {
			return runTime, true
		}
		return mean + time.Duration(float64(runTime-mean)*meanWeight), true
	})
}
