package sidecar

import (
	"bytes"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

const (
	// drainHold is how long an instance that was draining stays so if the list of a new era shows
	// it as ready. Its backend server writes its entry again within this time; until then the older
	// entry would attract requests to a server that is about to stop.
	drainHold = 2 * time.Second
	// removedHold is how long an instance stays removed if its entry was, and the list of a new era
	// shows it again. Whoever removed it does so again within two seconds. Where the store did so,
	// because the entry was not renewed, it does so again after a time that daemons do not know,
	// but which is longer than outageThreshold. An entry that remains is taken for renewed.
	removedHold = 10 * time.Second
)

// heldChange is an instance of a new era's list that is not applied before a time.
type heldChange struct {
	item   replica.Item
	until  time.Time
	length time.Duration
}

func newHeldChange(i replica.Item, now time.Time, length time.Duration) heldChange {
	return heldChange{item: i, until: now.Add(length), length: length}
}

// replaceAll merges a list of all items as of a position and applies those that are new. from
// says where a list of a new era comes from.
func (s *fleetState) replaceAll(now time.Time, items []replica.Item, at replica.Position, from string) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	before := s.replica.Position()
	var removals map[string]uint64
	if before.Era() < at.Era() {
		removals = s.removals(items)
	}
	changed, newEra := s.replica.ReplaceAll(now, items, at)
	if !newEra {
		s.applyItems(now, changed)
		return
	}
	s.eraAdoptedAt = now
	clear(s.believedItems)
	if before != (replica.Position{}) {
		s.extendHolds(now)
		changed = s.holdStopped(now, changed, removals)
		s.events.stateChange("store restored, new era adopted", "from", before.String(), "to", at.String(), "source", from,
			"items", len(items), "changed", len(changed), "missing", s.replica.Leftovers(), "held", len(s.heldChanges))
	}
	s.publishRemovals()
	s.scheduleExpiry()
	changed = s.withConfig(changed)
	s.applyItems(now, changed)
	if len(changed) == 0 {
		// The other daemons have to learn of the era.
		s.onChange(now)
	}
}

// scheduleExpiry calls expireEra whenever something that is in force from an earlier era, or is
// held, may end. The caller holds applyMu.
func (s *fleetState) scheduleExpiry() {
	lengths := make(map[time.Duration]bool)
	if s.replica.Leftovers() > 0 {
		lengths[drainHold] = true
	}
	for _, h := range s.heldChanges {
		lengths[h.length] = true
	}
	for length := range lengths {
		time.AfterFunc(length, func() { s.events.protect(func() { s.expireEra(time.Now()) }) })
	}
}

// removals returns the revisions at which those of the listed items were removed that the replica
// has tombstones of, by key.
func (s *fleetState) removals(items []replica.Item) map[string]uint64 {
	revisions := make(map[string]uint64)
	for _, i := range items {
		if revision, ok := s.replica.Removal(i.Key()); ok {
			revisions[i.Key()] = revision
		}
	}
	return revisions
}

// extendHolds extends what is held from the era before, since writers need their time again. The
// caller holds applyMu.
func (s *fleetState) extendHolds(now time.Time) {
	for key, h := range s.heldChanges {
		if i, ok := s.replica.Get(key); ok {
			s.heldChanges[key] = newHeldChange(i, now, h.length)
		} else {
			delete(s.heldChanges, key)
		}
	}
}

// holdStopped removes from the changes of a new era those that would make an instance usable again
// that was draining or has left, and holds them. removals holds the revisions at which items were
// removed. The caller holds applyMu.
func (s *fleetState) holdStopped(now time.Time, changed []replica.Item, removals map[string]uint64) (rest []replica.Item) {
	for _, i := range changed {
		length := s.holdLength(now, i, removals)
		if length == 0 {
			if _, removed := removals[i.Key()]; removed {
				s.believedItems[i.Key()] = true
			}
			delete(s.heldChanges, i.Key())
			rest = append(rest, i)
			continue
		}
		s.heldChanges[i.Key()] = newHeldChange(i, now, length)
		s.events.stateChange("instance stays unused in new era", "key", i.Key(), "at", i.Revision(), "for", length.String())
	}
	return rest
}

