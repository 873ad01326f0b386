package customer

import (
	"math"
	"time"
)

// RateBound is the bound enforced for each customer across the fleet: in any time
// window of a given length, at most the requests that the customer's limit allows,
// plus a tolerance. All daemons of a fleet must use the same bound.
type RateBound struct {
	length            time.Duration
	relativeTolerance float64
	absoluteTolerance float64
}

// NewRateBound returns a bound for windows of a length, which must be above zero. The
// number of requests in a window may exceed that of the limit, its rate times the
// length plus its burst, by the fraction relativeTolerance of it plus
// absoluteTolerance requests.
func NewRateBound(length time.Duration, relativeTolerance, absoluteTolerance float64) RateBound {
	return RateBound{length: length, relativeTolerance: relativeTolerance, absoluteTolerance: absoluteTolerance}
}

// Unlimited reports whether the bound has no window, so that limits are not enforced.
func (r RateBound) Unlimited() bool { return r.length <= 0 }

// Room returns for how many tokens the largest part of a limit has room, be it the bucket of a data
// centre or the reserve: least while all of the limit that may be leased is leased, and most while
// nothing is. A part with room for less than one token lends none.
func (r RateBound) Room(l Limit) (least, most float64) {
	p := r.bucketParams(l)
	return p.size * max(p.owned, p.shared()*reserveFraction), p.size * max(p.owned, p.shared())
}

const (
	// usableFraction is the fraction of the bound that is issued as tokens. The rest
	// covers requests that arrive later than they were admitted, and the time in which
	// two daemons may both lend the tokens that a data centre owns.
	usableFraction = 0.92
	// minRateFactor and maxRateFactor bound the ratio of the rate at which tokens are
	// issued to the limit's rate. Requests arrive in bursts, and leases follow the demand
	// with a delay.
	minRateFactor = 1.1
	maxRateFactor = 2
	// sharedRateFactor is that ratio for limits of which no data centre owns a part.
	sharedRateFactor = 1.4
	// sustainedFraction is the largest fraction of a window's bound that is issued
	// at a steady rate; the rest is the bucket's size.
	sustainedFraction = 0.93
	// ownedFraction is the fraction of each limit that is divided evenly among the
	// data centres and used without coordination; the rest is shared. It may be up to
	// maxOwnedFraction if each data centre needs that for minOwnedTokens.
	ownedFraction    = 0.55
	maxOwnedFraction = 0.8
	// ownedTokens is the size of a data centre's bucket below which the rate is reduced
	// in favour of the size.
	ownedTokens = 2.5
	// minOwnedTokens is the least size of a data centre's bucket, in which a token needs
	// room to accrue. Limits too small for it are shared as a whole.
	minOwnedTokens = 1.25
)

// bucketParams describes a bound as a token bucket.
type bucketParams struct {
	// rate is in tokens per second, size in tokens.
	rate, size float64
	// owned is the fraction of the bucket that each data centre owns.
	owned float64
	// centres is the number of data centres.
	centres int
}

// bucketParams returns the token bucket that keeps the bound in any window,
// regardless of which daemons spend the tokens.
func (r RateBound) bucketParams(l Limit) bucketParams {
	bound := ((l.rate*r.length.Seconds()+l.burst)*(1+r.relativeTolerance) + r.absoluteTolerance) * usableFraction
	centres := float64(l.centres)
	size := ownedTokens * centres / ownedFraction
	rate := min((bound-size)/r.length.Seconds(), l.rate*maxRateFactor)
	p := r.splitBound(bound, max(rate, l.rate*minRateFactor), l.centres)
	switch {
	case l.centres == 1:
		p.owned = 1
	case l.centres > 1 && p.size*maxOwnedFraction >= minOwnedTokens*centres:
		p.owned = max(ownedFraction/centres, minOwnedTokens/p.size)
	default:
		p = r.splitBound(bound, l.rate*sharedRateFactor, l.centres)
	}
	return p
}

// splitBound splits the bound of a window between a steady rate, at most the given one,
// and the size of the bucket, of which no data centre owns a part.
func (r RateBound) splitBound(bound, rate float64, centres int) bucketParams {
	rate = min(rate, bound*sustainedFraction/r.length.Seconds())
	return bucketParams{rate: rate, size: bound - rate*r.length.Seconds(), centres: centres}
}

// shared returns the fraction of the bucket that no data centre owns.
func (p bucketParams) shared() float64 { return math.Max(0, 1-p.owned*float64(p.centres)) }

// bucket is a token bucket for a fraction of a limit.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	// expectedRetries is the number of rejected borrowers that are expected to
	// retry. It decreases as tokens accrue, so that the retries are spaced one token
	// apart.
	expectedRetries float64
}

// refill adds the tokens accrued since the last call for a fraction of p.
func (b *bucket) refill(now time.Time, p bucketParams, fraction float64) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	gained := math.Max(0, now.Sub(b.updatedAt).Seconds()) * p.rate * fraction
	b.tokens = math.Min(p.size*fraction, b.tokens+gained)
	b.expectedRetries = math.Max(0, b.expectedRetries-gained)
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// take takes one token and up to n-1 more, the latter from at most half of those
// that remain.
func (b *bucket) take(n int) int {
	if b.tokens < 1 {
		return 0
	}
	n = min(n, 1+int((b.tokens-1)/2))
	b.tokens -= float64(n)
	return n
}

// retryAfter returns the time after which a rejected borrower may find a token.
func (b *bucket) retryAfter(p bucketParams, fraction float64) time.Duration {
	rate := p.rate * fraction
	if rate <= 0 {
		return maxRetryAfter
	}
	retryAfter := seconds((1 - b.tokens + b.expectedRetries) / rate)
	b.expectedRetries++
	return min(retryAfter, maxRetryAfter)
}

func decay(v float64, age, halfLife time.Duration) float64 {
	return v * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
