package replica

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// tombstoneRetention is how long a tombstone is kept for other replicas.
	tombstoneRetention = 2 * time.Minute
	// eraGrace is how long an item that a new era lacks stays in force. Its writer writes it
	// again within two seconds of the store's return, unless it has gone.
	eraGrace = 2 * time.Second
)

// Item is one key of the store as of its last change.
type Item struct {
	key      string
	value    []byte
	revision uint64
	removed  bool
}

// NewItem returns an item that was written at a revision, which is at least 1. The value
// is retained and must not be modified.
func NewItem(key string, value []byte, revision uint64) Item {
	return Item{key: key, value: value, revision: revision}
}

// NewTombstone returns an item that was removed at a revision.
func NewTombstone(key string, revision uint64) Item {
	return Item{key: key, revision: revision, removed: true}
}

// Key returns the key.
func (i Item) Key() string { return i.key }

// Value returns the value, or nil for a tombstone. The caller must not modify it.
func (i Item) Value() []byte { return i.value }

// Revision returns the revision of the last change.
func (i Item) Revision() uint64 { return i.revision }

// Removed reports whether the item is a tombstone.
func (i Item) Removed() bool { return i.removed }

type entry struct {
	item Item
	// removedAt is when this replica learned of the removal.
	removedAt time.Time
}

// leftover is an item of an earlier era that the current era lacks.
type leftover struct {
	item Item
	// until is when it is treated as removed.
	until time.Time
}

// Replica is a replica of the store. It is safe for concurrent use. Use New to create
// one.
type Replica struct {
	// mu has rank lock.Replica and guards the fields below.
	mu      *lock.Mutex
	entries map[string]entry
	// leftovers holds the items of earlier eras that are still in force, by key. None of
	// them is in entries.
	leftovers map[string]leftover
	position  Position
	// compactedRevision is the revision of the era up to which tombstones may be missing.
	compactedRevision uint64
}

// New returns an empty replica.
func New() *Replica {
	return &Replica{mu: lock.New(lock.Replica), entries: make(map[string]entry), leftovers: make(map[string]leftover)}
}

// Position returns the position up to which the replica is complete. Its revision is 0 if it
// is not complete up to any revision.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// Get returns the item with a key as of the current era, and whether there is one.
func (r *Replica) Get(key string) (i Item, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[key]
	return e.item, ok && !e.item.removed
}

// Removal returns the revision of the current era at which an item was removed, and false if it
// was not, or if its tombstone has been purged.
func (r *Replica) Removal(key string) (revision uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if !e.item.removed {
		return 0, false
	}
	return e.item.revision, true
}

// Apply merges the items that changed after revision after of upTo's era, up to upTo, as of
// their last change in that range. It returns those that were new to the replica,
// ordered by revision; tombstones of items that it did not have are left out. If the
// replica is not complete up to after, the items are merged but its position does not
// advance. Changes of another era have no effect.
func (r *Replica) Apply(now time.Time, items []Item, after uint64, upTo Position) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	if upTo.era != r.position.era {
		return nil
	}
	changed := r.merge(now, items)
	if after <= r.position.revision && r.position.Before(upTo) {
		r.position = upTo
	}
	return changed
}

// Replace merges a list of all items whose keys begin with prefix, as of a position.
// Items that are not in the list have been removed, unless they were written later.
// It returns the changes, in which tombstones come last. It does not advance the
// replica's position: once Replace has been called for every prefix as of the same
// position, the caller calls AdvanceTo. A list of another era has no effect.
func (r *Replica) Replace(now time.Time, prefix string, items []Item, at Position) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.era != r.position.era {
		return nil
	}
	return r.replace(now, prefix, items, at.revision)
}

// ReplaceAll merges a list of all items as of a position and advances to it. A list of an
// earlier era has no effect. One of a later era replaces the content, whatever the revisions,
// and newEra is true. Then the changes are the items whose values differ from those in force
// before. Items that are not in the list stay in force for two seconds, for Expire.
func (r *Replica) ReplaceAll(now time.Time, items []Item, at Position) (changed []Item, newEra bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case at.era < r.position.era:
		return nil, false
	case at.era > r.position.era:
		return r.startEra(now, items, at), true
	}
	changed = r.replace(now, "", items, at.revision)
	if r.position.Before(at) {
		r.position = at
	}
	return changed, false
}

