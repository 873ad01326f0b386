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

// Again returns when asking again may help, from the answer.
func (g Grant) Again() time.Duration { return g.again }

// unknownAgain is when to ask a daemon again that does not keep the purse.
const unknownAgain = 200 * time.Millisecond

// againMost bounds how long an asker is sent away.
const againMost = 2 * time.Second

// purseID names a purse over all customers.
type purseID struct {
	customer string
	index    int
}

// held is a purse that this daemon keeps.
type held struct {
	// level is the tokens at the instant at; rate and burst are in force.
	level       float64
	at          time.Time
	rate, burst float64
	// queue is how many askers were sent away and are expected again; it
	// drains at the purse's rate, so that they come back one a token.
	queue    float64
	share    Purse
	validity time.Duration
}

// Vault holds the purses that this daemon keeps. Make one with NewVault.
type Vault struct {
	self    string
	planner *Planner

	// mu, of rank lock.Purses, guards what follows.
	mu     *lock.Mutex
	purses map[purseID]*held
	splits map[string]Split
	moves  map[string]*move
	number uint64
}

// NewVault returns the vault of the slot named self. It is empty: a daemon
// that starts has no tokens to lend and gains them at its purses' rates.
func NewVault(self string, p *Planner) *Vault {
	return &Vault{
		self:    self,
		planner: p,
		mu:      lock.New(lock.Purses),
		purses:  make(map[purseID]*held),
		splits:  make(map[string]Split),
		moves:   make(map[string]*move),
	}
}

// Adopt takes over the limits of a version.
func (v *Vault) Adopt(now time.Time, cfg *platform.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := v.number == 0
	v.number = cfg.Number()
	kept := make(map[purseID]bool)
	splits := make(map[string]Split, len(cfg.Customers()))
	for _, c := range cfg.Customers() {
		split := v.planner.Split(cfg, c)
		splits[c.Name()] = split
		if old, known := v.splits[c.Name()]; !first && known {
			v.follow(cfg, c.Name(), old, split)
		}
		for _, p := range split.purses {
			if p.holder == v.self {
				id := purseID{customer: c.Name(), index: p.index}
				kept[id] = true
				v.change(now, id, p, split.validity)
			}
		}
	}
	for id := range v.purses {
		if !kept[id] {
			delete(v.purses, id)
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
func (v *Vault) follow(cfg *platform.Config, customer string, old, next Split) {
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

// change gives a purse its share in a new version. Until a move is over the
// purse keeps to the lowest share since before the move.
func (v *Vault) change(now time.Time, id purseID, p Purse, validity time.Duration) {
	h, ok := v.purses[id]
	if !ok {
		h = &held{at: now}
		v.purses[id] = h
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

// settle ends the moves that are over and gives their purses the whole share.
func (v *Vault) settle(now time.Time) {
	done := v.cleared()
	for customer, m := range v.moves {
		if !m.over(done) {
			continue
		}
		delete(v.moves, customer)
		for id, h := range v.purses {
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

// Heard notes that a slot's daemon runs a version, and whether it is
// clear.
func (v *Vault) Heard(now time.Time, name string, number uint64, done bool) {
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

// Gone notes that the platform vouches that a slot has no process any more.
func (v *Vault) Gone(now time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range v.moves {
		m.gone(name)
	}
	v.settle(now)
}

// Clear says whether all slots that this daemon knows to have had a share in a
// limit that moves have been heard to follow.
func (v *Vault) Clear() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cleared()
}

func (v *Vault) cleared() bool {
	for _, m := range v.moves {
		if len(m.known) > 0 {
			return false
		}
	}
	return true
}

// Awaited returns the slots whose word moves wait for, by name.
func (v *Vault) Awaited() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := make(map[string]bool)
	for _, m := range v.moves {
		maps.Copy(names, m.known)
		maps.Copy(names, m.holders)
	}
	return slices.Sorted(maps.Keys(names))
}

// Lend takes up to count whole tokens from a purse.
func (v *Vault) Lend(now time.Time, customer string, index, count int) Grant {
	v.mu.Lock()
	defer v.mu.Unlock()
	h, ok := v.purses[purseID{customer: customer, index: index}]
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

// Held returns how many purses of a customer this daemon keeps.
func (v *Vault) Held(customer string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for id := range v.purses {
		if id.customer == customer {
			n++
		}
	}
	return n
}
