package customer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lycheehead/lycheehead/pkg/platform"
)

// StaticLimiter is the naive limit that the product is measured against: every daemon
// has an equal share of each customer's rate and burst. Make one with
// NewStatic.
type StaticLimiter struct {
	limiters sync.Map
}

// staticKey tells apart the limits of different versions.
type staticKey struct {
	number   uint64
	customer string
}

// NewStaticLimiter returns the naive limit.
func NewStaticLimiter() *StaticLimiter { return &StaticLimiter{} }

// Allow spends one of the daemon's own share, if there is one.
func (s *StaticLimiter) Allow(now time.Time, cfg *platform.Config, c platform.Customer) bool {
	daemons := float64(len(cfg.Backends()))
	key := staticKey{number: cfg.Number(), customer: c.Name()}
	burst := max(1, int(float64(c.Burst())/daemons))
	l, _ := s.limiters.LoadOrStore(key, rate.NewLimiter(rate.Limit(c.Rate()/daemons), burst))
	return l.(*rate.Limiter).AllowN(now, 1)
}
