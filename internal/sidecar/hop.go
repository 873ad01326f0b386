package sidecar

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// Header fields of requests and responses between daemons. Their values are the
// messages schema.Hop and schema.HopReport.
const (
	hopHeader    = "Lycheehead-Hop"
	reportHeader = "Lycheehead-Report"
)

// setMessage encodes a message into a header field.
func setMessage(h http.Header, name string, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	h.Set(name, base64.RawStdEncoding.EncodeToString(data))
	return nil
}

// extractMessage decodes a message from a header field and deletes the field.
func extractMessage(h http.Header, name string, m proto.Message) error {
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

// encodeHop returns the message that describes a request to the daemon of an instance.
func encodeHop(req *request, instance string, number uint32, now time.Time, redirectable bool) *schema.Hop {
	nested, customer, route := req.priority.Components()
	// The receiver measures time from the arrival of the request, so the time that this
	// machine was suspended is subtracted here.
	now = now.Add(req.suspended.Elapsed())
	hop := schema.Hop_builder{
		Service:      proto.String(req.service),
		Instance:     proto.String(instance),
		Timeout:      proto.Int64(req.deadline.Sub(now).Microseconds()),
		Objective:    proto.Int64(req.objective.Sub(now).Microseconds()),
		CustomerRank: proto.Uint32(uint32(customer)),
		RouteRank:    proto.Uint32(uint32(route)),
		Nested:       proto.Bool(nested),
		Once:         proto.Bool(req.atMostOnce),
		Fingerprint:  proto.Uint64(req.fingerprint),
		Customer:     proto.String(req.customer),
		Version:      proto.Uint64(req.configVersion),
		Final:        proto.Bool(!redirectable),
		Route:        proto.String(req.route),
		Spent:        proto.Int64(req.spent.Microseconds()),
		Resent:       proto.Bool(req.resent),
		Number:       proto.Uint32(number),
	}.Build()
	if rank, ok := req.priority.CallRank(); ok {
		hop.SetCallRank(uint32(rank))
	}
	return hop
}

// decodeHop returns the request that a message describes. The times in the message are
// relative to now.
func decodeHop(m *schema.Hop, now time.Time) *request {
	priority := caller.NewPriority(m.GetNested(), int(m.GetCustomerRank()), int(m.GetRouteRank()))
	if m.HasCallRank() {
		parent := caller.NewPriority(false, int(m.GetCustomerRank()), int(m.GetRouteRank()))
		priority = parent.Call(int(m.GetCallRank()))
	}
	return &request{
		service:       m.GetService(),
		route:         m.GetRoute(),
		customer:      m.GetCustomer(),
		priority:      priority,
		atMostOnce:    m.GetOnce(),
		fingerprint:   m.GetFingerprint(),
		deadline:      now.Add(time.Duration(m.GetTimeout()) * time.Microsecond),
		objective:     now.Add(time.Duration(m.GetObjective()) * time.Microsecond),
		configVersion: m.GetVersion(),
		spent:         time.Duration(m.GetSpent()) * time.Microsecond,
		resent:        m.GetResent(),
		number:        m.GetNumber(),
		suspended:     suspend.Start(),
	}
}

func encodeReport(r *result) *schema.HopReport {
	m := schema.HopReport_builder{
		Reason:   proto.String(string(r.reason)),
		Unrun:    proto.Bool(r.outcome == caller.OutcomeNotRun),
		Offered:  proto.Bool(r.delivered),
		Wait:     proto.Int64(r.retryAfter.Microseconds()),
		Instance: proto.String(r.instance),
	}.Build()
	encodeLoad(m, r.load)
	m.SetCalls(uint32(r.calls.Calls()))
	m.SetCallsShort(uint32(r.calls.Short()))
	return m
}

// decodeReport returns the result that a message describes.
func decodeReport(m *schema.HopReport) *result {
	r := &result{
		outcome:    caller.OutcomeUnknown,
		reason:     caller.Reason(m.GetReason()),
		delivered:  m.GetOffered(),
		retryAfter: time.Duration(m.GetWait()) * time.Microsecond,
		load:       decodeLoad(m),
		calls:      upstream.NewCallReport(int(m.GetCalls()), int(m.GetCallsShort())),
		instance:   m.GetInstance(),
	}
	switch {
	case m.GetUnrun():
		r.outcome = caller.OutcomeNotRun
	case r.reason == caller.ReasonNone:
		r.outcome = caller.OutcomeRan
	}
	return r
}
