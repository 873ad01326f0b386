package http1

import (
	"sync/atomic"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// evictableBytes is the size from which a body that is being read may have to give way to
// smaller ones. Bodies of the usual sizes stay below it.
const evictableBytes = 64 << 10

// Budget bounds the bytes of the bodies that a process holds in memory at the same time.
// If there is no memory left for a body, a larger one that is still being read gives way:
// a body that does not end grows until it is the largest, so it cannot keep the memory
// from others. A nil Budget has no limit. It is safe for concurrent use.
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
	for b.used+n > b.limit {
		victim := b.largest()
		if victim == nil || victim.bytes <= l.bytes+n {
			return victims, false
		}
		b.used -= victim.bytes
		victim.bytes, victim.evicted = 0, true
		delete(b.reading, victim)
		victims = append(victims, victim)
	}
	b.used += n
	l.bytes += n
	if l.abort != nil && l.bytes > evictableBytes {
		b.reading[l] = true
	}
	return victims, true
}

// largest returns the largest lease of a body that may have to give way, or nil.
func (b *Budget) largest() *Lease {
	var found *Lease
	for l := range b.reading {
		if found == nil || l.bytes > found.bytes {
			found = l
		}
	}
	return found
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

// Evicted returns how many bodies had to give way to smaller ones.
func (b *Budget) Evicted() int64 {
	if b == nil {
		return 0
	}
	return b.evicted.Load()
}
