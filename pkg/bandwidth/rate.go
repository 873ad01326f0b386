package bandwidth

import (
	"math"
	"slices"
	"time"
)

const (
	// linkShare is the share of a link's rate that bodies may take. The rest is left for small
	// messages, which otherwise wait behind one body after another.
	linkShare = 0.85
	// maxRecordDebt is the time for which bytes that have arrived without a grant may delay the
	// next grant. They compete only with the bodies that are under way.
	maxRecordDebt = 200 * time.Millisecond
	// minSampleBytes is the number of bytes from which the duration of a transfer says
	// something about the rate of the link: smaller ones mostly wait for round trips.
	minSampleBytes = 32 << 10
	// sampleTransfers is the number of overlapping transfers after which they are taken as one
	// sample, although others are still under way.
	sampleTransfers = 4
	// rateSamples is the number of consecutive samples that must all be slow for the link to
	// count as slower than configured. A slow sender makes only some of them slow.
	rateSamples = 5
	// slowShare is the share of the configured rate up to which a sample is slow.
	slowShare = 0.5
	// sampleTTL is how long samples are used. At a very low estimate no body is accepted, so
	// that there are no new samples.
	sampleTTL = 5 * time.Second
)

// settle accounts for what a granted body has not used or used in addition, and observes the rate.
func (l *Link) settle(now time.Time, e *Entry, received int) {
	missing := e.transfer.size - received
	switch {
	case missing > 0:
		l.counts.returned++
		l.returnUnused(now, e, missing)
	case missing < 0:
		l.record(now, -missing)
	}
	if e.requested.IsZero() {
		return
	}
	l.receivedBytes += received
	l.receivedBodies++
	last := !slices.ContainsFunc(l.open, underWay)
	if missing > 0 && last {
		// The time for which the sender did not send says nothing about the link.
		return
	}
	if last || l.receivedBodies >= sampleTransfers {
		l.sample(now)
	}
}

// returnUnused returns what is left of the time that was reserved for missing bytes of a body.
func (l *Link) returnUnused(now time.Time, e *Entry, missing int) {
	ahead := e.reserved.Add(e.cost).Sub(later(now, e.reserved))
	unused := time.Duration(float64(e.cost) * float64(missing) / float64(e.transfer.size))
	l.free = l.free.Add(-max(0, min(ahead, unused)))
}

// sample observes the rate of the transfers since busySince.
func (l *Link) sample(now time.Time) {
	took := now.Sub(l.busySince)
	if l.receivedBytes >= minSampleBytes && took > 0 {
		if len(l.samples) == rateSamples {
			l.samples = slices.Delete(l.samples, 0, 1)
		}
		l.samples = append(l.samples, float64(l.receivedBytes)/took.Seconds())
		l.sampledAt = now
	}
	l.busySince, l.receivedBytes, l.receivedBodies = now, 0, 0
	l.rate = l.configured
	if len(l.samples) == rateSamples {
		if fastest := slices.Max(l.samples); fastest <= l.configured*slowShare {
			l.rate = fastest
		}
	}
}

func (l *Link) expireSamples(now time.Time) {
	if now.Sub(l.sampledAt) > sampleTTL {
		l.samples = nil
		l.rate = l.configured
	}
}

func (l *Link) record(now time.Time, bytes int) {
	// The bytes have arrived by now, and have used what was free until now.
	cost := l.cost(bytes)
	end := later(l.free.Add(cost), now)
	l.free = later(l.free, earlier(end, now.Add(maxRecordDebt)))
}

// cost returns the time of the link that bytes take.
func (l *Link) cost(bytes int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return seconds(float64(bytes) / (l.rate * linkShare))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/4))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}