// holdLength returns how long an item of a new era's list is held, or 0 if it is not: it is no
// instance, one that may have been used up to now, or another run of a backend server. An entry
// with a higher revision than the removal has been written in the new era, since the copy ends
// before the removal.
func (s *fleetState) holdLength(now time.Time, i replica.Item, removals map[string]uint64) time.Duration {
	c, err := s.decode(i)
	published, ok := c.(instanceChange)
	if err != nil || !ok || published.instance.Draining() {
		return 0
	}
	old, _, known := s.fleet.Get(now, published.instance.ID())
	removedAt, removed := removals[i.Key()]
	switch {
	case !known || !old.SameIncarnation(published.instance):
		return 0
	case s.fleet.Left(old.ID()):
		if removed && i.Revision() > removedAt {
			return 0
		}
		return removedHold
	case old.Draining():
		return drainHold
	}
	return 0
}

// expireEra ends the time in which items of an earlier era stay in force although the store
// lacks them, and applies what was held for this time and has not been written since.
func (s *fleetState) expireEra(now time.Time) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	changed := s.replica.Expire(now)
	for _, i := range changed {
		s.events.stateChange("item not written again in new era", "key", i.Key())
	}
	for key, h := range s.heldChanges {
		if now.Before(h.until) {
			continue
		}
		delete(s.heldChanges, key)
		s.believedItems[key] = h.length == removedHold
		if current, ok := s.replica.Get(key); ok && current.Revision() == h.item.Revision() {
			changed = append(changed, current)
		}
	}
	s.publishRemovals()
	s.applyItems(now, changed)
}

// messagePosition returns the position up to which the sender of a message has all changes.
// Without an era, which daemons of earlier versions do not state, it is one of era 0.
func messagePosition(m *schema.Exchange) replica.Position {
	return replica.NewPosition(m.GetEra(), m.GetRevision())
}

// reachedPosition returns the position up to which the sender of a message need not be told of
// changes. A daemon of an earlier version has only a revision, which is compared as that of the
// era of this daemon: if it were taken for era 0, it would be sent all items each time.
func (g *gossiper) reachedPosition(m *schema.Exchange) replica.Position {
	if !m.HasEra() {
		return replica.NewPosition(g.replica.Position().Era(), m.GetRevision())
	}
	return messagePosition(m)
}

// catchUp asks a daemon that is in a later era for all items, unless this daemon is asking
// another one at the moment.
func (g *gossiper) catchUp(ip string) {
	h, ok := g.fleet.Host(ip)
	if !g.catchingUp.CompareAndSwap(false, true) {
		return
	}
	g.events.spawn(func() {
		defer g.catchingUp.Store(false)
		g.syncOnce(ip, ok && h.Centre() != g.centre)
	})
}

// storedConfig is a configuration as the store had it.
type storedConfig struct {
	item    replica.Item
	version uint64
	// at is the last position at which the store is known to have had it.
	at replica.Position
}

// supersedes reports whether a configuration replaces another one: it has a higher version, or
// the same version with other content and the store had it later. A store that was restored may
// be given another content of a version that it has lost, and what it has is what daemons that
// start get. A store without eras has lost nothing, so that its first content of a version holds.
func (c storedConfig) supersedes(old storedConfig) bool {
	if c.version != old.version {
		return c.version > old.version
	}
	return c.at.Era() > 0 && old.at.Before(c.at)
}

func (c storedConfig) sameContent(other storedConfig) bool {
	return c.version == other.version && bytes.Equal(c.item.Value(), other.item.Value())
}

// recordStoredAt records that the store had the configuration in force at a position. The caller
// holds applyMu.
func (s *fleetState) recordStoredAt(at replica.Position) {
	s.configEra = at.Era()
	if s.configSource.at.Before(at) {
		s.configSource.at = at
	}
}

