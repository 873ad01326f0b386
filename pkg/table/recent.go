package table

import "github.com/lycheehead/lycheehead/pkg/lock"

// Recent is the set of the keys that were added last, of which it keeps a fixed number. It is
// safe for concurrent use. Use NewRecent to create one.
type Recent[K comparable] struct {
	// mu guards the fields below.
	mu   *lock.Mutex
	keys map[K]struct{}
	// ring has the keys in the order in which they were added, with the oldest at next once it
	// is full.
	ring  []K
	next  int
	limit int
}

// NewRecent returns an empty set that keeps up to limit keys, at least one, and whose lock has
// the given rank.
func NewRecent[K comparable](rank lock.Rank, limit int) *Recent[K] {
	return &Recent[K]{mu: lock.New(rank), keys: make(map[K]struct{}), limit: limit}
}

// Add adds a key and reports whether it was not in the set. If the set is full, the key that
// was added first is removed.
func (r *Recent[K]) Add(key K) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, present := r.keys[key]; present {
		return false
	}
	r.keys[key] = struct{}{}
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, key)
		return true
	}
	delete(r.keys, r.ring[r.next])
	r.ring[r.next] = key
	r.next = (r.next + 1) % r.limit
	return true
}
