package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// tombstoneRetention is how long a tombstone is kept for other replicas.
const tombstoneRetention = 2 * time.Minute

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

// Replica is a replica of the store. It is safe for concurrent use. Use New to create
// one.
type Replica struct {
	// mu has rank lock.Replica and guards the fields below.
	mu       *lock.Mutex
	entries  map[string]entry
	revision uint64
	// compactedRevision is the revision up to which tombstones may be missing.
	compactedRevision uint64
}

// New returns an empty replica.
func New() *Replica {
	return &Replica{mu: lock.New(lock.Replica), entries: make(map[string]entry)}
}

// Revision returns the revision up to which the replica is complete, or 0 if it is
// not complete up to any revision.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Apply merges the items that changed after revision after, up to revision upTo, as of
// their last change in that range. It returns those that were new to the replica,
// ordered by revision; tombstones of items that it did not have are left out. If the
// replica is not complete up to after, the items are merged but its revision does not
// advance.
func (r *Replica) Apply(now time.Time, items []Item, after, upTo uint64) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.merge(now, items)
	if after <= r.revision && upTo > r.revision {
		r.revision = upTo
	}
	return changed
}

// Replace merges a list of all items whose keys begin with prefix, as of revision at.
// Items that are not in the list have been removed, unless they were written later.
// It returns the changes, in which tombstones come last. It does not advance the
// replica's revision: once Replace has been called for every prefix as of the same
// revision, the caller calls AdvanceRevision.
func (r *Replica) Replace(now time.Time, prefix string, items []Item, at uint64) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[i.key] = true
	}
	var tombstones []Item
	for key, e := range r.entries {
		// The replica already reflects a list as of a revision that it is complete up to.
		if at > r.revision && strings.HasPrefix(key, prefix) && !listed[key] && !e.item.removed && e.item.revision <= at {
			tombstones = append(tombstones, NewTombstone(key, at))
		}
	}
	if at > r.revision {
		// The list does not show the removal of items that this replica never had.
		r.compactedRevision = max(r.compactedRevision, at)
	}
	return append(r.merge(now, items), r.merge(now, tombstones)...)
}

// AdvanceRevision records that the replica reflects every change up to a
// revision.
func (r *Replica) AdvanceRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

func (r *Replica) merge(now time.Time, items []Item) []Item {
	var changed []Item
	for _, i := range items {
		old, ok := r.entries[i.key]
		// An item that a replica lacks although complete up to its revision has
		// been removed since.
		if ok && old.item.revision >= i.revision || !ok && i.revision <= r.revision {
			continue
		}
		e := entry{item: i}
		if i.removed {
			e.removedAt = now
		}
		r.entries[i.key] = e
		if i.removed && (!ok || old.item.removed) {
			continue
		}
		changed = append(changed, i)
	}
	slices.SortFunc(changed, func(a, b Item) int { return cmp.Compare(a.revision, b.revision) })
	return changed
}

// ChangesSince returns the items that changed after a revision, ordered by revision,
// and the revision up to which the replica is complete. If full is false, the result
// is for Apply at another replica. If full is true, the items are the complete content
// without tombstones, for Replace: after is 0, or tombstones after it may have been
// purged.
func (r *Replica) ChangesSince(after uint64) (items []Item, upTo uint64, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	full = after < r.compactedRevision || after == 0
	for _, e := range r.entries {
		if full && e.item.removed || !full && e.item.revision <= after {
			continue
		}
		items = append(items, e.item)
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.revision, b.revision) })
	return items, r.revision, full
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
