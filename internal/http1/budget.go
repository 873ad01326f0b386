package http1

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
)

// evictableBytes is the size from which a body may have to give way to others. Bodies of the usual
// sizes stay below it, and get memory before larger ones whatever their urgency: a faulty backend
// server of an urgent service, whose bodies do not end, would keep it from them otherwise.
const evictableBytes = 64 << 10

// Budget bounds the bytes of the bodies that a process holds in memory at the same time.
// If there is no memory left for a body, one of the least urgent gives way, and of these the
// largest: a body that does not end grows until it is the largest, so it cannot keep the memory
// from others as urgent as itself, nor from bodies of the usual sizes. It is designed for a few
// responses of many MB, or without end, beside many of some KB. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit    int64
	rejected atomic.Int64
	evicted  atomic.Int64
	// mu has rank lock.Memory and guards the fields below, and those of the leases.
	mu   *lock.Mutex
	used int64
	// reading holds the leases of bodies that may have to give way.
	reading map[*Lease]bool
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, mu: lock.New(lock.Memory), reading: make(map[*Lease]bool)}
}

// grow takes n more bytes for a lease and reports whether there were that many.
func (b *Budget) grow(l *Lease, n int64) bool {
	if b == nil {
		return true
	}
	victims, ok := b.tryGrow(l, n)
	for _, v := range victims {
		b.evicted.Add(1)
		v.abort()
	}
	if !ok {
		b.rejected.Add(1)
	}
	return ok
}

// tryGrow implements grow, except that the caller has to abort the bodies that gave way.
func (b *Budget) tryGrow(l *Lease, n int64) (victims []*Lease, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.evicted {
		return nil, false
	}
	if missing := b.used + n - b.limit; missing > 0 {
		if victims, ok = b.chooseVictims(l, n, missing); !ok {
			return nil, false
		}
	}
	for _, v := range victims {
		b.used -= v.bytes
		v.bytes, v.evicted = 0, true
		delete(b.reading, v)
	}
	b.used += n
	l.bytes += n
	if l.abort != nil && l.bytes > evictableBytes {
		b.reading[l] = true
	}
	return victims, true
}

// claim is a body that has or wants a number of bytes.
type claim struct {
	lease *Lease
	bytes int64
}

// need returns the need of a claim, of which each byte counts as a nanosecond of work.
func (c claim) need() caller.Need {
	n := c.lease.need
	return caller.NewNeed(n.Priority(), n.Objective(), n.Deadline(), time.Duration(c.bytes))
}

// chooseVictims returns the bodies that give way, so that a lease can take n more bytes although
// there are not enough by the number of missing ones. If that body itself is to give way, none does.
func (b *Budget) chooseVictims(l *Lease, n, missing int64) (victims []*Lease, ok bool) {
	var claims []claim
	for o := range b.reading {
		if o != l {
			claims = append(claims, claim{lease: o, bytes: o.bytes})
		}
	}
	if l.bytes+n > evictableBytes {
		claims = append(claims, claim{lease: l, bytes: l.bytes + n})
	}
	for missing > 0 {
		i := caller.Victim(claims, claim.need)
		if i < 0 || claims[i].lease == l {
			return nil, false
		}
		missing -= claims[i].bytes
		victims = append(victims, claims[i].lease)
		claims = slices.Delete(claims, i, i+1)
	}
	return victims, true
}

// readEnd records that the body of a lease has been read whole, so that it does not have to
// give way any more. It returns false if it already has.
func (b *Budget) readEnd(l *Lease) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, l)
	return !l.evicted
}

// release returns the memory of a lease.
func (b *Budget) release(l *Lease) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, l)
	b.used -= l.bytes
	l.bytes = 0
}

// bodyLimit returns the maximum size of one body, so that a single one cannot take the
// whole budget.
func (b *Budget) bodyLimit() int64 {
	if b == nil {
		return maxResponseBytes
	}
	return min(b.limit/2, maxResponseBytes)
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Rejected returns how many times there was no memory for a body.
func (b *Budget) Rejected() int64 {
	if b == nil {
		return 0
	}
	return b.rejected.Load()
}

// Evicted returns how many bodies had to give way to others while they were read.
func (b *Budget) Evicted() int64 {
	if b == nil {
		return 0
	}
	return b.evicted.Load()
}
