package customer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// Grant lends tokens.
type Grant struct {
	count    int
	validity time.Duration
	again    time.Duration
}

// NewGrant returns a grant of count tokens, valid for a time that counts from
// the asking; again is when asking again may help.
func NewGrant(count int, validity, again time.Duration) Grant {
	return Grant{count: count, validity: validity, again: again}
}

// Count returns how many tokens are lent.
func (g Grant) Count() int { return g.count }

// Validity returns how long they may be spent, from the asking.
func (g Grant) Validity() time.Duration { return g.validity }

// RetryAfter returns when asking again may help, from the answer.
func (g Grant) RetryAfter() time.Duration { return g.again }

// unknownAgain is when to ask a daemon again that does not keep the allotment.
const unknownAgain = 200 * time.Millisecond

// againMost bounds how long an asker is sent away.
const againMost = 2 * time.Second

// allotmentID names an allotment over all customers.
type allotmentID struct {
	customer string
	index    int
}

// held is an allotment that this daemon keeps.
type held struct {
	// level is the tokens at the instant at; rate and burst are in force.
	level       float64
	at          time.Time
	rate, burst float64
	// queue is how many askers were sent away and are expected again; it
	// drains at the allotment's rate, so that they come back one a token.
	queue    float64
	share    Allotment
	validity time.Duration
}

// Lender holds the allotments that this daemon keeps. Make one with NewLender.
type Lender struct {
	self    string
	planner *SplitCache

	// mu, of rank lock.Allotments, guards what follows.
	mu         *lock.Mutex
	allotments map[allotmentID]*held
	splits     map[string]Split
	moves      map[string]*move
	number     uint64
}

// NewLender returns the lender of the slot named self. It is empty: a daemon
// that starts has no tokens to lend and gains them at its allotments' rates.
func NewLender(self string, p *SplitCache) *Lender {
	return &Lender{
		self:       self,
		planner:    p,
		mu:         lock.New(lock.Allotments),
		allotments: make(map[allotmentID]*held),
		splits:     make(map[string]Split),
		moves:      make(map[string]*move),
	}
}

// Apply takes over the limits of a version.
func (v *Lender) Apply(now time.Time, cfg *platform.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := v.number == 0
	v.number = cfg.Number()
	kept := make(map[allotmentID]bool)
	splits := make(map[string]Split, len(cfg.Customers()))
	for _, c := range cfg.Customers() {
		split := v.planner.Split(cfg, c)
		splits[c.Name()] = split
		if old, known := v.splits[c.Name()]; !first && known {
			v.follow(cfg, c.Name(), old, split)
		}
		for _, p := range split.allotments {
			if p.holder == v.self {
				id := allotmentID{customer: c.Name(), index: p.index}
				kept[id] = true
				v.change(now, id, p, split.validity)
			}
		}
	}
	for id := range v.allotments {
		if !kept[id] {
			delete(v.allotments, id)
		}
	}
	for name := range v.moves {
		if _, ok := splits[name]; !ok {
			delete(v.moves, name)
		}
	}
	v.splits = splits
	v.settle(now)
}

// follow begins or goes on with the move of a customer's limit.
func (v *Lender) follow(cfg *platform.Config, customer string, old, next Split) {
	m, moving := v.moves[customer]
	if next.equal(old) {
		if moving {
			m.seen[v.number] = true
		}
		return
	}
	if !moving {
		m = &move{known: make(map[string]bool)}
		v.moves[customer] = m
	}
	m.restart(cfg, v.self, v.number, old, next)
}

// change gives an allotment its share in a new version. Until a move is over the
// allotment keeps to the lowest share since before the move.
func (v *Lender) change(now time.Time, id allotmentID, p Allotment, validity time.Duration) {
	h, ok := v.allotments[id]
	if !ok {
		h = &held{at: now}
		v.allotments[id] = h
		if _, moving := v.moves[id.customer]; !moving {
			h.rate, h.burst = p.rate, p.burst
		}
	}
	h.fill(now)
	h.share = p
	h.validity = validity
	h.rate = math.Min(h.rate, p.rate)
	h.burst = math.Min(h.burst, p.burst)
	h.level = math.Min(h.level, h.burst)
}

// settle ends the moves that are over and gives their allotments the whole share.
func (v *Lender) settle(now time.Time) {
	done := v.cleared()
	for customer, m := range v.moves {
		if !m.over(done) {
			continue
		}
		delete(v.moves, customer)
		for id, h := range v.allotments {
			if id.customer == customer {
				h.fill(now)
				h.rate, h.burst = h.share.rate, h.share.burst
			}
		}
	}
}

// fill adds the tokens gained up to now. An instant before the last one adds
// nothing.
func (h *held) fill(now time.Time) {
	if d := now.Sub(h.at); d > 0 {
		gained := h.rate * d.Seconds()
		h.level = math.Min(h.burst, h.level+gained)
		h.queue = math.Max(0, h.queue-gained)
		h.at = now
	}
}

// ObserveVersion notes that a slot's daemon runs a version, and whether it is
// clear.
func (v *Lender) ObserveVersion(now time.Time, name string, number uint64, done bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.moves) == 0 {
		return
	}
	for _, m := range v.moves {
		m.heard(name, number, done)
	}
	v.settle(now)
}

// ObserveStop notes that the platform vouches that a slot has no process any more.
func (v *Lender) ObserveStop(now time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range v.moves {
		m.gone(name)
	}
	v.settle(now)
}

// Acknowledged says whether all slots that this daemon knows to have had a share in a
// limit that moves have been heard to follow.
func (v *Lender) Acknowledged() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cleared()
}

func (v *Lender) cleared() bool {
	for _, m := range v.moves {
		if len(m.known) > 0 {
			return false
		}
	}
	return true
}

// PendingSlots returns the slots whose word moves wait for, by name.
func (v *Lender) PendingSlots() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := make(map[string]bool)
	for _, m := range v.moves {
		maps.Copy(names, m.known)
		maps.Copy(names, m.holders)
	}
	return slices.Sorted(maps.Keys(names))
}

// Lend takes up to count whole tokens from an allotment.
func (v *Lender) Lend(now time.Time, customer string, index, count int) Grant {
	v.mu.Lock()
	defer v.mu.Unlock()
	h, ok := v.allotments[allotmentID{customer: customer, index: index}]
	if !ok || h.rate <= 0 {
		return Grant{again: unknownAgain}
	}
	h.fill(now)
	n := min(count, int(h.level))
	if n <= 0 {
		again := seconds((1 - h.level + h.queue) / h.rate)
		h.queue++
		return Grant{again: min(again, againMost)}
	}
	h.level -= float64(n)
	return Grant{count: n, validity: h.validity}
}

// AllotmentCount returns how many allotments of a customer this daemon keeps.
func (v *Lender) AllotmentCount(customer string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for id := range v.allotments {
		if id.customer == customer {
			n++
		}
	}
	return n
}
