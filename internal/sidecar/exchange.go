package sidecar

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// newMessage returns a control message with this daemon's current state.
func (s *gossiper) newMessage() *schema.Exchange {
	m := &schema.Exchange{}
	m.SetFrom(s.self)
	m.SetRevision(s.replica.Revision())
	m.SetAge(s.reportedAge(time.Now()).Microseconds())
	m.SetAway(s.watcher.ineligible())
	m.SetLeaving(s.watcher.leaving.Load())
	return m
}

func (s *gossiper) reportedAge(now time.Time) time.Duration {
	if s.confirmedAt.Load() == 0 {
		return unknownAge
	}
	return s.age(now)
}

// attachChanges adds the changes after a revision to a message.
func (s *gossiper) attachChanges(m *schema.Exchange, after uint64) {
	items, upTo, whole := s.replica.ChangesSince(after)
	m.SetRevision(upTo)
	m.SetWhole(whole)
	m.SetAfter(after)
	list := make([]*schema.Item, 0, len(items))
	for _, i := range items {
		list = append(list, schema.Item_builder{
			Key:      proto.String(i.Key()),
			Value:    i.Value(),
			Revision: proto.Uint64(i.Revision()),
			Removed:  proto.Bool(i.Removed()),
		}.Build())
	}
	m.SetItems(list)
}

// receive processes a message of another daemon and reports whether that
// daemon's revision is behind this one's.
func (s *gossiper) receive(now time.Time, m *schema.Exchange) bool {
	if m.GetFrom() == "" {
		return false
	}
	s.watcher.recordEligibility(now, m.GetFrom(), m.GetAway())
	s.limiter.recordHeard(now, m.GetFrom(), m.GetLeaving())
	// The store's revision also increases with changes of keys that no daemon
	// follows.
	if m.HasAfter() {
		before := s.replica.Revision()
		s.receiveItems(now, m)
		if len(m.GetItems()) > 0 && s.replica.Revision() > before {
			s.recheckPeers(m.GetFrom())
		}
	}
	if s.replica.Revision() >= m.GetRevision() && m.GetRevision() > 0 {
		s.confirmCurrent(now.Add(-time.Duration(m.GetAge()) * time.Microsecond))
	}
	for _, c := range m.GetCrashes() {
		s.quarantine.RecordCrash(now, backend.NewRequestKey(c.GetCustomer(), c.GetFingerprint()))
		s.events.belief("crash report received", "customer", c.GetCustomer(), "fingerprint", c.GetFingerprint(), "from", m.GetFrom())
	}
	s.limiter.applyLeases(now, m.GetShares())
	if ip := m.GetUnreached(); ip != "" && ip != s.self {
		go s.detector.verify(ip)
	}
	return m.GetRevision() < s.replica.Revision()
}

func (s *gossiper) receiveItems(now time.Time, m *schema.Exchange) {
	items := make([]replica.Item, 0, len(m.GetItems()))
	for _, i := range m.GetItems() {
		if i.GetRemoved() {
			items = append(items, replica.NewTombstone(i.GetKey(), i.GetRevision()))
		} else {
			items = append(items, replica.NewItem(i.GetKey(), i.GetValue(), i.GetRevision()))
		}
	}
	if m.GetWhole() && m.GetRevision() > 0 {
		s.replacePrefix(now, "", items, m.GetRevision())
		s.replica.AdvanceRevision(m.GetRevision())
		return
	}
	s.applyChanges(now, items, m.GetAfter(), m.GetRevision())
}
