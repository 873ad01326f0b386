package lock

import "sync"

// Mutex is a mutual exclusion lock with a rank. It must not be copied after first use.
// Use New to create one.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked mutex of the given rank.
func New(rank Rank) *Mutex {
	return &Mutex{rank: rank}
}

// Lock locks m. With the build tag lockcheck, it panics if the goroutine already
// holds a lock of the same or a higher rank.
func (m *Mutex) Lock() {
	recordAcquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks m, which the calling goroutine must have locked.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	recordRelease(m.rank)
}

// Rank returns the position of m in the lock order.
func (m *Mutex) Rank() Rank {
	return m.rank
}
