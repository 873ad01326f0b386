package customer

import (
	"math"
	"time"
)

// Window is the bound that a whole fleet keeps for each customer: in any span
// of its length no more than the limit's requests, plus a tolerance.
type Window struct {
	length time.Duration
	over   float64
	slack  float64
}

// NewWindow returns a bound over spans of a length, which exceeds a limit by a
// part of it and by a number of requests.
func NewWindow(length time.Duration, over, slack float64) Window {
	return Window{length: length, over: over, slack: slack}
}

const (
	// windowUse is the part of the bound that is handed out; the rest covers
	// requests that arrive later than they were let in, and the moment in which
	// two daemons may both keep the limit of a data centre.
	windowUse = 0.92
	// rateOver is the factor by which a limit's rate is handed out: requests
	// come in lumps, and the parts of a limit follow them with a delay.
	rateOver = 1.4
	// flowShare is the part of a span's bound that flows at most; the rest is
	// what may be let in at once.
	flowShare = 0.93
	// fixedPart is the part of each limit that the data centres own, evenly and
	// without asking anyone; the rest is leased to where it is asked for.
	fixedPart = 0.45
	// fixedLeast is the least number of tokens that a data centre's bucket has to
	// hold. A limit that is too small for that is leased whole.
	fixedLeast = 2
)

// flow is a bound as a token bucket: tokens per second and at most.
type flow struct {
	rate, most float64
	// fixed is the part of it that each data centre owns.
	fixed float64
	// centres is the number of data centres.
	centres int
}

// flow returns the bucket whose tokens keep the bound in any span, whoever
// spends them.
func (w Window) flow(l Limit) flow {
	bound := ((l.rate*w.length.Seconds()+l.burst)*(1+w.over) + w.slack) * windowUse
	f := flow{rate: math.Min(l.rate*rateOver, bound*flowShare/w.length.Seconds()), centres: l.centres}
	f.most = bound - f.rate*w.length.Seconds()
	switch {
	case l.centres == 1:
		f.fixed = 1
	case l.centres > 1 && f.most*fixedPart/float64(l.centres) >= fixedLeast:
		f.fixed = fixedPart / float64(l.centres)
	}
	return f
}

// shared is the part that no data centre owns.
func (f flow) shared() float64 { return math.Max(0, 1-f.fixed*float64(f.centres)) }

// bucket holds tokens of a part of a flow.
type bucket struct {
	tokens float64
	last   time.Time
	// queue is how many askers were sent away and are expected again; it drains
	// as tokens come in, so that they come back one a token.
	queue float64
}

// fill adds the tokens since the last call, at a part of a flow.
func (b *bucket) fill(now time.Time, f flow, part float64) {
	if b.last.IsZero() {
		b.last = now
	}
	gained := math.Max(0, now.Sub(b.last).Seconds()) * f.rate * part
	b.tokens = math.Min(f.most*part, b.tokens+gained)
	b.queue = math.Max(0, b.queue-gained)
	if now.After(b.last) {
		b.last = now
	}
}

// take takes up to n tokens, of those beyond the first at most half of what
// there is.
func (b *bucket) take(n int) int {
	if b.tokens < 1 {
		return 0
	}
	n = min(n, 1+int((b.tokens-1)/2))
	b.tokens -= float64(n)
	return n
}

// again returns when an asker that is sent away may find a token.
func (b *bucket) again(f flow, part float64) time.Duration {
	gain := f.rate * part
	if gain <= 0 {
		return againMost
	}
	again := seconds((1 - b.tokens + b.queue) / gain)
	b.queue++
	return min(again, againMost)
}

func decay(v float64, age, halfLife time.Duration) float64 {
	return v * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
