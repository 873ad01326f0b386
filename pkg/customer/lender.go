package customer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// Grant is the answer to a request for tokens. A grant without tokens states when
// to retry. The zero value has no tokens and allows a retry at once.
type Grant struct {
	count      int
	validity   time.Duration
	retryAfter time.Duration
}

// NewGrant returns a grant of count tokens that expire validity after they were
// requested. If count is 0, a retry may succeed after retryAfter.
func NewGrant(count int, validity, retryAfter time.Duration) Grant {
	return Grant{count: count, validity: validity, retryAfter: retryAfter}
}

// Count returns the number of granted tokens.
func (g Grant) Count() int { return g.count }

// Validity returns how long the tokens may be spent, counted from the time of the
// request for them.
func (g Grant) Validity() time.Duration { return g.validity }

// RetryAfter returns the time after which a retry may succeed, counted from the
// answer.
func (g Grant) RetryAfter() time.Duration { return g.retryAfter }

// unknownRetryAfter is the retry interval in the grant of a daemon that does not hold
// the requested allotment.
const unknownRetryAfter = 200 * time.Millisecond

// maxRetryAfter bounds the retry interval of grants without tokens.
const maxRetryAfter = 2 * time.Second

// allotmentID identifies an allotment among those of all customers.
type allotmentID struct {
	customer string
	index    int
}

// heldAllotment is the token bucket of an allotment that this daemon holds.
type heldAllotment struct {
	// level is the number of tokens at updatedAt; rate and burst are those in force.
	level       float64
	updatedAt   time.Time
	rate, burst float64
	// expectedRetries is the number of rejected borrowers that are expected to
	// retry. It decreases at the allotment's rate, so that the retries are spaced
	// one token apart.
	expectedRetries float64
	// target is the share in the newest split, in force once its transition is
	// complete.
	target   Allotment
	validity time.Duration
}

// Lender holds the allotments of this daemon and lends their tokens. It is safe for
// concurrent use. Use NewLender to create one.
type Lender struct {
	self       string
	splitCache *SplitCache

	// mu has rank lock.Allotments and guards the fields below.
	mu          *lock.Mutex
	allotments  map[allotmentID]*heldAllotment
	splits      map[string]Split
	transitions map[string]*transition
	version     uint64
}

// NewLender returns the lender of the daemon beside the backend server named self. It
// has no allotments until Apply is called, and no tokens at first: they accrue at the
// rates of its allotments, so a restart cannot exceed a limit. The cache may be shared
// with a Borrower.
func NewLender(self string, splits *SplitCache) *Lender {
	return &Lender{
		self:        self,
		splitCache:  splits,
		mu:          lock.New(lock.Allotments),
		allotments:  make(map[allotmentID]*heldAllotment),
		splits:      make(map[string]Split),
		transitions: make(map[string]*transition),
	}
}

// Apply puts the limits of a version of the configuration into force. Shares that
// increase come into force when all daemons whose shares decrease are known to use
// the new ones; ObserveVersion and ObserveStop report their progress.
func (l *Lender) Apply(now time.Time, cfg *platform.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.version == 0
	l.version = cfg.Number()
	kept := make(map[allotmentID]bool)
	splits := make(map[string]Split, len(cfg.Customers()))
	for _, c := range cfg.Customers() {
		split := l.splitCache.Split(cfg, c)
		splits[c.Name()] = split
		if old, known := l.splits[c.Name()]; !first && known {
			l.updateTransition(cfg, c.Name(), old, split)
		}
		for _, a := range split.allotments {
			if a.holder == l.self {
				id := allotmentID{customer: c.Name(), index: a.index}
				kept[id] = true
				l.setTarget(now, id, a, split.validity)
			}
		}
	}
	for id := range l.allotments {
		if !kept[id] {
			delete(l.allotments, id)
		}
	}
	for name := range l.transitions {
		if _, ok := splits[name]; !ok {
			delete(l.transitions, name)
		}
	}
	l.splits = splits
	l.completeTransitions(now)
}

// updateTransition starts or restarts the transition of a customer whose split
// changes. If the split is unchanged, it adds the version to a transition in
// progress.
func (l *Lender) updateTransition(cfg *platform.Config, customer string, old, next Split) {
	t, ok := l.transitions[customer]
	if next.equal(old) {
		if ok {
			t.versions[l.version] = true
		}
		return
	}
	if !ok {
		t = &transition{unobserved: make(map[string]bool)}
		l.transitions[customer] = t
	}
	t.restart(cfg, l.self, l.version, old, next)
}

