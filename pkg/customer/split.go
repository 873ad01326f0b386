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
	// allotmentsPerCentre is how many slots of a data centre keep an allotment of one
	// customer, so that one restart leaves the others.
	allotmentsPerCentre = 2
	// burstShare is the part of the burst that allotments issue; the rest covers
	// tokens spent late.
	burstShare = 0.75
	// validityMost bounds how long a token may be held.
	validityMost = time.Second
	// rateCost is the part of the rate that a burst of one gives up for the
	// time that a token may be held.
	rateCost = 0.1
	// smallBurst is the least burst of which burstShare is a whole token.
	smallBurst = 2
)

// Allotment is one token bucket of a split limit.
type Allotment struct {
	index  int
	holder string
	centre string
	rate   float64
	burst  float64
}

// Index returns the allotment's number within its customer's split.
func (p Allotment) Index() int { return p.index }

// Holder returns the slot whose daemon keeps the allotment.
func (p Allotment) Holder() string { return p.holder }

// Centre returns the data centre of the holder.
func (p Allotment) Centre() string { return p.centre }

// Rate returns the tokens per second that the allotment gains.
func (p Allotment) Rate() float64 { return p.rate }

// Burst returns the most tokens that the allotment holds.
func (p Allotment) Burst() float64 { return p.burst }

// Split is a customer's limit over its allotments.
type Split struct {
	allotments []Allotment
	validity   time.Duration
}

// Allotments returns the allotments by index. The slice is not to be changed.
func (s Split) Allotments() []Allotment { return s.allotments }

// Validity returns how long a token may be held after it was asked for.
func (s Split) Validity() time.Duration { return s.validity }

func (s Split) equal(t Split) bool {
	return s.validity == t.validity && slices.Equal(s.allotments, t.allotments)
}

// SplitLimit splits the limit of c over the slots of the bundle, two to each
// data centre, fewer where the burst is too small to give each a whole token.
// Slots out of service keep their allotments, since others may borrow from them;
// only those of data centres that operators vouch to be lost do not.
func SplitLimit(cfg *platform.Config, c platform.Customer) Split {
	rate, burst, validity := issue(c.Rate(), float64(c.Burst()))
	holders := holdersOf(cfg, c.Name(), int(burst))
	n := float64(len(holders))
	s := Split{validity: validity}
	for i, h := range holders {
		s.allotments = append(s.allotments, Allotment{
			index:  i,
			holder: h.slot,
			centre: h.centre,
			rate:   rate / n,
			burst:  burst / n,
		})
	}
	return s
}

// issue returns the rate, burst and validity at which tokens are issued, so
// that spending them late stays within rate and burst.
func issue(rate, burst float64) (float64, float64, time.Duration) {
	if burst < smallBurst {
		held := math.Min(rateCost/rate, validityMost.Seconds())
		return rate / (1 + rate*held), 1, seconds(held)
	}
	held := math.Min((1-burstShare)*burst/rate, validityMost.Seconds())
	return rate, burst - rate*held, seconds(held)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// holdersOf ranks the data centres for a customer and takes from each its
// first slots, one round after the other, so that few allotments still spread.
func holdersOf(cfg *platform.Config, customer string, most int) []holder {
	centres := peer.Rank(customer, cfg.TopologyCentres())
	first := make([][]string, len(centres))
	for i, name := range centres {
		first[i] = peer.Top(customer, cfg.TopologyBackends(name), allotmentsPerCentre)
	}
	var holders []holder
	for round := range allotmentsPerCentre {
		for i, centre := range centres {
			if round < len(first[i]) && len(holders) < most {
				holders = append(holders, holder{slot: first[i][round], centre: centre})
			}
		}
	}
	return holders
}

// holder is a slot that keeps an allotment.
type holder struct {
	slot, centre string
}

// planKey names what a split follows from, but for the slots.
type planKey struct {
	customer string
	rate     float64
	burst    int
}

// plan is a split and the version that it was last asked for with.
type plan struct {
	split  Split
	slots  platform.Digest
	number uint64
}

// SplitCache works out splits and keeps them while the slots and the customer's
// limit stay the same, since a version seldom changes either. Make one with
// NewPlanner.
type SplitCache struct {
	plans *table.Table[planKey, plan]
}

// NewSplitCache returns a planner that has kept nothing yet.
func NewSplitCache() *SplitCache {
	return &SplitCache{plans: table.New[planKey, plan](lock.Plans)}
}

// Split returns SplitLimit of a customer.
func (p *SplitCache) Split(cfg *platform.Config, c platform.Customer) Split {
	key := planKey{customer: c.Name(), rate: c.Rate(), burst: c.Burst()}
	var s Split
	p.plans.Update(key, func(old plan, ok bool) (plan, bool) {
		if !ok || old.slots != cfg.TopologyDigest() {
			old = plan{split: SplitLimit(cfg, c), slots: cfg.TopologyDigest()}
		}
		old.number = max(old.number, cfg.Number())
		s = old.split
		return old, true
	})
	return s
}

// Sweep forgets the splits that no version since a number has asked for.
func (p *SplitCache) Sweep(number uint64) {
	p.plans.Sweep(func(_ planKey, v plan) bool { return v.number >= number })
}
