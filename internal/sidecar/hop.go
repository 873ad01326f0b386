package sidecar

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// Header fields between daemons.
const (
	hopHeader    = "Lycheehead-Hop"
	reportHeader = "Lycheehead-Report"
)

// setMessage puts a message into a header field.
func setMessage(h http.Header, name string, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	h.Set(name, base64.RawStdEncoding.EncodeToString(data))
	return nil
}

// takeMessage takes a message out of a header field.
func takeMessage(h http.Header, name string, m proto.Message) error {
	data, err := base64.RawStdEncoding.DecodeString(h.Get(name))
	if err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	h.Del(name)
	return nil
}

func encodeHop(w *work, instance string, now time.Time, choosy bool) *schema.Hop {
	nested, customer, route := w.rank.Components()
	// The receiver's clock begins now, whatever this one's has missed.
	now = now.Add(w.suspended.Elapsed())
	return schema.Hop_builder{
		Service:      proto.String(w.service),
		Instance:     proto.String(instance),
		Timeout:      proto.Int64(w.deadline.Sub(now).Microseconds()),
		Objective:    proto.Int64(w.objective.Sub(now).Microseconds()),
		CustomerRank: proto.Uint32(uint32(customer)),
		RouteRank:    proto.Uint32(uint32(route)),
		Nested:       proto.Bool(nested),
		Once:         proto.Bool(w.once),
		Fingerprint:  proto.Uint64(w.fingerprint),
		Customer:     proto.String(w.customer),
		Version:      proto.Uint64(w.version),
		Final:        proto.Bool(!choosy),
		Route:        proto.String(w.route),
	}.Build()
}

// decodeHop reads what came with a request at an instant.
func decodeHop(m *schema.Hop, now time.Time) *work {
	return &work{
		service:     m.GetService(),
		route:       m.GetRoute(),
		customer:    m.GetCustomer(),
		rank:        backend.NewPriority(m.GetNested(), int(m.GetCustomerRank()), int(m.GetRouteRank())),
		once:        m.GetOnce(),
		fingerprint: m.GetFingerprint(),
		deadline:    now.Add(time.Duration(m.GetTimeout()) * time.Microsecond),
		objective:   now.Add(time.Duration(m.GetObjective()) * time.Microsecond),
		version:     m.GetVersion(),
		suspended:   suspend.Start(),
	}
}

func encodeReport(r *result) *schema.HopReport {
	m := schema.HopReport_builder{
		Reason:   proto.String(string(r.reason)),
		Unrun:    proto.Bool(r.outcome == caller.OutcomeNotRun),
		Offered:  proto.Bool(r.offered),
		Wait:     proto.Int64(r.again.Microseconds()),
		Instance: proto.String(r.instance),
	}.Build()
	encodeRoom(m, r.room)
	return m
}

// decodeReport reads what came back with an answer.
func decodeReport(m *schema.HopReport) *result {
	r := &result{
		outcome:  caller.OutcomeUnknown,
		reason:   caller.Reason(m.GetReason()),
		offered:  m.GetOffered(),
		again:    time.Duration(m.GetWait()) * time.Microsecond,
		room:     decodeRoom(m),
		instance: m.GetInstance(),
	}
	switch {
	case m.GetUnrun():
		r.outcome = caller.OutcomeNotRun
	case r.reason == caller.ReasonNone:
		r.outcome = caller.OutcomeRan
	}
	return r
}
