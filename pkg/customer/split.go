package customer

import (
	"math"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// allotmentsPerCentre is the number of daemons of a data centre that hold an
	// allotment of one customer. With more than one, a restart leaves the others
	// available.
	allotmentsPerCentre = 2
	// issuedBurstFraction is the fraction of the burst that allotments issue. The
	// rest covers tokens that are spent some time after their issue.
	issuedBurstFraction = 0.75
	// maxValidity bounds the validity period of tokens.
	maxValidity = time.Second
	// rateReduction bounds the validity period for a burst of one, as a fraction of
	// the interval between tokens. That period is added to the interval and so
	// lowers the rate.
	rateReduction = 0.1
	// minDivisibleBurst is the least integer burst of which issuedBurstFraction is at
	// least one token.
	minDivisibleBurst = 2
)

// Allotment is one token bucket of a split limit. Its holder is the daemon beside one
// backend server.
type Allotment struct {
	index  int
	holder string
	centre string
	rate   float64
	burst  float64
}

// Index returns the allotment's index in Split.Allotments.
func (a Allotment) Index() int { return a.index }

// Holder returns the name of the backend server whose daemon holds the allotment.
func (a Allotment) Holder() string { return a.holder }

// Centre returns the name of the holder's data centre.
func (a Allotment) Centre() string { return a.centre }

// Rate returns the rate at which the allotment accrues tokens, per second.
func (a Allotment) Rate() float64 { return a.rate }

// Burst returns the maximum number of tokens in the allotment. It is at least 1 and
// need not be an integer.
func (a Allotment) Burst() float64 { return a.burst }

// Split is the division of a customer's limit into allotments.
type Split struct {
	allotments []Allotment
	validity   time.Duration
}

// Allotments returns the allotments by index. The caller must not modify the slice.
func (s Split) Allotments() []Allotment { return s.allotments }

// Validity returns how long a token may be spent after it was requested.
func (s Split) Validity() time.Duration { return s.validity }

func (s Split) equal(t Split) bool {
	return s.validity == t.validity && slices.Equal(s.allotments, t.allotments)
}

// SplitLimit splits the limit of c over the daemons of the backend servers in cfg: two
// in each data centre, or fewer if the burst is too small to give each a whole token.
// Backend servers that are out of service are included, since other daemons may
// borrow from theirs. Those in data centres that operators have marked as lost are
// not.
func SplitLimit(cfg *platform.Config, c platform.Customer) Split {
	rate, burst, validity := issueLimits(c.Rate(), float64(c.Burst()))
	holders := selectHolders(cfg, c.Name(), int(burst))
	n := float64(len(holders))
	s := Split{validity: validity}
	for i, h := range holders {
		s.allotments = append(s.allotments, Allotment{
			index:  i,
			holder: h.backend,
			centre: h.centre,
			rate:   rate / n,
			burst:  burst / n,
		})
	}
	return s
}

// issueLimits returns the rate, burst and validity period with which tokens are
// issued, so that the rate and burst hold for the times at which they are spent.
func issueLimits(rate, burst float64) (float64, float64, time.Duration) {
	if burst < minDivisibleBurst {
		validity := math.Min(rateReduction/rate, maxValidity.Seconds())
		return rate / (1 + rate*validity), 1, seconds(validity)
	}
	validity := math.Min((1-issuedBurstFraction)*burst/rate, maxValidity.Seconds())
	return rate, burst - rate*validity, seconds(validity)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// selectHolders selects up to limit backend servers. It ranks the data centres for
// the customer and takes one backend server of each in turn, so that a small number
// of allotments is still spread over data centres.
func selectHolders(cfg *platform.Config, customer string, limit int) []holder {
	centres := peer.Rank(customer, cfg.TopologyCentres())
	candidates := make([][]string, len(centres))
	for i, name := range centres {
		candidates[i] = peer.Top(customer, cfg.TopologyBackends(name), allotmentsPerCentre)
	}
	var holders []holder
	for round := range allotmentsPerCentre {
		for i, centre := range centres {
			if round < len(candidates[i]) && len(holders) < limit {
				holders = append(holders, holder{backend: candidates[i][round], centre: centre})
			}
		}
	}
	return holders
}

// holder is a backend server whose daemon holds an allotment.
type holder struct {
	backend, centre string
}

// splitKey identifies the inputs of a split other than the backend servers.
type splitKey struct {
	customer string
	rate     float64
	burst    int
}

// cachedSplit is a split and the highest version that it was requested for.
type cachedSplit struct {
	split          Split
	topologyDigest platform.Digest
	version        uint64
}

// SplitCache computes splits and caches them for as long as the backend servers and
// the customer's limit stay the same, since few versions change either. It is safe
// for concurrent use. Use NewSplitCache to create one.
type SplitCache struct {
	splits *table.Table[splitKey, cachedSplit]
}

// NewSplitCache returns an empty cache.
func NewSplitCache() *SplitCache {
	return &SplitCache{splits: table.New[splitKey, cachedSplit](lock.Plans)}
}

// Split returns SplitLimit(cfg, c), from the cache where possible.
func (s *SplitCache) Split(cfg *platform.Config, c platform.Customer) Split {
	key := splitKey{customer: c.Name(), rate: c.Rate(), burst: c.Burst()}
	var split Split
	s.splits.Update(key, func(cached cachedSplit, ok bool) (cachedSplit, bool) {
		if !ok || cached.topologyDigest != cfg.TopologyDigest() {
			cached = cachedSplit{split: SplitLimit(cfg, c), topologyDigest: cfg.TopologyDigest()}
		}
		cached.version = max(cached.version, cfg.Number())
		split = cached.split
		return cached, true
	})
	return split
}

// Sweep removes the splits that were last requested for a version with a lower number.
func (s *SplitCache) Sweep(number uint64) {
	s.splits.Sweep(func(_ splitKey, cached cachedSplit) bool { return cached.version >= number })
}
