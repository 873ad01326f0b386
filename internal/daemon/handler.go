package daemon

import (
	"context"
	"io"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lycheehead/lycheehead/internal/peerquic"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/platform"
)

// ServePeer implements peerquic.Handler.
func (d *Daemon) ServePeer(ctx context.Context, from string, r *schema.Request, s *peerquic.Stream) {
	// A daemon that sends requests is reachable, despite any earlier failure.
	d.core.members.RecordSuccess(from)
	if r.HasCall() {
		d.serveCall(ctx, r.GetCall(), s)
		return
	}
	a := d.handleControl(from, r)
	if a == nil || s.WriteAnswer(a) != nil {
		s.Abort()
		return
	}
	_ = s.CloseSend()
}

// handleControl returns the answer to a control message, or nil if its kind is
// unknown.
func (d *Daemon) handleControl(from string, r *schema.Request) *schema.Answer {
	now := time.Now()
	switch {
	case r.HasOffer():
		return d.handleOffer(now, from, r.GetOffer())
	case r.HasPull():
		return d.handlePull(now, r.GetPull())
	case r.HasGossip():
		return d.handleGossip(now, from, r.GetGossip())
	case r.HasBorrow():
		return d.handleBorrow(now, r.GetBorrow())
	case r.HasClaim():
		return d.handleClaim(now, r.GetClaim())
	case r.HasSettle():
		return d.handleSettle(now, r.GetSettle())
	case r.HasDeath():
		d.handleCrash(now, from, r.GetDeath())
		return ack(false)
	}
	return nil
}

func ack(want bool) *schema.Answer {
	return schema.Answer_builder{Ack: schema.Ack_builder{Want: proto.Bool(want)}.Build()}.Build()
}

// handleOffer handles a version pushed by a peer. If this daemon does not hold the
// base of the update, it pulls the version instead.
func (d *Daemon) handleOffer(now time.Time, from string, o *schema.Offer) *schema.Answer {
	result, _ := d.replicator.applyUpdate(now, o.GetUpdate(), from)
	if result == platform.MissingParts {
		d.core.tasks.start(func() { d.replicator.pull(from) })
		return ack(true)
	}
	return ack(false)
}

func (d *Daemon) handlePull(now time.Time, p *schema.Pull) *schema.Answer {
	peerVersion := platform.NewVersion(p.GetVersion(), platform.DigestFromBytes(p.GetDigest()))
	// Read before the version, which may become the one in force in between.
	starting := d.feed.startup.Starting(now)
	update := schema.Update_builder{Empty: proto.Bool(true)}.Build()
	if d.core.store.Version().Compare(peerVersion) > 0 {
		if u, ok := d.core.store.UpdateFrom(peerVersion.Digest()); ok {
			update = encodeUpdate(u)
		}
	}
	if starting {
		update.SetStarting(true)
	}
	return schema.Answer_builder{Update: update}.Build()
}

// handleGossip handles a gossip message and pulls the version of the sender if it is
// newer. A message without a sender is a probe, with which a crash report may be repeated.
func (d *Daemon) handleGossip(now time.Time, from string, g *schema.Gossip) *schema.Answer {
	if !g.HasFrom() {
		if g.HasCrash() {
			d.handleCrash(now, from, g.GetCrash())
		}
		return schema.Answer_builder{Gossip: &schema.Gossip{}}.Build()
	}
	d.replicator.mergeGossip(now, from, g)
	if d.replicator.isBehind(g) {
		d.core.tasks.start(func() { d.replicator.pull(from) })
	}
	answer := d.replicator.gossipMessage(now, g.GetMembers())
	if reports, digest := d.core.quarantine.Shared(now); g.GetQuarantine() != digest {
		// The sender may have started since they were reported, or have missed a report.
		answer.SetCrashed(encodeCrashes(now, reports))
	}
	return schema.Answer_builder{Gossip: answer}.Build()
}

func (d *Daemon) handleBorrow(now time.Time, b *schema.Borrow) *schema.Answer {
	g := d.ledger.lender.Lend(now, b.GetCustomer(), int(b.GetAllotment()), int(b.GetCount()))
	return schema.Answer_builder{Grant: schema.Grant_builder{
		Count:    proto.Uint32(uint32(g.Count())),
		Validity: durationpb.New(g.Validity()),
		Again:    durationpb.New(g.RetryAfter()),
	}.Build()}.Build()
}

// handleClaim votes on a claim. It abstains before the first version.
func (d *Daemon) handleClaim(now time.Time, m *schema.Claim) *schema.Answer {
	vote := caller.VoteAbstain
	if cfg := d.core.config(); cfg != nil {
		vote = d.ledger.claims.Claim(now, cfg.Policy(), caller.NewAttempt(m.GetCustomer(), m.GetKey(), m.GetAttempt()))
	}
	return schema.Answer_builder{Vote: schema.Vote_builder{State: votes.forward[vote].Enum()}.Build()}.Build()
}

func (d *Daemon) handleSettle(now time.Time, m *schema.Settle) *schema.Answer {
	if cfg := d.core.config(); cfg != nil {
		a := caller.NewAttempt(m.GetCustomer(), m.GetKey(), m.GetAttempt())
		d.ledger.claims.Settle(now, cfg.Policy(), a, outcomes.backward[m.GetOutcome()])
	}
	return ack(false)
}

// handleCrash counts a crash report unless it is a repeated one.
func (d *Daemon) handleCrash(now time.Time, from string, m *schema.Death) {
	key := backend.NewRequestKey(m.GetCustomer(), m.GetFingerprint())
	counted := d.core.quarantine.RecordReport(now, from, m.GetId(), key, m.GetAge().AsDuration())
	d.core.log.Info("crash report received", "from", from, "customer", key.Customer(), "fingerprint", key.Fingerprint(),
		"age", m.GetAge().AsDuration().String(), "counted", counted)
}

// serveCall runs a call from another daemon at the backend server.
func (d *Daemon) serveCall(ctx context.Context, m *schema.Call, s *peerquic.Stream) {
	w := decodeWork(m, time.Now())
	admitted := func() error {
		reply := schema.Reply_builder{Admitted: proto.Bool(true)}.Build()
		if err := s.WriteAnswer(schema.Answer_builder{Reply: reply}.Build()); err != nil {
			return err
		}
		return s.Flush()
	}
	r := d.egress.serve(ctx, w, s, admitted)
	if r.body != nil {
		defer func() { _ = r.body.Close() }()
	}
	if err := s.WriteAnswer(encodeReply(r)); err != nil {
		s.Abort()
		return
	}
	if err := sendBody(s, r); err != nil {
		s.Abort()
		return
	}
	_ = s.CloseSend()
	s.StopReading()
}

// coalescedBodyBytes is the maximum length of a body that is sent in one flush
// with its reply.
const coalescedBodyBytes = 2 << 10

// sendBody forwards the body of a reply. It flushes after every read unless the
// body is small.
func sendBody(s *peerquic.Stream, r *reply) error {
	if r.body == nil {
		return nil
	}
	if r.length < 0 || r.length > coalescedBodyBytes {
		if err := s.Flush(); err != nil {
			return err
		}
	}
	buf := make([]byte, bodyBufferBytes)
	for {
		n, err := r.body.Read(buf)
		if n > 0 {
			if _, err := s.Write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF: //nolint:errorlint // readers return io.EOF itself
			return nil
		case err != nil:
			return err
		case r.length < 0 || r.length > coalescedBodyBytes:
			if err := s.Flush(); err != nil {
				return err
			}
		}
	}
}
