package upstream

import "time"

// runTime returns the expected run time of a kind of request at an instance of the given slowness.
func (b *Balancer[P]) runTime(kind string, slowness float64) time.Duration {
	mean, known := b.runTimes.Get(kind)
	if !known {
		return defaultRunTime
	}
	return time.Duration(float64(mean) * slowness)
}

// meanRunTimes looks up mean run times. It keeps the last one, since most reports of the instances
// of a service are of the same kind.
type meanRunTimes[P CostModel] struct {
	balancer *Balancer[P]
	kind     string
	mean     time.Duration
}

func (m *meanRunTimes[P]) get(kind string) time.Duration {
	if kind != m.kind {
		m.kind, m.mean = kind, m.balancer.MeanRunTime(kind)
	}
	return m.mean
}

// MeanRunTime returns the mean run time of a kind of request over all instances, or zero if
// none has been observed.
func (b *Balancer[P]) MeanRunTime(kind string) time.Duration {
	d, _ := b.runTimes.Get(kind)
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

// recordRunTime records the mean run time of a kind of request that an instance has reported, and
// returns that over all instances.
func (b *Balancer[P]) recordRunTime(kind string, runTime time.Duration) time.Duration {
	mean := runTime
	if runTime <= 0 {
		return mean
	}
	b.runTimes.Update(kind, func(before time.Duration, ok bool) (time.Duration, bool) {
		if ok {
			mean = before + time.Duration(float64(runTime-before)*meanWeight)
		}
		return mean, true
	})
	return mean
}
