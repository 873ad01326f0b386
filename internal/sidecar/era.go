package sidecar

import (
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// drainHold is how long an instance that was draining stays so if the list of a new era shows it
// as ready. Its backend server writes its entry again within this time; until then the older
// entry would attract requests to a server that is about to stop.
const drainHold = 2 * time.Second

// heldChange is an instance of a new era's list that is not applied before a time.
type heldChange struct {
	item  replica.Item
	until time.Time
}

// replaceAll merges a list of all items as of a position and applies those that are new. from
// says where a list of a new era comes from.
func (s *fleetState) replaceAll(now time.Time, items []replica.Item, at replica.Position, from string) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	before := s.replica.Position()
	changed, newEra := s.replica.ReplaceAll(now, items, at)
	if !newEra {
		s.applyItems(now, changed)
		return
	}
	first := before == replica.Position{}
	if !first {
		changed = s.holdDraining(now, changed)
		s.events.stateChange("store restored, new era adopted", "from", before.String(), "to", at.String(), "source", from,
			"items", len(items), "changed", len(changed), "missing", s.replica.Leftovers(), "held", len(s.heldChanges))
		time.AfterFunc(drainHold, func() { s.events.protect(func() { s.expireEra(time.Now()) }) })
	}
	s.applyItems(now, changed)
	if len(changed) == 0 {
		// The other daemons have to learn of the era.
		s.onChange(now)
	}
}

// holdDraining removes from the changes of a new era those that would make a draining instance
// usable again, and holds them. The caller holds applyMu.
func (s *fleetState) holdDraining(now time.Time, changed []replica.Item) (rest []replica.Item) {
	for _, i := range changed {
		c, err := s.decode(i)
		if published, ok := c.(instanceChange); ok && err == nil {
			old, _, known := s.fleet.Get(now, published.instance.ID())
			if known && old.Draining() && !published.instance.Draining() {
				s.heldChanges[i.Key()] = heldChange{item: i, until: now.Add(drainHold)}
				s.events.stateChange("instance stays draining in new era", "instance", old.ID())
				continue
			}
		}
		rest = append(rest, i)
	}
	return rest
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
		if current, ok := s.replica.Get(key); ok && current.Revision() == h.item.Revision() {
			changed = append(changed, current)
		}
	}
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
