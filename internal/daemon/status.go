package daemon

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/customer"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// The states that Status reports.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateLeaving  = "leaving"
)

// Status returns the state of the daemon for operators. The fields are read one
// after another, so they may not match if the state changes meanwhile.
func (d *Daemon) Status() *schema.Status {
	now := time.Now()
	c := d.core
	load := d.egress.gate.Load()
	v := c.store.Version()
	s := schema.Status_builder{
		Name:    proto.String(c.self.Name()),
		Service: proto.String(c.self.Service()),
		Centre:  proto.String(c.self.Centre()),
		Version: proto.Uint64(v.Number()),
		Digest:  proto.String(v.Digest().String()),
		State:   proto.String(d.state(now)),
		Refused: c.store.RejectionReasons(),
		Running: proto.Uint32(uint32(load.Running())),
		Waiting: proto.Uint32(uint32(load.Waiting())),
		Window:  proto.Uint32(uint32(load.Window())),
		Members: proto.Uint32(uint32(len(c.members.All()))),
		Reader:  proto.Bool(d.feed.reader.Load()),
		Awaited: d.ledger.lender.PendingBackends(),
		Traffic: d.traffic(),
	}.Build()
	if age, ok := d.feed.confirmedAge(now); ok {
		s.SetConfirmed(durationpb.New(age))
	}
	if cfg := c.config(); cfg != nil {
		d.addConfig(now, cfg, s)
	}
	return s
}

func (d *Daemon) state(now time.Time) string {
	switch {
	case d.core.stopping.Load():
		return stateLeaving
	case d.feed.ready(now):
		return stateServing
	}
	return stateStarting
}

func (d *Daemon) traffic() *schema.Traffic {
	t := d.core.mesh.Traffic()
	return schema.Traffic_builder{
		ControlIn:     proto.Int64(t.ControlIn()),
		ControlOut:    proto.Int64(t.ControlOut()),
		PlatformIn:    proto.Int64(d.feed.client.Bytes()),
		PlatformCalls: proto.Int64(d.feed.client.Calls()),
	}.Build()
}

// addConfig adds the data centres, backend servers and limits of the version in force.
func (d *Daemon) addConfig(now time.Time, cfg *platform.Config, s *schema.Status) {
	for _, v := range cfg.Centres() {
		s.SetCentres(append(s.GetCentres(), schema.CentreStatus_builder{
			Name: proto.String(v.Name()),
			Out:  proto.Bool(v.OutOfService()),
		}.Build()))
	}
	available := d.core.available(now)
	for _, v := range cfg.Backends() {
		status := d.dispatcher.router.Status(now, cfg, v.Name(), available)
		s.SetBackends(append(s.GetBackends(), schema.BackendStatus_builder{
			Name:    proto.String(v.Name()),
			Service: proto.String(v.Service()),
			Centre:  proto.String(v.Centre()),
			Usable:  proto.Bool(status == "ok"),
			Reason:  proto.String(status),
		}.Build()))
	}
	for _, v := range cfg.Customers() {
		s.SetLimits(append(s.GetLimits(), schema.LimitStatus_builder{
			Customer:   proto.String(v.Name()),
			Rate:       proto.Float64(v.Rate()),
			Burst:      proto.Uint32(uint32(v.Burst())),
			Allotments: proto.Uint32(uint32(len(customer.SplitLimit(cfg, v).Allotments()))),
			Held:       proto.Uint32(uint32(d.ledger.lender.AllotmentCount(v.Name()))),
		}.Build()))
	}
}
