package sidecar

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/peer"
)

const (
	// demandEvery is the time between two reports of what customers ask for.
	demandEvery = 700 * time.Millisecond
	// leastReported is the demand, in requests of late, below which a daemon asks
	// for no part of a customer's limit and borrows from the reserve.
	leastReported = 2
	// borrowTimeout bounds the wait for a token, which delays a request. A machine
	// with little of its core left takes some tenths of a second to answer.
	borrowTimeout = 400 * time.Millisecond
	// borrowShare is the part of a request's time that the wait may take.
	borrowShare = 0.3
)

// grant answers a daemon's demands with its parts of the limits.
func (s *spreader) grant(now time.Time, m *schema.Exchange) []*schema.Share {
	if !m.GetSplit() {
		return nil
	}
	var out []*schema.Share
	for _, d := range m.GetDemands() {
		limit, ok := s.limit(d.GetCustomer())
		if !ok {
			continue
		}
		part := s.shares.Tell(now, limit, m.GetFrom(), d.GetRequests(), d.GetPart())
		out = append(out, schema.Share_builder{
			Customer: proto.String(d.GetCustomer()),
			Part:     proto.Float64(part),
		}.Build())
	}
	return out
}

// limit returns a customer's limit in force.
func (s *spreader) limit(name string) (customer.Limit, bool) {
	cfg := s.config.Load()
	if cfg == nil {
		return customer.Limit{}, false
	}
	c, ok := cfg.Customer(name)
	return customer.NewLimit(name, c.Rate(), c.Burst()), ok
}

// lend takes a token of a customer's reserve.
func (s *spreader) lend(now time.Time, name string) bool {
	limit, ok := s.limit(name)
	return ok && s.shares.Lend(now, limit)
}

// borrow asks for a token of a customer's reserve.
func (s *spreader) borrow(ctx context.Context, name string) bool {
	now := time.Now()
	splitter := s.splitter(name)
	if splitter == s.self {
		return s.lend(now, name)
	}
	m := s.message()
	m.SetBorrow(name)
	timeout := borrowTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Duration(float64(deadline.Sub(now))*borrowShare))
	}
	answer, err := s.peers.exchange(ctx, splitter, timeout, m)
	if err != nil {
		s.events.belief(false, "reserve not reached", "by", splitter, "error", err.Error())
		return false
	}
	return answer.GetLent()
}

// report tells the daemon that splits limits what customers ask for here.
func (s *spreader) report() {
	for s.ctx.Err() == nil {
		pause(s.ctx, demandEvery)
		now := time.Now()
		var all []*schema.Demand
		s.quota.Demands(now, func(name string, demand, part float64) {
			if demand < leastReported && part == 0 {
				return
			}
			all = append(all, schema.Demand_builder{
				Customer: proto.String(name),
				Requests: proto.Float64(demand),
				Part:     proto.Float64(part),
			}.Build())
		})
		lists := make(map[string][]*schema.Demand)
		for _, d := range all {
			splitter := s.splitter(d.GetCustomer())
			lists[splitter] = append(lists[splitter], d)
		}
		for splitter, list := range lists {
			m := s.message()
			m.SetDemands(list)
			m.SetSplit(true)
			s.tellSplitter(now, splitter, m)
		}
	}
}

// tellSplitter sends demands to the daemon that splits their limits, or takes
// them itself where it is the one.
func (s *spreader) tellSplitter(now time.Time, splitter string, m *schema.Exchange) {
	if splitter == s.self {
		for _, share := range s.grant(now, m) {
			s.quota.Grant(now, share.GetCustomer(), share.GetPart())
		}
		return
	}
	answer, err := s.peers.exchange(s.ctx, splitter, controlTimeout, m)
	if err != nil {
		s.events.belief(false, "limits not split", "by", splitter, "error", err.Error())
		return
	}
	s.take(time.Now(), answer)
}

// splitter returns the daemon that splits a customer's limit.
func (s *spreader) splitter(name string) string {
	names := []string{s.self}
	for _, h := range s.others() {
		if h.Live() {
			names = append(names, h.IP())
		}
	}
	return peer.Top(name, names, 1)[0]
}
