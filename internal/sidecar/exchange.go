package sidecar

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// newMessage returns a control message with this daemon's current state.
func (g *gossiper) newMessage() *schema.Exchange {
	m := &schema.Exchange{}
	m.SetFrom(g.self)
	m.SetRevision(g.replica.Revision())
	m.SetAge(g.reportedAge(time.Now()).Microseconds())
	m.SetAway(g.watcher.ineligible())
	m.SetLeaving(g.watcher.leaving.Load())
	m.SetReading(g.watcher.reading.Load())
	return m
}

// reportedAge returns the replica's age as sent to other daemons.
func (g *gossiper) reportedAge(now time.Time) time.Duration {
	if g.confirmedAt.Load() == 0 {
		return unknownAge
	}
	return g.age(now)
}

// attachChanges adds the changes after a revision to a message, or all items if
// the replica may have purged some of these changes.
func (g *gossiper) attachChanges(m *schema.Exchange, after uint64) {
	items, upTo, full := g.replica.ChangesSince(after)
	m.SetRevision(upTo)
	m.SetWhole(full)
	m.SetAfter(after)
	size := 0
	for _, i := range items {
		size += len(i.Value())
	}
	if size >= compressionThreshold {
		if packed, err := g.pack(items); err == nil {
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
// succession, so the last result is kept.
func (g *gossiper) pack(items []replica.Item) ([]byte, error) {
	var h xxhash.Digest
	h.Reset()
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
// daemon's revision is behind this one's.
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
		before := g.replica.Revision()
		g.receiveItems(now, m)
		if len(m.GetItems()) > 0 && g.replica.Revision() > before {
			g.recheckPeers(m.GetFrom())
		}
	}
	if g.replica.Revision() >= m.GetRevision() && m.GetRevision() > 0 {
		g.confirmCurrent(now.Add(-time.Duration(m.GetAge()) * time.Microsecond))
	}
	for _, c := range m.GetCrashes() {
		g.quarantine.RecordCrash(now, backend.NewRequestKey(c.GetCustomer(), c.GetFingerprint()))
		g.events.stateChange("crash report received", "customer", c.GetCustomer(), "fingerprint", c.GetFingerprint(), "from", m.GetFrom())
	}
	g.limiter.applyLeases(now, m.GetFrom(), m.GetShares())
	if ip := m.GetUnreached(); ip != "" && ip != g.self {
		g.events.spawn(func() { g.detector.checkReachable(ip) })
	}
	return m.GetRevision() < g.replica.Revision()
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
	if m.GetWhole() && m.GetRevision() > 0 {
		g.replacePrefix(now, "", items, m.GetRevision())
		g.replica.AdvanceRevision(m.GetRevision())
		return
	}
	g.applyChanges(now, items, m.GetAfter(), m.GetRevision())
}
