package daemon

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/platform"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// This file converts between the messages of the schema and the domain types. The
// packages that make decisions use only the latter.

func encodeInstance(i peer.Instance) *schema.Instance {
	return schema.Instance_builder{
		Name:        proto.String(i.Name()),
		Service:     proto.String(i.Service()),
		Centre:      proto.String(i.Centre()),
		Peer:        proto.String(i.PeerAddress()),
		Caller:      proto.String(i.CallerAddress()),
		Leaving:     proto.Bool(i.Leaving()),
		Revision:    proto.Uint64(i.Revision()),
		Incarnation: proto.Uint64(i.Incarnation()),
		Gone:        proto.Bool(i.Removed()),
	}.Build()
}

func encodeInstances(list []peer.Instance) []*schema.Instance {
	out := make([]*schema.Instance, 0, len(list))
	for _, i := range list {
		out = append(out, encodeInstance(i))
	}
	return out
}

func decodeInstance(m *schema.Instance) peer.Instance {
	return peer.NewInstance(m.GetName(), m.GetService(), m.GetCentre(), m.GetPeer(), m.GetCaller()).
		WithVersion(m.GetRevision(), m.GetIncarnation()).
		WithState(m.GetLeaving(), m.GetGone())
}

func decodeInstances(list []*schema.Instance) []peer.Instance {
	out := make([]peer.Instance, 0, len(list))
	for _, m := range list {
		out = append(out, decodeInstance(m))
	}
	return out
}

func encodeUpdate(u platform.Update) *schema.Update {
	m := u.Manifest()
	digest := m.Version().Digest()
	out := &schema.Update{}
	out.SetVersion(m.Version().Number())
	out.SetDigest(digest[:])
	if base := u.Base(); base != (platform.Digest{}) {
		out.SetBase(base[:])
	}
	out.SetChanges(bundle.EncodeParts(u.Changed()))
	out.SetRemoved(u.Removed())
	out.SetSigner(m.Signer())
	out.SetSignature(m.Signature())
	blobs := make([]*schema.Blob, 0, len(u.Blobs()))
	for _, data := range u.Blobs() {
		blobs = append(blobs, schema.Blob_builder{Data: data}.Build())
	}
	out.SetBlobs(blobs)
	return out
}

// enumMap converts between two sets of enum values. Unmapped values convert to zero,
// which in the domain types means that nothing is known: caller.OutcomeUnknown and
// caller.VoteAbstain.
type enumMap[A, B comparable] struct {
	forward  map[A]B
	backward map[B]A
}

func newEnumMap[A, B comparable](forward map[A]B) enumMap[A, B] {
	m := enumMap[A, B]{forward: forward, backward: make(map[B]A, len(forward))}
	for a, b := range forward {
		m.backward[b] = a
	}
	return m
}

var outcomes = newEnumMap(map[caller.Outcome]schema.Outcome{
	caller.OutcomeUnknown: schema.Outcome_OUTCOME_UNKNOWN,
	caller.OutcomeRan:     schema.Outcome_OUTCOME_RAN,
	caller.OutcomeNotRun:  schema.Outcome_OUTCOME_NOT_RUN,
})

var votes = newEnumMap(map[caller.Vote]schema.Vote_State{
	caller.VoteAbstain: schema.Vote_STATE_ABSTAIN,
	caller.VoteGranted: schema.Vote_STATE_GRANTED,
	caller.VotePending: schema.Vote_STATE_PENDING,
	caller.VoteRan:     schema.Vote_STATE_RAN,
	caller.VoteUnknown: schema.Vote_STATE_UNKNOWN,
})

func encodeFields(fields []Field) []*schema.Field {
	out := make([]*schema.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, schema.Field_builder{Name: proto.String(f.name), Value: proto.String(f.value)}.Build())
	}
	return out
}

func decodeFields(list []*schema.Field) []Field {
	out := make([]Field, 0, len(list))
	for _, m := range list {
		out = append(out, Field{name: m.GetName(), value: m.GetValue()})
	}
	return out
}