// reviewConfig determines whether the store has lost the configuration in force. The caller holds
// applyMu.
func (s *fleetState) reviewConfig() {
	if s.config.Load() == nil {
		return
	}
	era := s.replica.Position().Era()
	if i, ok := s.replica.Get(s.configSource.item.Key()); ok && bytes.Equal(i.Value(), s.configSource.item.Value()) {
		s.recordStoredAt(replica.NewPosition(era, i.Revision()))
	}
	if s.configEra == era {
		s.lostConfig.Store(nil)
		return
	}
	lost := s.configSource
	s.lostConfig.Store(&lost)
}

// withConfig adds the configuration of a new era to its changes if it is not one, but has another
// value than the configuration in force, which may have come from another daemon. The caller holds
// applyMu.
func (s *fleetState) withConfig(changed []replica.Item) []replica.Item {
	key := s.configSource.item.Key()
	i, ok := s.replica.Get(key)
	if !ok || bytes.Equal(i.Value(), s.configSource.item.Value()) ||
		slices.ContainsFunc(changed, func(c replica.Item) bool { return c.Key() == key }) {
		return changed
	}
	return append(changed, i)
}

// version returns the configuration version in force, or 0 if there is none.
func (s *fleetState) version() uint64 {
	if cfg := s.config.Load(); cfg != nil {
		return cfg.Version()
	}
	return 0
}

// lacksConfig reports whether another daemon has a configuration that replaces the one in force.
func (s *fleetState) lacksConfig(c storedConfig) bool {
	if c.version < s.version() {
		return false
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	return c.supersedes(s.configSource)
}

// receiveLostConfig applies a configuration that the store has lost, or asks the sender for it if
// it only says that it has one. Versions increase over all eras, so that the higher one holds, and
// of one version the content that the store had last.
func (g *gossiper) receiveLostConfig(now time.Time, m *schema.Exchange) {
	lost := storedConfig{version: m.GetLostVersion(), at: replica.NewPosition(m.GetLostEra(), m.GetLostRevision())}
	if m.HasConfig() {
		i := m.GetConfig()
		if g.applyLostConfig(now, replica.NewItem(i.GetKey(), i.GetValue(), i.GetRevision()), lost.at, m.GetFrom()) {
			g.recheckPeers(m.GetFrom())
		}
		return
	}
	if lost.version == 0 || !g.lacksConfig(lost) || !g.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	g.events.spawn(func() {
		defer g.fetchingConfig.Store(false)
		request := g.newMessage()
		request.SetConfigAbove(lost.version - 1)
		answer, err := g.peers.exchange(g.ctx, m.GetFrom(), pushTimeout, request)
		if err != nil {
			g.events.stateChange("lost configuration not received", "from", m.GetFrom(), "version", lost.version, "error", err.Error())
			return
		}
		g.receive(time.Now(), answer)
	})
}

// applyLostConfig applies a configuration that the store had at a position and has lost, and reports
// whether it replaces the one in force. That position may be later than the revision of the item,
// if the same content was written again. The item is not merged into the replica, as the store does not
// have it.
func (s *fleetState) applyLostConfig(now time.Time, i replica.Item, at replica.Position, from string) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	c, err := s.decode(i)
	published, ok := c.(configChange)
	if err != nil || !ok {
		return false
	}
	next := storedConfig{item: i, version: published.config.Version(), at: at}
	if !next.supersedes(s.configSource) {
		return false
	}
	if next.sameContent(s.configSource) {
		s.configSource.at = next.at
		s.reviewConfig()
		return false
	}
	s.events.stateChange("configuration that the store has lost received", "version", next.version, "at", next.at.String(), "from", from)
	published.apply(now, s, i, at.Era())
	s.configSource.at, s.configEra = at, noEra
	s.reviewConfig()
	s.onChange(now)
	return true
}

// noEra is the era of a configuration that this daemon has not seen in the store.
const noEra = ^uint64(0)
