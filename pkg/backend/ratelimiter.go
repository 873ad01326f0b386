package backend

import (
	"math"
	"time"
)

const (
	// paceShare and burstShare are the parts that are used of what a fleet's bound
	// allows beyond a cold backend server's stated rate: requests may arrive in
	// another second than they were sent.
	paceShare  = 0.8
	burstShare = 0.7
	// leastBurst is the least number of requests that may come at once.
	leastBurst = 1.0
)

// RateLimiter bounds the rate of requests to a backend server while it is cold. The
// zero value allows the stated rate and no more.
type RateLimiter struct {
	// over is the factor by which the rate may be exceeded, and burst how many
	// requests may come at once.
	over, burst float64
	rate        float64
	until       time.Time
	tokens      float64
	last        time.Time
}

// NewRateLimiter returns a pace for a fleet's bound: in one second a cold backend server
// gets at most its stated rate times over, and slack more.
func NewRateLimiter(over, slack float64) RateLimiter {
	return RateLimiter{over: math.Max(0, over-1) * paceShare, burst: math.Max(leastBurst, slack*burstShare)}
}

// SetCold makes the backend server count as cold until an instant, at a rate in
// requests per second. A rate of zero bounds nothing.
func (p *RateLimiter) SetCold(now, until time.Time, rate float64) {
	if !p.Cold(now) {
		p.tokens, p.last = p.most(), now
	}
	p.rate = rate
	p.until = until
}

func (p *RateLimiter) most() float64 { return math.Max(leastBurst, p.burst) }

// gain is the requests per second that are let through.
func (p *RateLimiter) gain() float64 { return p.rate * (1 + p.over) }

// Cold says whether the rate is bounded.
func (p *RateLimiter) Cold(now time.Time) bool { return p.rate > 0 && now.Before(p.until) }

// Take takes a place for a request, or returns how long to wait for one.
func (p *RateLimiter) Take(now time.Time) (wait time.Duration, ok bool) {
	if !p.Cold(now) {
		return 0, true
	}
	p.tokens = min(p.most(), p.tokens+now.Sub(p.last).Seconds()*p.gain())
	p.last = now
	if p.tokens < 1 {
		wait := time.Duration((1 - p.tokens) / p.gain() * float64(time.Second))
		return min(wait, p.until.Sub(now)), false
	}
	p.tokens--
	return 0, true
}

// Interval returns the time between two requests while cold, zero otherwise.
func (p *RateLimiter) Interval(now time.Time) time.Duration {
	if !p.Cold(now) {
		return 0
	}
	return time.Duration(float64(time.Second) / p.gain())
}