func encodeWork(w *work, now time.Time) *schema.Call {
	return schema.Call_builder{
		Method:      proto.String(w.method),
		Target:      proto.String(w.target),
		Fields:      encodeFields(w.fields),
		Route:       proto.String(w.route),
		Customer:    proto.String(w.context.Customer()),
		Key:         proto.String(w.keyDigest),
		Timeout:     durationpb.New(w.context.Deadline().Sub(now)),
		Depth:       proto.Uint32(uint32(w.context.Depth())),
		Retries:     proto.Uint32(uint32(w.context.Retries())),
		Length:      proto.Int64(w.length),
		Service:     proto.String(w.service),
		Once:        proto.Bool(w.atMostOnce),
		Fingerprint: proto.Uint64(w.fingerprint),
		Hold:        proto.Bool(w.deferBody),
		Open:        proto.Bool(w.context.Anonymous()),
		Weight:      proto.Uint32(uint32(w.weight)),
		Version:     proto.Uint64(w.version),
	}.Build()
}

// decodeWork decodes a call. The message carries a timeout instead of a deadline, so that
// the clocks of two daemons need not agree. It starts at now, the time of arrival.
func decodeWork(m *schema.Call, now time.Time) *work {
	deadline := now.Add(m.GetTimeout().AsDuration())
	return &work{
		method:      m.GetMethod(),
		target:      m.GetTarget(),
		fields:      decodeFields(m.GetFields()),
		route:       m.GetRoute(),
		keyDigest:   m.GetKey(),
		context:     caller.NewContext(m.GetCustomer(), m.GetOpen(), deadline, int(m.GetDepth()), int(m.GetRetries())),
		length:      m.GetLength(),
		service:     m.GetService(),
		atMostOnce:  m.GetOnce(),
		fingerprint: m.GetFingerprint(),
		deferBody:   m.GetHold(),
		weight:      int(m.GetWeight()),
		version:     m.GetVersion(),
	}
}

func encodeCrashes(now time.Time, reports []backend.CrashReport) []*schema.Death {
	list := make([]*schema.Death, 0, len(reports))
	for _, r := range reports {
		list = append(list, schema.Death_builder{
			Customer:    proto.String(r.Key().Customer()),
			Fingerprint: proto.Uint64(r.Key().Fingerprint()),
			Id:          proto.Uint64(r.ID()),
			Age:         durationpb.New(now.Sub(r.At())),
			Answered:    proto.Bool(r.Answered()),
		}.Build())
	}
	return list
}

func decodeCrashes(now time.Time, list []*schema.Death) []backend.CrashReport {
	reports := make([]backend.CrashReport, 0, len(list))
	for _, m := range list {
		key := backend.NewRequestKey(m.GetCustomer(), m.GetFingerprint())
		reports = append(reports, backend.NewCrashReport(m.GetId(), key, now.Add(-m.GetAge().AsDuration())).WithAnswer(m.GetAnswered()))
	}
	return reports
}

func encodeReply(r *reply) *schema.Answer {
	m := schema.Reply_builder{
		Outcome: outcomes.forward[r.outcome].Enum(),
		Status:  proto.Uint32(uint32(r.status)),
		Fields:  encodeFields(r.fields),
		Reason:  proto.String(string(r.reason)),
		Leaving: proto.Bool(r.leaving),
		Length:  proto.Int64(r.length),
		Load: schema.Load_builder{
			Running: proto.Uint32(uint32(r.load.Running())),
			Waiting: proto.Uint32(uint32(r.load.Waiting())),
			Window:  proto.Uint32(uint32(r.load.Window())),
		}.Build(),
	}.Build()
	return schema.Answer_builder{Reply: m}.Build()
}

func decodeReply(m *schema.Reply) *reply {
	l := m.GetLoad()
	return &reply{
		outcome: outcomes.backward[m.GetOutcome()],
		status:  int(m.GetStatus()),
		fields:  decodeFields(m.GetFields()),
		reason:  caller.Reason(m.GetReason()),
		leaving: m.GetLeaving(),
		length:  m.GetLength(),
		load:    upstream.NewLoad(int(l.GetRunning()), int(l.GetWaiting()), int(l.GetWindow())),
	}
}
