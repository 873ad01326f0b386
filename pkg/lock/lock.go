package lock

import "sync"

// Mutex is a mutual exclusion lock with a rank. Make one with New.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked mutex of the given rank.
func New(rank Rank) *Mutex {
	return &Mutex{rank: rank}
}

// Lock locks m. With the tag lockcheck it panics where the goroutine already
// holds a lock of the same or a higher rank.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// Rank returns the place of m in the order.
func (m *Mutex) Rank() Rank {
	return m.rank
}
