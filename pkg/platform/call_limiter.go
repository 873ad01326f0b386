package platform

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// readerBurst is the number of calls that a reader may make at once.
const readerBurst = 4

// CallLimiter keeps the total rate of the fleet's calls to the platform within
// a share, without central accounting: half of the share is divided among all
// daemons, the other half among the readers, the daemons that read on behalf of
// their data centre. A random delay before a daemon's first call spreads the
// calls of daemons that start together over the time that the share allows for. It
// is safe for concurrent use. Use NewCallLimiter to create one.
type CallLimiter struct {
	member          *rate.Limiter
	reader          *rate.Limiter
	maxStartupDelay time.Duration
}

// NewCallLimiter returns the limiter of one daemon. share is the rate for the whole
// fleet in calls per second, which must be above 0, fleet the number of daemons, and
// readers the number of readers among them.
func NewCallLimiter(share float64, fleet, readers int) *CallLimiter {
	half := share / 2
	return &CallLimiter{
		member:          rate.NewLimiter(rate.Limit(half/float64(max(fleet, 1))), 1),
		reader:          rate.NewLimiter(rate.Limit(half/float64(max(readers, 1))), readerBurst),
		maxStartupDelay: time.Duration(float64(fleet) / half * float64(time.Second)),
	}
}

// StartupDelay returns a random delay to wait before the first call after a
// start. It is shorter than the time that the whole fleet needs for one call each.
// rnd must not be shared between goroutines.
func (l *CallLimiter) StartupDelay(rnd *rand.Rand) time.Duration {
	if l.maxStartupDelay <= 0 {
		return 0
	}
	return time.Duration(rnd.Int64N(int64(l.maxStartupDelay)))
}

// ReserveMember reserves a call that any daemon may make and returns how long
// to wait before making it. The reservation cannot be returned.
func (l *CallLimiter) ReserveMember(now time.Time) time.Duration {
	return l.member.ReserveN(now, 1).DelayFrom(now)
}

// ReserveReader reserves a call that only readers make and returns how long to
// wait before making it. The reservation cannot be returned.
func (l *CallLimiter) ReserveReader(now time.Time) time.Duration {
	return l.reader.ReserveN(now, 1).DelayFrom(now)
}
