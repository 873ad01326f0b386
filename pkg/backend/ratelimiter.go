package backend

import (
	"math"
	"time"
)

const (
	// excessShare and burstShare are the fractions that are used of the excess rate
	// and the slack that a fleet's bound allows. The margin is needed because a request
	// may arrive in a different second from the one in which it was sent.
	excessShare = 0.8
	burstShare  = 0.7
	// sustainedShare is the fraction of the usable slack that raises the rate; the rest is the
	// burst. The bound holds for each second, so that it admits both together in any second, while
	// a server that is cold for seconds gains from a burst only once.
	sustainedShare = 0.5
	// minBurst is the minimum bucket size in requests.
	minBurst = 1.0
)

// RateLimiter is a token bucket that limits the rate of requests to a backend
// server while it is cold. The zero value allows the backend server's stated rate
// and no excess. A RateLimiter is not safe for concurrent use.
//
// The load pattern is a loss of power, after which all servers of a service return cold at
// once: for three seconds they may be sent a third of what callers ask for.
type RateLimiter struct {
	// excess is the fraction by which the stated rate may be exceeded, extra the number of
	// requests per second beyond that, and burst the number of requests that may be sent at once.
	excess, extra, burst float64
	// rate is the stated rate in requests per second.
	rate      float64
	coldUntil time.Time
	tokens    float64
	refilled  time.Time
}

// NewRateLimiter returns a limiter for a fleet's bound: in any second, a cold
// backend server receives at most its stated rate multiplied by over, plus slack
// requests. An over of less than 1 has the effect of 1.
func NewRateLimiter(over, slack float64) RateLimiter {
	usable := slack * burstShare
	burst := math.Max(minBurst, usable*(1-sustainedShare))
	return RateLimiter{excess: math.Max(0, over-1) * excessShare, extra: math.Max(0, usable-burst), burst: burst}
}

// SetCold marks the backend server as cold until the given time, with a stated
// rate in requests per second. A rate of zero disables the limit. If the backend
// server was not cold before, the bucket starts full.
func (l *RateLimiter) SetCold(now, until time.Time, rate float64) {
	if !l.Cold(now) {
		l.tokens, l.refilled = l.bucketSize(), now
	}
	l.rate = rate
	l.coldUntil = until
}

func (l *RateLimiter) bucketSize() float64 { return math.Max(minBurst, l.burst) }

// refillRate returns the number of requests admitted per second.
func (l *RateLimiter) refillRate() float64 { return l.rate*(1+l.excess) + l.extra }

// Cold reports whether the rate is limited.
func (l *RateLimiter) Cold(now time.Time) bool { return l.rate > 0 && now.Before(l.coldUntil) }

// Take takes a token for one request and returns true. If there is none, it returns
// false and the time until there is one.
func (l *RateLimiter) Take(now time.Time) (wait time.Duration, ok bool) {
	if !l.Cold(now) {
		return 0, true
	}
	l.tokens = min(l.bucketSize(), l.tokens+now.Sub(l.refilled).Seconds()*l.refillRate())
	l.refilled = now
	if l.tokens < 1 {
		wait := time.Duration((1 - l.tokens) / l.refillRate() * float64(time.Second))
		return min(wait, l.coldUntil.Sub(now)), false
	}
	l.tokens--
	return 0, true
}

// Interval returns the mean time between two requests at the limit while the
// backend server is cold, and zero otherwise.
func (l *RateLimiter) Interval(now time.Time) time.Duration {
	if !l.Cold(now) {
		return 0
	}
	return time.Duration(float64(time.Second) / l.refillRate())
}
