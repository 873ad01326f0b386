package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// tombstoneRetention is how long a removed item can be told to other copies.
const tombstoneRetention = 2 * time.Minute

// Item is one value of the store as of its last change.
type Item struct {
	key      string
	value    []byte
	revision uint64
	removed  bool
}

// NewItem returns an item that was written at a revision.
func NewItem(key string, value []byte, revision uint64) Item {
	return Item{key: key, value: value, revision: revision}
}

// NewTombstone returns an item that was removed at a revision.
func NewTombstone(key string, revision uint64) Item {
	return Item{key: key, revision: revision, removed: true}
}

// Key returns the key.
func (i Item) Key() string { return i.key }

// Value returns the value. It is not to be changed.
func (i Item) Value() []byte { return i.value }

// Revision returns the revision of the last change.
func (i Item) Revision() uint64 { return i.revision }

// Removed says whether the item was removed.
func (i Item) Removed() bool { return i.removed }

type entry struct {
	item Item
	// removedAt is when this copy learned of the removal.
	removedAt time.Time
}

// Replica is a copy of the store. Make one with New.
type Replica struct {
	// mu, of rank lock.Replica, guards what follows.
	mu       *lock.Mutex
	entries  map[string]entry
	revision uint64
	// horizon is the revision up to which removals may not be known any more.
	horizon uint64
}

// New returns an empty copy.
func New() *Replica {
	return &Replica{mu: lock.New(lock.Replica), entries: make(map[string]entry)}
}

// Revision returns the revision up to which the copy is complete, 0 where it
// holds nothing yet.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Apply merges all changes between two revisions, after and upTo, and returns
// those that were new. Where the copy is not complete up to after, the items
// are merged but the copy is no more complete than before.
func (r *Replica) Apply(now time.Time, items []Item, after, upTo uint64) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.merge(now, items)
	if after <= r.revision && upTo > r.revision {
		r.revision = upTo
	}
	return changed
}

// Replace merges all items under a prefix as they stood at a revision: items
// that the list lacks were removed, unless they were written later. It returns
// what changed. The copy's revision does not move; see Complete.
func (r *Replica) Replace(now time.Time, prefix string, items []Item, at uint64) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[i.key] = true
	}
	var gone []Item
	for key, e := range r.entries {
		// A list from before what the copy is complete up to tells nothing new.
		if at > r.revision && strings.HasPrefix(key, prefix) && !listed[key] && !e.item.removed && e.item.revision <= at {
			gone = append(gone, NewTombstone(key, at))
		}
	}
	if at > r.revision {
		// The list does not tell of removals that this copy never knew of.
		r.horizon = max(r.horizon, at)
	}
	return append(r.merge(now, items), r.merge(now, gone)...)
}

// AdvanceRevision notes that the copy holds every change up to a revision.
func (r *Replica) AdvanceRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

func (r *Replica) merge(now time.Time, items []Item) []Item {
	var changed []Item
	for _, i := range items {
		old, ok := r.entries[i.key]
		// What a complete copy does not hold was removed before.
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

// ChangesSince returns what changed after a revision, and the revision up to which the
// copy is complete. whole says that the items are all there are, because
// removals after the given revision are no longer known.
func (r *Replica) ChangesSince(after uint64) (items []Item, upTo uint64, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole = after < r.horizon || after == 0
	for _, e := range r.entries {
		if whole && e.item.removed || !whole && e.item.revision <= after {
			continue
		}
		items = append(items, e.item)
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.revision, b.revision) })
	return items, r.revision, whole
}

// PurgeTombstones forgets old tombstones.
func (r *Replica) PurgeTombstones(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, e := range r.entries {
		if e.item.removed && now.Sub(e.removedAt) > tombstoneRetention {
			r.horizon = max(r.horizon, e.item.revision)
			delete(r.entries, key)
		}
	}
}
