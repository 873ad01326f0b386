package table

import (
	"hash/maphash"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// shards is the number of locks of a table, a power of two.
const shards = 16

// Table maps keys to values under sharded locks. Make one with New.
type Table[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shards]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu      *lock.Mutex
	entries map[K]V
}

// New returns an empty table whose locks have the given rank.
func New[K comparable, V any](rank lock.Rank) *Table[K, V] {
	t := &Table[K, V]{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].mu = lock.New(rank)
		t.shards[i].entries = make(map[K]V)
	}
	return t
}

// Get returns the value of key, and whether there is one.
func (t *Table[K, V]) Get(key K) (V, bool) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.entries[key]
	return v, ok
}

// Update replaces the value of key by what change makes of it. Where change
// returns false, the key is removed.
func (t *Table[K, V]) Update(key K, change func(v V, ok bool) (V, bool)) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[key]
	v, keep := change(old, ok)
	if keep {
		s.entries[key] = v
		return
	}
	delete(s.entries, key)
}

// Put sets the value of key.
func (t *Table[K, V]) Put(key K, v V) {
	t.Update(key, func(V, bool) (V, bool) { return v, true })
}

// Delete removes key.
func (t *Table[K, V]) Delete(key K) {
	t.Update(key, func(v V, _ bool) (V, bool) { return v, false })
}

// Len returns the number of keys.
func (t *Table[K, V]) Len() int {
	n := 0
	t.visit(func(entries map[K]V) { n += len(entries) })
	return n
}

// Each calls see for every entry, a shard at a time.
func (t *Table[K, V]) Each(see func(key K, v V)) {
	t.visit(func(entries map[K]V) {
		for k, v := range entries {
			see(k, v)
		}
	})
}

// Sweep removes the entries that keep refuses.
func (t *Table[K, V]) Sweep(keep func(key K, v V) bool) {
	t.visit(func(entries map[K]V) {
		for k, v := range entries {
			if !keep(k, v) {
				delete(entries, k)
			}
		}
	})
}

func (t *Table[K, V]) visit(see func(entries map[K]V)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		see(s.entries)
		s.mu.Unlock()
	}
}

func (t *Table[K, V]) shard(key K) *shard[K, V] {
	return &t.shards[maphash.Comparable(t.seed, key)&(shards-1)]
}
