package sidecar

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// fleetState holds a replica of the store's content and the state decoded from
// it: the configuration, the published instances and the evacuated data centres.
type fleetState struct {
	decoder Decoder
	events  *events
	replica *replica.Replica
	fleet   *fleet.Fleet
	config  atomic.Pointer[operator.Config]
	// applyMu, of rank lock.Config, ensures that changes are applied in the
	// order in which they were merged.
	applyMu *lock.Mutex
	// confirmedAt is the last time at which the replica was known to be current,
	// in nanoseconds since startedAt, or 0 if it never was.
	confirmedAt atomic.Int64
	startedAt   time.Time
	// heldChanges holds the instances that a new era shows as ready although they were
	// draining or had been removed, by key, and believedItems the keys of those that this daemon uses
	// although it knew of their removal: they are not held because of what others say. eraAdoptedAt
	// is when this daemon adopted its era. They are guarded by applyMu.
	heldChanges   map[string]heldChange
	believedItems map[string]bool
	eraAdoptedAt  time.Time
	// heldRemovals holds those of heldChanges that are held because they had been removed.
	heldRemovals atomic.Pointer[heldRemovals]
	// configSource is where the configuration in force comes from, and configEra the latest era
	// in which this daemon saw it in the store, guarded by applyMu. lostConfig is configSource if
	// the store has only an older configuration in this era, or nil.
	configSource storedConfig
	configEra    uint64
	lostConfig   atomic.Pointer[storedConfig]
	// rejectedItems counts the items that could not be decoded.
	rejectedItems atomic.Int64
	// onChange is called with applyMu held after changes were applied.
	onChange func(now time.Time)
}

func newFleetState(d Decoder, e *events, now time.Time) *fleetState {
	return &fleetState{
		decoder:       d,
		events:        e,
		replica:       replica.New(),
		heldChanges:   make(map[string]heldChange),
		believedItems: make(map[string]bool),
		fleet:         fleet.New(),
		applyMu:       lock.New(lock.Config),
		startedAt:     now,
		onChange:      func(time.Time) {},
	}
}

// applyChanges merges the changes after a revision up to a position of the same era and applies
// those that are new.
func (s *fleetState) applyChanges(now time.Time, items []replica.Item, after uint64, upTo replica.Position) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.applyItems(now, s.replica.Apply(now, items, after, upTo))
}

// replacePrefix merges all items under a prefix as of a position and applies
// those that are new.
func (s *fleetState) replacePrefix(now time.Time, prefix string, items []replica.Item, at replica.Position) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.applyItems(now, s.replica.Replace(now, prefix, items, at))
}

func (s *fleetState) applyItems(now time.Time, changed []replica.Item) {
	for _, i := range changed {
		c, err := s.decode(i)
		if err != nil {
			s.events.stateChange("store item rejected", "key", i.Key(), "revision", i.Revision(), "bytes", len(i.Value()), "error", err.Error())
			s.rejectedItems.Add(1)
		}
		if c != nil {
			c.apply(now, s, i, s.replica.Position().Era())
		}
	}
	s.reviewConfig()
	if len(changed) > 0 {
		s.onChange(now)
	}
}

// decode decodes an item. A decoder that panics rejects the item, since the replica already
// contains it and the items after it have to be applied.
func (s *fleetState) decode(i replica.Item) (c Change, err error) {
	defer func() {
		if v := recover(); v != nil {
			s.events.panicked(v, debug.Stack())
			err = fmt.Errorf("decoder panicked: %v", v)
		}
	}()
	return s.decoder.Decode(i) //nolint:wrapcheck // logged with the item
}

func (c configChange) apply(_ time.Time, s *fleetState, i replica.Item, era uint64) {
	old := s.config.Load()
	next := storedConfig{item: i, version: c.config.Version(), at: replica.NewPosition(era, i.Revision())}
	if old != nil && next.sameContent(s.configSource) {
		s.recordStoredAt(next.at)
		return
	}
	if old != nil && !next.supersedes(s.configSource) {
		s.events.stateChange("older configuration version ignored", "version", next.version, "at", next.at.String(),
			"held", old.Version(), "held at", s.configSource.at.String())
		return
	}
	s.configSource, s.configEra = next, era
	s.config.Store(c.config)
	s.fleet.SetServices(c.config.ServiceNames())
	s.events.stateChange("configuration version applied", "version", next.version, "at", next.at.String(),
		"routes", c.config.RouteCount(), "customers", c.config.CustomerCount())
	if old != nil {
		s.logCustomerChanges(old, c.config)
	}
}

// logCustomerChanges logs the customers whose limit or priority differs between two
// successive configurations.
func (s *fleetState) logCustomerChanges(old, current *operator.Config) {
	log := func(text string, c operator.Customer) {
		s.events.stateChange(text, "customer", c.Name(), "rate", c.Rate(), "burst", c.Burst(), "priority", c.Priority(), "version", current.Version())
	}
	for c := range current.Customers() {
		before, ok := old.Customer(c.Name())
		switch {
		case !ok:
			log("customer added", c)
		case !c.SameLimit(before):
			log("customer limit changed", c)
		}
	}
	for c := range old.Customers() {
		if _, ok := current.Customer(c.Name()); !ok {
			log("customer removed", c)
		}
	}
}

func (c instanceChange) apply(now time.Time, s *fleetState, _ replica.Item, _ uint64) {
	old, _, ok := s.fleet.Get(now, c.instance.ID())
	s.fleet.Put(c.instance)
	if !ok || !old.SameIncarnation(c.instance) || old.Draining() != c.instance.Draining() {
		s.events.stateChange("instance published", "instance", c.instance.ID(), "service", c.instance.Service(),
			"address", c.instance.Address().String(), "draining", c.instance.Draining(), "cold", c.instance.WarmupRemaining().String())
	}
}

func (c removalChange) apply(now time.Time, s *fleetState, _ replica.Item, _ uint64) {
	if s.fleet.Remove(now, c.id) {
		s.events.stateChange("instance removed", "instance", c.id)
	}
}

func (c evacuationChange) apply(now time.Time, s *fleetState, _ replica.Item, _ uint64) {
	s.fleet.SetEvacuated(now, c.centre, c.evacuated)
	s.events.stateChange("evacuation state changed", "centre", c.centre, "out", c.evacuated)
}

// outageThreshold is the gap between two confirmations from which the store is
// considered to have been unavailable. It is longer than a reader's watch plus
// the daemons' heartbeat interval, and shorter than the time without an update
// after which the items of instances expire in the store.
const outageThreshold = 3500 * time.Millisecond

// confirmCurrent records that the replica was current at a past time. After a
// gap of more than outageThreshold, items of running instances may have expired
// because they could not be updated, so the outage is recorded in the fleet.
func (s *fleetState) confirmCurrent(at time.Time) {
	if now := time.Now(); at.After(now) {
		at = now
	}
	confirmed := int64(at.Sub(s.startedAt))
	for {
		old := s.confirmedAt.Load()
		if confirmed <= old {
			return
		}
		if !s.confirmedAt.CompareAndSwap(old, confirmed) {
			continue
		}
		if gap := time.Duration(confirmed - old); old > 0 && gap > outageThreshold {
			s.fleet.MarkStoreUnavailable(at)
			s.events.stateChange("store was unavailable", "for", gap.String())
		}
		return
	}
}

// age returns the time since the replica was last known to be current.
func (s *fleetState) age(now time.Time) time.Duration {
	// The replica may have been confirmed after now was read.
	return max(0, now.Sub(s.startedAt)-time.Duration(s.confirmedAt.Load()))
}
