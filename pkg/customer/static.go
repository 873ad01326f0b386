package customer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lycheehead/lycheehead/pkg/platform"
)

// StaticLimiter is the baseline that the distributed limit is compared with: it
// gives each daemon an equal share of each customer's rate and burst. It is safe for
// concurrent use. Use NewStaticLimiter to create one.
type StaticLimiter struct {
	limiters sync.Map
}

// limiterKey identifies the limit of a customer in one version.
type limiterKey struct {
	version  uint64
	customer string
}

// NewStaticLimiter returns a static limiter without state.
func NewStaticLimiter() *StaticLimiter { return &StaticLimiter{} }

// Allow takes a token from this daemon's share and reports whether there was one. The
// number of daemons is that of the backend servers in cfg, of which there must be at
// least one.
func (s *StaticLimiter) Allow(now time.Time, cfg *platform.Config, c platform.Customer) bool {
	daemons := float64(len(cfg.Backends()))
	key := limiterKey{version: cfg.Number(), customer: c.Name()}
	burst := max(1, int(float64(c.Burst())/daemons))
	l, _ := s.limiters.LoadOrStore(key, rate.NewLimiter(rate.Limit(c.Rate()/daemons), burst))
	return l.(*rate.Limiter).AllowN(now, 1)
}
