package customer

import (
	"math"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

const (
	// pursesPerCentre is how many slots of a data centre keep a purse of one
	// customer, so that one restart leaves the others.
	pursesPerCentre = 2
	// burstShare is the part of the burst that purses issue; the rest covers
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

// Purse is one token bucket of a split limit.
type Purse struct {
	index  int
	holder string
	centre string
	rate   float64
	burst  float64
}

// Index returns the purse's number within its customer's split.
func (p Purse) Index() int { return p.index }

// Holder returns the slot whose daemon keeps the purse.
func (p Purse) Holder() string { return p.holder }

// Centre returns the data centre of the holder.
func (p Purse) Centre() string { return p.centre }

// Rate returns the tokens per second that the purse gains.
func (p Purse) Rate() float64 { return p.rate }

// Burst returns the most tokens that the purse holds.
func (p Purse) Burst() float64 { return p.burst }

// Split is a customer's limit over its purses.
type Split struct {
	purses   []Purse
	validity time.Duration
}

// Purses returns the purses by index. The slice is not to be changed.
func (s Split) Purses() []Purse { return s.purses }

// Validity returns how long a token may be held after it was asked for.
func (s Split) Validity() time.Duration { return s.validity }

func (s Split) equal(t Split) bool {
	return s.validity == t.validity && slices.Equal(s.purses, t.purses)
}

// SplitLimit splits the limit of c over the slots of the bundle, two to each
// data centre, fewer where the burst is too small to give each a whole token.
// Slots out of service keep their purses, since others may borrow from them;
// only those of data centres that operators vouch to be lost do not.
func SplitLimit(cfg *platform.Config, c platform.Customer) Split {
	rate, burst, validity := issue(c.Rate(), float64(c.Burst()))
	holders := holdersOf(cfg, c.Name(), int(burst))
	n := float64(len(holders))
	s := Split{validity: validity}
	for i, b := range holders {
		s.purses = append(s.purses, Purse{
			index:  i,
			holder: b.Name(),
			centre: b.Centre(),
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
// first slots, one round after the other, so that few purses still spread.
func holdersOf(cfg *platform.Config, customer string, most int) []platform.Backend {
	slots := make(map[string][]string)
	for _, b := range cfg.Backends() {
		if c, _ := cfg.Centre(b.Centre()); !c.Lost() {
			slots[b.Centre()] = append(slots[b.Centre()], b.Name())
		}
	}
	centres := make([]string, 0, len(slots))
	for name := range slots {
		centres = append(centres, name)
		slots[name] = peer.Top(customer, slots[name], pursesPerCentre)
	}
	centres = peer.Rank(customer, centres)
	var holders []platform.Backend
	for round := range pursesPerCentre {
		for _, name := range centres {
			if round < len(slots[name]) && len(holders) < most {
				b, _ := cfg.Backend(slots[name][round])
				holders = append(holders, b)
			}
		}
	}
	return holders
}