func (r *Replica) startEra(now time.Time, items []Item, at Position) (changed []Item) {
	inForce := make(map[string]Item, len(r.entries)+len(r.leftovers))
	for key, l := range r.leftovers {
		inForce[key] = l.item
	}
	for key, e := range r.entries {
		if !e.item.removed {
			inForce[key] = e.item
		}
	}
	clear(r.entries)
	clear(r.leftovers)
	for _, i := range items {
		if i.removed {
			continue
		}
		r.entries[i.key] = entry{item: i}
		if old, ok := inForce[i.key]; !ok || !bytes.Equal(old.value, i.value) {
			changed = append(changed, i)
		}
		delete(inForce, i.key)
	}
	for key, i := range inForce {
		r.leftovers[key] = leftover{item: i, until: now.Add(eraGrace)}
	}
	r.position, r.compactedRevision = at, at.revision
	slices.SortFunc(changed, func(a, b Item) int { return cmp.Compare(a.revision, b.revision) })
	return changed
}

// Leftovers returns the number of items of earlier eras that are still in force.
func (r *Replica) Leftovers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.leftovers)
}

// Expire returns a tombstone for each item of an earlier era that the current one has lacked
// for two seconds. They are no part of the store's history, so ChangesSince doesn't return
// them.
func (r *Replica) Expire(now time.Time) (tombstones []Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, l := range r.leftovers {
		if !now.Before(l.until) {
			delete(r.leftovers, key)
			tombstones = append(tombstones, NewTombstone(key, r.position.revision))
		}
	}
	slices.SortFunc(tombstones, func(a, b Item) int { return cmp.Compare(a.key, b.key) })
	return tombstones
}

// AdvanceTo records that the replica reflects every change up to a position of its era.
func (r *Replica) AdvanceTo(p Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.era == r.position.era && r.position.Before(p) {
		r.position = p
	}
}

// replace merges a list as of a revision of the era. The caller holds mu.
func (r *Replica) replace(now time.Time, prefix string, items []Item, at uint64) []Item {
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[i.key] = true
	}
	var tombstones []Item
	for key, e := range r.entries {
		// The replica already reflects a list as of a revision that it is complete up to.
		if at > r.position.revision && strings.HasPrefix(key, prefix) && !listed[key] && !e.item.removed && e.item.revision <= at {
			tombstones = append(tombstones, NewTombstone(key, at))
		}
	}
	if at > r.position.revision {
		// The list does not show the removal of items that this replica never had.
		r.compactedRevision = max(r.compactedRevision, at)
	}
	return append(r.merge(now, items), r.merge(now, tombstones)...)
}

// merge merges items of the era. The caller holds mu.
func (r *Replica) merge(now time.Time, items []Item) []Item {
	var changed []Item
	for _, i := range items {
		old, ok := r.entries[i.key]
		// An item that a replica lacks although complete up to its revision has
		// been removed since.
		if ok && old.item.revision >= i.revision || !ok && i.revision <= r.position.revision {
			continue
		}
		e := entry{item: i}
		if i.removed {
			e.removedAt = now
		}
		r.entries[i.key] = e
		_, inForce := r.leftovers[i.key]
		delete(r.leftovers, i.key)
		if i.removed && !inForce && (!ok || old.item.removed) {
			continue
		}
		changed = append(changed, i)
	}
	slices.SortFunc(changed, func(a, b Item) int { return cmp.Compare(a.revision, b.revision) })
	return changed
}

// ChangesSince returns the items that changed after a position, ordered by revision,
// and the position up to which the replica is complete. If full is false, the result
// is for Apply at another replica. If full is true, the items are the complete content
// without tombstones, for ReplaceAll: after is in another era or at revision 0, or tombstones
// after it may have been purged.
func (r *Replica) ChangesSince(after Position) (items []Item, upTo Position, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	full = after.era != r.position.era || after.revision < r.compactedRevision || after.revision == 0
	for _, e := range r.entries {
		if full && e.item.removed || !full && e.item.revision <= after.revision {
			continue
		}
		items = append(items, e.item)
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.revision, b.revision) })
	return items, r.position, full
}

// PurgeTombstones deletes tombstones that were merged more than two minutes ago. Without
// regular calls, they accumulate.
func (r *Replica) PurgeTombstones(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, e := range r.entries {
		if e.item.removed && now.Sub(e.removedAt) > tombstoneRetention {
			r.compactedRevision = max(r.compactedRevision, e.item.revision)
			delete(r.entries, key)
		}
	}
}
