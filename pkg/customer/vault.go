package customer

import (
	"math"
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
	queue float64
	// next is what the latest version grants, in force once awaiting is empty.
	next     Purse
	validity time.Duration
	// awaiting maps the slots that lose to the version that they must reach.
	awaiting map[string]uint64
}

// Vault holds the purses that this daemon keeps. Make one with NewVault.
type Vault struct {
	self string

	// mu, of rank lock.Purses, guards what follows.
	mu     *lock.Mutex
	purses map[purseID]*held
	splits map[string]Split
	number uint64
}

// NewVault returns the vault of the slot named self. It is empty: a daemon
// that starts has no tokens to lend and gains them at its purses' rates.
func NewVault(self string) *Vault {
	return &Vault{
		self:   self,
		mu:     lock.New(lock.Purses),
		purses: make(map[purseID]*held),
		splits: make(map[string]Split),
	}
}

// Adopt takes over the limits of a version. It returns the slots whose word is
// awaited before raised purses count.
func (v *Vault) Adopt(now time.Time, cfg *platform.Config) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := v.number == 0
	v.number = cfg.Number()
	kept := make(map[purseID]bool)
	splits := make(map[string]Split, len(cfg.Customers()))
	for _, c := range cfg.Customers() {
		split := SplitLimit(cfg, c)
		losers := v.losers(cfg, c.Name(), split, first)
		splits[c.Name()] = split
		for _, p := range split.purses {
			if p.holder == v.self {
				id := purseID{customer: c.Name(), index: p.index}
				kept[id] = true
				v.change(now, id, p, split.validity, losers)
			}
		}
	}
	for id := range v.purses {
		if !kept[id] {
			delete(v.purses, id)
		}
	}
	v.splits = splits
	return v.awaited()
}

// losers returns the slots that hold less of a customer's limit in a new split
// than in the one before.
func (v *Vault) losers(cfg *platform.Config, customer string, next Split, first bool) map[string]uint64 {
	losers := make(map[string]uint64)
	if first {
		return losers
	}
	after := make(map[string]Purse, len(next.purses))
	for _, p := range next.purses {
		after[p.holder] = p
	}
	for _, p := range v.splits[customer].purses {
		if centre, ok := cfg.Centre(p.centre); !ok || centre.Lost() {
			continue
		}
		q := after[p.holder]
		if p.holder != v.self && (q.rate < p.rate || q.burst < p.burst) {
			losers[p.holder] = v.number
		}
	}
	return losers
}

// change moves a purse to its share in a new version: a lower share counts at
// once, a higher one after all losers have been heard.
func (v *Vault) change(now time.Time, id purseID, p Purse, validity time.Duration, losers map[string]uint64) {
	h, ok := v.purses[id]
	if !ok {
		h = &held{at: now, awaiting: make(map[string]uint64)}
		v.purses[id] = h
		if len(losers) == 0 {
			h.rate, h.burst = p.rate, p.burst
		}
	}
	h.fill(now)
	h.next = p
	h.validity = validity
	for name, number := range losers {
		h.awaiting[name] = number
	}
	h.rate = math.Min(h.rate, p.rate)
	h.burst = math.Min(h.burst, p.burst)
	h.settle()
}

// settle puts the latest share in force once nobody is awaited.
func (h *held) settle() {
	if len(h.awaiting) == 0 {
		h.rate = h.next.rate
		h.burst = h.next.burst
	}
	h.level = math.Min(h.level, h.burst)
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

// Heard notes that a slot's daemon runs a version.
func (v *Vault) Heard(now time.Time, name string, number uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range v.purses {
		need, awaited := h.awaiting[name]
		if !awaited || number < need {
			continue
		}
		h.fill(now)
		delete(h.awaiting, name)
		h.settle()
	}
}

// Awaited returns the slots whose word raised purses wait for.
func (v *Vault) Awaited() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.awaited()
}

func (v *Vault) awaited() []string {
	seen := make(map[string]bool)
	var names []string
	for _, h := range v.purses {
		for name := range h.awaiting {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
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