// setTarget sets the share of an allotment in a new version. Until the transition
// completes, the lowest share since before the transition is in force.
func (l *Lender) setTarget(now time.Time, id allotmentID, a Allotment, validity time.Duration) {
	h, ok := l.allotments[id]
	if !ok {
		h = &heldAllotment{updatedAt: now}
		l.allotments[id] = h
		if _, changing := l.transitions[id.customer]; !changing {
			h.rate, h.burst = a.rate, a.burst
		}
	}
	h.refill(now)
	h.target = a
	h.validity = validity
	h.rate = math.Min(h.rate, a.rate)
	h.burst = math.Min(h.burst, a.burst)
	h.level = math.Min(h.level, h.burst)
}

// completeTransitions removes the transitions that are complete and puts the
// target shares of their allotments into force.
func (l *Lender) completeTransitions(now time.Time) {
	acknowledged := l.acknowledgedLocked()
	for customer, t := range l.transitions {
		if !t.complete(acknowledged) {
			continue
		}
		delete(l.transitions, customer)
		for id, h := range l.allotments {
			if id.customer == customer {
				h.refill(now)
				h.rate, h.burst = h.target.rate, h.target.burst
			}
		}
	}
}

// refill adds the tokens accrued since updatedAt. If now is earlier, it has no
// effect.
func (h *heldAllotment) refill(now time.Time) {
	if d := now.Sub(h.updatedAt); d > 0 {
		gained := h.rate * d.Seconds()
		h.level = math.Min(h.burst, h.level+gained)
		h.expectedRetries = math.Max(0, h.expectedRetries-gained)
		h.updatedAt = now
	}
}

// ObserveVersion records that the daemon beside the named backend server runs a
// version, and whether its Lender's Acknowledged method returned true at that version.
func (l *Lender) ObserveVersion(now time.Time, name string, version uint64, acknowledged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.transitions) == 0 {
		return
	}
	for _, t := range l.transitions {
		t.observeVersion(name, version, acknowledged)
	}
	l.completeTransitions(now)
}

// ObserveStop records that, as confirmed by the platform, no daemon runs beside the
// named backend server.
func (l *Lender) ObserveStop(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.transitions {
		t.observeStop(name)
	}
	l.completeTransitions(now)
}

// Acknowledged reports whether every daemon that this daemon knows to have had a share
// in a changing limit was observed at a version with the new split. Daemons report it
// to each other, for ObserveVersion.
func (l *Lender) Acknowledged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acknowledgedLocked()
}

func (l *Lender) acknowledgedLocked() bool {
	for _, t := range l.transitions {
		if len(t.unobserved) > 0 {
			return false
		}
	}
	return true
}

// PendingBackends returns the sorted names of the backend servers whose daemons have
// yet to be observed before all increased shares are in force.
func (l *Lender) PendingBackends() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make(map[string]bool)
	for _, t := range l.transitions {
		maps.Copy(names, t.unobserved)
		maps.Copy(names, t.unacknowledged)
	}
	return slices.Sorted(maps.Keys(names))
}

// Lend takes up to count whole tokens from the customer's allotment with the given
// index. The grant is empty if this daemon does not hold the allotment or it has no
// token.
func (l *Lender) Lend(now time.Time, customer string, index, count int) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.allotments[allotmentID{customer: customer, index: index}]
	if !ok || h.rate <= 0 {
		return Grant{retryAfter: unknownRetryAfter}
	}
	h.refill(now)
	n := min(count, int(h.level))
	if n <= 0 {
		retryAfter := seconds((1 - h.level + h.expectedRetries) / h.rate)
		h.expectedRetries++
		return Grant{retryAfter: min(retryAfter, maxRetryAfter)}
	}
	h.level -= float64(n)
	return Grant{count: n, validity: h.validity}
}

// AllotmentCount returns the number of allotments of a customer that this daemon
// holds.
func (l *Lender) AllotmentCount(customer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for id := range l.allotments {
		if id.customer == customer {
			n++
		}
	}
	return n
}
