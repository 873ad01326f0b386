package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// knowledge is what the daemon knows of the fleet: a copy of the store and what
// it means.
type knowledge struct {
	decoder Decoder
	events  *events
	copy    *replica.Replica
	fleet   *fleet.Fleet
	config  atomic.Pointer[operator.Config]
	// applying, of rank lock.Config, keeps changes from being applied in another
	// order than they were merged.
	applying *lock.Mutex
	// confirmed is when the copy was last known to be current, in nanoseconds of
	// the daemon's clock since begin; 0 for never.
	confirmed atomic.Int64
	begin     time.Time
	// changed is called after changes were applied.
	changed func(now time.Time)
}

func newKnowledge(d Decoder, e *events, now time.Time) *knowledge {
	return &knowledge{
		decoder:  d,
		events:   e,
		copy:     replica.New(),
		fleet:    fleet.New(),
		applying: lock.New(lock.Config),
		begin:    now,
		changed:  func(time.Time) {},
	}
}

// learn merges changes between two revisions and applies those that are new.
func (k *knowledge) learn(now time.Time, items []replica.Item, after, upTo uint64) {
	k.applying.Lock()
	defer k.applying.Unlock()
	k.apply(now, k.copy.Apply(now, items, after, upTo))
}

// relearn merges all items under a prefix as of a revision.
func (k *knowledge) relearn(now time.Time, prefix string, items []replica.Item, at uint64) {
	k.applying.Lock()
	defer k.applying.Unlock()
	k.apply(now, k.copy.Replace(now, prefix, items, at))
}

func (k *knowledge) apply(now time.Time, changed []replica.Item) {
	for _, i := range changed {
		c, err := k.decoder.Decode(i)
		if err != nil {
			k.events.stateChange("item refused", "key", i.Key(), "revision", i.Revision(), "error", err.Error())
			continue
		}
		if c != nil {
			c.apply(now, k)
		}
	}
	if len(changed) > 0 {
		k.changed(now)
	}
}

func (c configChange) apply(_ time.Time, k *knowledge) {
	old := k.config.Load()
	if old != nil && old.Version() >= c.config.Version() {
		k.events.stateChange("older version ignored", "version", c.config.Version(), "held", old.Version())
		return
	}
	k.config.Store(c.config)
	k.events.stateChange("version in force", "version", c.config.Version(),
		"routes", c.config.RouteCount(), "customers", c.config.CustomerCount())
}

func (c instanceChange) apply(now time.Time, k *knowledge) {
	old, _, ok := k.fleet.Get(now, c.instance.ID())
	k.fleet.Put(c.instance)
	if !ok || !old.SameIncarnation(c.instance) || old.Draining() != c.instance.Draining() {
		k.events.stateChange("instance published", "instance", c.instance.ID(), "service", c.instance.Service(),
			"address", c.instance.Address().String(), "draining", c.instance.Draining(), "cold", c.instance.WarmupRemaining().String())
	}
}

func (c removalChange) apply(now time.Time, k *knowledge) {
	k.fleet.Remove(now, c.id)
	k.events.stateChange("instance removed", "instance", c.id)
}

func (c evacuationChange) apply(now time.Time, k *knowledge) {
	k.fleet.SetEvacuated(now, c.centre, c.out)
	k.events.stateChange("evacuation", "centre", c.centre, "out", c.out)
}

// troubleGap is the time without word of the store after which it counts as
// having been away. It is longer than a reader's watch with the daemons'
// heartbeat, and shorter than the silence after which entries lapse.
const troubleGap = 3500 * time.Millisecond

// confirm notes that the copy was current at an instant, which has passed. Where
// nobody could tell for long before, entries of live instances may have lapsed
// meanwhile.
func (k *knowledge) confirm(at time.Time) {
	if now := time.Now(); at.After(now) {
		at = now
	}
	n := int64(at.Sub(k.begin))
	for {
		old := k.confirmed.Load()
		if n <= old {
			return
		}
		if !k.confirmed.CompareAndSwap(old, n) {
			continue
		}
		if gap := time.Duration(n - old); old > 0 && gap > troubleGap {
			k.fleet.MarkStoreUnavailable(at)
			k.events.stateChange("store was away", "for", gap.String())
		}
		return
	}
}

// age returns how long ago the copy was known to be current.
func (k *knowledge) age(now time.Time) time.Duration {
	// The copy may have been confirmed after now was read.
	return max(0, now.Sub(k.begin)-time.Duration(k.confirmed.Load()))
}
