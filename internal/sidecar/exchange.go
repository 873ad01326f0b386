package sidecar

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/replica"
)

// message tells what this daemon holds as it is sent.
func (s *spreader) message() *schema.Exchange {
	m := &schema.Exchange{}
	m.SetFrom(s.self)
	m.SetRevision(s.copy.Revision())
	m.SetAge(s.toldAge(time.Now()).Microseconds())
	m.SetAway(s.follower.unfit())
	m.SetLeaving(s.follower.leaving.Load())
	return m
}

func (s *spreader) toldAge(now time.Time) time.Duration {
	if s.confirmed.Load() == 0 {
		return ageUnknown
	}
	return s.age(now)
}

// attach adds to a message what changed after a revision.
func (s *spreader) attach(m *schema.Exchange, after uint64) {
	items, upTo, whole := s.copy.ChangesSince(after)
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

// take takes in what another daemon tells, and returns whether that one holds
// less than this one.
func (s *spreader) take(now time.Time, m *schema.Exchange) bool {
	if m.GetFrom() == "" {
		return false
	}
	s.follower.heard(now, m.GetFrom(), m.GetAway())
	s.limits.heard(now, m.GetFrom(), m.GetLeaving())
	// The store's revision also moves without a change that anyone follows.
	if m.HasAfter() {
		before := s.copy.Revision()
		s.takeItems(now, m)
		if len(m.GetItems()) > 0 && s.copy.Revision() > before {
			s.echo(m.GetFrom())
		}
	}
	if s.copy.Revision() >= m.GetRevision() && m.GetRevision() > 0 {
		s.confirm(now.Add(-time.Duration(m.GetAge()) * time.Microsecond))
	}
	for _, c := range m.GetCrashes() {
		s.quarantine.RecordCrash(now, backend.NewRequestKey(c.GetCustomer(), c.GetFingerprint()))
		s.events.stateChange("crash told", "customer", c.GetCustomer(), "fingerprint", c.GetFingerprint(), "from", m.GetFrom())
	}
	s.limits.granted(now, m.GetShares())
	if ip := m.GetUnreached(); ip != "" && ip != s.self {
		go s.reach.told(ip)
	}
	return m.GetRevision() < s.copy.Revision()
}

func (s *spreader) takeItems(now time.Time, m *schema.Exchange) {
	items := make([]replica.Item, 0, len(m.GetItems()))
	for _, i := range m.GetItems() {
		if i.GetRemoved() {
			items = append(items, replica.NewTombstone(i.GetKey(), i.GetRevision()))
		} else {
			items = append(items, replica.NewItem(i.GetKey(), i.GetValue(), i.GetRevision()))
		}
	}
	if m.GetWhole() && m.GetRevision() > 0 {
		s.relearn(now, "", items, m.GetRevision())
		s.copy.AdvanceRevision(m.GetRevision())
		return
	}
	s.learn(now, items, m.GetAfter(), m.GetRevision())
}
