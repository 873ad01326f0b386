package table

import (
	"hash/maphash"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// shardCount is the number of shards of a table. It must be a power of two.
const shardCount = 16

// Table is a map that is safe for concurrent use. Values are copied in and out; what a
// value points to must be immutable, have its own lock, or be used only in callbacks.
// Use New to create one.
type Table[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
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

// Get returns the value of key and reports whether the key is present.
func (t *Table[K, V]) Get(key K) (V, bool) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.entries[key]
	return v, ok
}

// Update replaces the value of key with the result of update, which receives the
// current value and whether the key is present. If update returns false, the key is
// removed.
func (t *Table[K, V]) Update(key K, update func(v V, ok bool) (V, bool)) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[key]
	v, keep := update(old, ok)
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

// Len returns the number of keys. The shards are counted one after another, so that
// the sum may be off while the table changes.
func (t *Table[K, V]) Len() int {
	n := 0
	t.eachShard(func(entries map[K]V) { n += len(entries) })
	return n
}

// Each calls f for every entry, in no particular order. The lock of a shard is held
// during the calls for its entries. It is not a snapshot: other shards may change in
// the meantime.
func (t *Table[K, V]) Each(f func(key K, v V)) {
	t.eachShard(func(entries map[K]V) {
		for k, v := range entries {
			f(k, v)
		}
	})
}

// Sweep removes the entries for which keep returns false. Like Each, it holds the lock
// of one shard at a time.
func (t *Table[K, V]) Sweep(keep func(key K, v V) bool) {
	t.eachShard(func(entries map[K]V) {
		for k, v := range entries {
			if !keep(k, v) {
				delete(entries, k)
			}
		}
	})
}

func (t *Table[K, V]) eachShard(f func(entries map[K]V)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		f(s.entries)
		s.mu.Unlock()
	}
}

func (t *Table[K, V]) shard(key K) *shard[K, V] {
	return &t.shards[maphash.Comparable(t.seed, key)&(shardCount-1)]
}
