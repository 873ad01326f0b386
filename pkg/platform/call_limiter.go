package platform

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// burst is how many calls a daemon may make at once.
const burst = 4

// CallLimiter keeps the whole fleet's calls on the platform inside a share that
// nobody counts centrally: half of the share is split over all daemons, the
// other half over the daemons that read for their data centre. It also delays
// a daemon's first call by a random time, so that a herd of starting daemons
// spreads over the time that the share needs for it.
type CallLimiter struct {
	member *rate.Limiter
	reader *rate.Limiter
	spread time.Duration
}

// NewCallLimiter splits a share of calls per second over a fleet of daemons and
// the readers among them.
func NewCallLimiter(share float64, fleet, readers int) *CallLimiter {
	half := share / 2
	return &CallLimiter{
		member: rate.NewLimiter(rate.Limit(half/float64(max(fleet, 1))), 1),
		reader: rate.NewLimiter(rate.Limit(half/float64(max(readers, 1))), burst),
		spread: time.Duration(float64(fleet) / half * float64(time.Second)),
	}
}

// StartupDelay returns how long to wait before the first call after a start.
func (a *CallLimiter) StartupDelay(rnd *rand.Rand) time.Duration {
	if a.spread <= 0 {
		return 0
	}
	return time.Duration(rnd.Int64N(int64(a.spread)))
}

// ReserveMember returns how long to wait before a call that any daemon may make.
func (a *CallLimiter) ReserveMember(now time.Time) time.Duration {
	return a.member.ReserveN(now, 1).DelayFrom(now)
}

// ReserveReader returns how long to wait before a call that only readers make.
func (a *CallLimiter) ReserveReader(now time.Time) time.Duration {
	return a.reader.ReserveN(now, 1).DelayFrom(now)
}
