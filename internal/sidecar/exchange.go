package sidecar

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// newMessage returns a control message with this daemon's current state.
func (g *gossiper) newMessage() *schema.Exchange {
	m := &schema.Exchange{}
	m.SetFrom(g.self)
	setPosition(m, g.replica.Position())
	m.SetAge(g.reportedAge(time.Now()).Microseconds())
	m.SetAway(g.watcher.ineligible())
	m.SetLeaving(g.watcher.leaving.Load())
	m.SetReading(g.watcher.reading.Load())
	if lost := g.lostConfig.Load(); lost != nil {
		setLost(m, lost)
	}
	m.SetRemovals(g.messageRemovals(time.Now()))
	_, digest := g.quarantine.Shared(time.Now())
	m.SetQuarantine(digest)
	return m
}

// setLost sets the version in force that the store has lost, and where the store had it.
func setLost(m *schema.Exchange, c *storedConfig) {
	m.SetLostVersion(c.version)
	m.SetLostEra(c.at.Era())
	m.SetLostRevision(c.at.Revision())
}

// setPosition sets the position up to which this daemon has all changes. It sets the era also
// where it is 0, which shows that this daemon knows of eras.
func setPosition(m *schema.Exchange, p replica.Position) {
	m.SetEra(p.Era())
	m.SetRevision(p.Revision())
}

// reportedAge returns the replica's age as sent to other daemons.
func (g *gossiper) reportedAge(now time.Time) time.Duration {
	if g.confirmedAt.Load() == 0 {
		return unknownAge
	}
	return g.age(now)
}

// attachChanges adds the changes after a position to a message, or all items if
// it is in another era or the replica may have purged some of these changes.
func (g *gossiper) attachChanges(m *schema.Exchange, after replica.Position) {
	items, upTo, full := g.replica.ChangesSince(after)
	setPosition(m, upTo)
	m.SetWhole(full)
	m.SetAfter(after.Revision())
	size := 0
	for _, i := range items {
		size += len(i.Value())
	}
	if size >= compressionThreshold {
		if packed, err := g.pack(upTo.Era(), items); err == nil {
			m.SetPacked(packed)
			return
		}
	}
	m.SetItems(messageItems(items))
}

// packedItems are items in the form in which messages contain them.
type packedItems struct {
	// hash identifies the items.
	hash uint64
	data []byte
}

// pack returns the items as a compressed message. A change goes to several daemons in
// succession, so the last result is kept. Revisions identify the items within an era.
func (g *gossiper) pack(era uint64, items []replica.Item) ([]byte, error) {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, era))
	for _, i := range items {
		_, _ = h.WriteString(i.Key())
		_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, i.Revision()))
	}
	hash := h.Sum64()
	if last := g.packed.Load(); last != nil && last.hash == hash {
		return last.data, nil
	}
	data, err := packItems(messageItems(items))
	if err != nil {
		return nil, err
	}
	g.packed.Store(&packedItems{hash: hash, data: data})
	return data, nil
}

func messageItems(items []replica.Item) []*schema.Item {
	list := make([]*schema.Item, 0, len(items))
	for _, i := range items {
		list = append(list, schema.Item_builder{
			Key:      proto.String(i.Key()),
			Value:    i.Value(),
			Revision: proto.Uint64(i.Revision()),
			Removed:  proto.Bool(i.Removed()),
		}.Build())
	}
	return list
}

// receive processes a message from another daemon and reports whether that
// daemon's position is behind this one's.
func (g *gossiper) receive(now time.Time, m *schema.Exchange) bool {
	if m.GetFrom() == "" {
		return false
	}
	g.watcher.roster.heard(now, m.GetFrom(), m.GetReading())
	g.watcher.roster.introduce(now, m.GetDaemons())
	g.watcher.recordEligibility(now, m.GetFrom(), m.GetAway())
	g.limiter.recordMessage(now, m.GetFrom(), m.GetLeaving())
	// The store's revision also increases when keys change that daemons do not
	// replicate, so a higher revision without items is no reason to recheck peers.
	if m.HasAfter() {
		before := g.replica.Position()
		g.receiveItems(now, m)
		if len(m.GetItems()) > 0 && before.Before(g.replica.Position()) {
			g.recheckPeers(m.GetFrom())
		}
	}
	own, theirs := g.replica.Position(), messagePosition(m)
	switch {
	case own.Era() < theirs.Era():
		g.catchUp(m.GetFrom())
	// What a daemon of an earlier era holds to be current may be an old copy of the store.
	case own.Era() == theirs.Era() && !own.Before(theirs) && theirs.Revision() > 0:
		g.confirmCurrent(now.Add(-time.Duration(m.GetAge()) * time.Microsecond))
	}
	g.receiveLostConfig(now, m)
	g.receiveRemovals(now, m)
	g.receiveCrashes(now, m)
	if numbers := m.GetWithdrawn(); len(numbers) > 0 {
		g.events.stateChange("requests withdrawn", "from", m.GetFrom(), "requests", len(numbers), "refused", g.waiting.withdraw(numbers))
	}
	g.limiter.applyLeases(now, m.GetFrom(), m.GetShares())
	if ip := m.GetUnreached(); ip != "" && ip != g.self {
		g.events.spawn(func() { g.detector.checkReachable(ip) })
	}
	return g.reachedPosition(m).Before(g.replica.Position())
}

func (g *gossiper) receiveItems(now time.Time, m *schema.Exchange) {
	items := make([]replica.Item, 0, len(m.GetItems()))
	for _, i := range m.GetItems() {
		if i.GetRemoved() {
			items = append(items, replica.NewTombstone(i.GetKey(), i.GetRevision()))
		} else {
			items = append(items, replica.NewItem(i.GetKey(), i.GetValue(), i.GetRevision()))
		}
	}
	at := messagePosition(m)
	switch {
	case at.Era() < g.replica.Position().Era():
		g.earlierEraMessages.Add(1)
		if len(items) > 0 {
			g.events.stateChange("items of an earlier era ignored", "from", m.GetFrom(), "at", at.String(), "items", len(items))
		}
	case m.GetWhole() && at.Revision() > 0:
		g.replaceAll(now, items, at, m.GetFrom())
	default:
		g.applyChanges(now, items, m.GetAfter(), at)
	}
}
