package sidecar

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// maxReportedRemovals is the maximum number of removals in a message, some 2 KB: on a link of 10 Mbit/s
// they take less than 2 ms.
const maxReportedRemovals = 32

// heldRemovals are the instances of an era that are held because they had been removed.
type heldRemovals struct {
	era  uint64
	held []heldChange
}

// publishRemovals makes the instances that are held because they had been removed part of the messages
// to other daemons. The caller holds applyMu.
func (s *fleetState) publishRemovals() {
	removals := &heldRemovals{era: s.replica.Position().Era()}
	for _, h := range s.heldChanges {
		if h.length == removedHold {
			removals.held = append(removals.held, h)
		}
	}
	s.heldRemovals.Store(removals)
}

// messageRemovals returns the removals that a message states: of the items that are as they were in
// the list of the era. If there are more than maxReportedRemovals, they begin at a random one.
func (g *gossiper) messageRemovals(now time.Time) []*schema.Removal {
	removals := g.heldRemovals.Load()
	if removals == nil || len(removals.held) == 0 {
		return nil
	}
	count := len(removals.held)
	begin := rand.IntN(count) //nolint:gosec // not security-relevant
	var list []*schema.Removal
	for n := range min(count, maxReportedRemovals) {
		h := removals.held[(begin+n)%count]
		current, ok := g.replica.Get(h.item.Key())
		remaining := h.until.Sub(now)
		if !ok || current.Revision() != h.item.Revision() || remaining <= 0 {
			continue
		}
		list = append(list, schema.Removal_builder{
			Key:       proto.String(h.item.Key()),
			Revision:  proto.Uint64(h.item.Revision()),
			Remaining: proto.Int64(remaining.Microseconds()),
			Era:       proto.Uint64(removals.era),
		}.Build())
	}
	return list
}

// receiveRemovals holds the instances that another daemon of the same era has seen removed.
func (g *gossiper) receiveRemovals(now time.Time, m *schema.Exchange) {
	if len(m.GetRemovals()) == 0 {
		return
	}
	if g.holdRemoved(now, m) {
		g.recheckPeers(m.GetFrom())
	}
}

// holdRemoved holds the instances that another daemon has seen removed, and reports whether some of
// them were used so far. They are held no longer than by that daemon, nor than if this one had seen the
// removal itself: an entry that has been there for longer since the era began is taken for renewed.
func (s *fleetState) holdRemoved(now time.Time, m *schema.Exchange) (learned bool) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	era := s.replica.Position().Era()
	for _, r := range m.GetRemovals() {
		i, ok := s.replica.Get(r.GetKey())
		left := min(time.Duration(r.GetRemaining())*time.Microsecond, s.eraAdoptedAt.Add(removedHold).Sub(now))
		switch {
		case !ok, r.GetEra() != era, i.Revision() != r.GetRevision(), left <= 0:
			continue
		case s.heldChanges[i.Key()].length == removedHold, s.believedItems[i.Key()]:
			continue
		}
		c, err := s.decode(i)
		published, ok := c.(instanceChange)
		if err != nil || !ok {
			continue
		}
		s.fleet.MarkLeft(now, published.instance.ID())
		s.heldChanges[i.Key()] = heldChange{item: i, until: now.Add(left), length: removedHold}
		time.AfterFunc(left, func() { s.events.protect(func() { s.expireEra(time.Now()) }) })
		s.events.stateChange("removal of instance learned in new era", "key", i.Key(), "at", i.Revision(), "from", m.GetFrom(), "for", left.String())
		learned = true
	}
	if learned {
		s.publishRemovals()
		s.onChange(now)
	}
	return learned
}
