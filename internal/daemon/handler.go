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
	// Who asks is there, whatever was seen of it before.
	d.core.members.RecordSuccess(from)
	if r.HasCall() {
		d.serveCall(ctx, r.GetCall(), s)
		return
	}
	a := d.control(from, r)
	if a == nil || s.WriteAnswer(a) != nil {
		s.Abort()
		return
	}
	_ = s.CloseSend()
}

// control answers a control message, or returns nil to one that it does not
// know.
func (d *Daemon) control(from string, r *schema.Request) *schema.Answer {
	now := time.Now()
	switch {
	case r.HasOffer():
		return d.takeOffer(now, from, r.GetOffer())
	case r.HasPull():
		return d.givePull(r.GetPull())
	case r.HasGossip():
		return d.giveGossip(now, from, r.GetGossip())
	case r.HasBorrow():
		return d.lend(now, r.GetBorrow())
	case r.HasClaim():
		return d.vote(now, r.GetClaim())
	case r.HasSettle():
		return d.settleClaim(now, r.GetSettle())
	case r.HasDeath():
		m := r.GetDeath()
		d.egress.quarantine.RecordCrash(now, backend.NewRequestKey(m.GetCustomer(), m.GetFingerprint()))
		return ack(false)
	}
	return nil
}

func ack(want bool) *schema.Answer {
	return schema.Answer_builder{Ack: schema.Ack_builder{Want: proto.Bool(want)}.Build()}.Build()
}

// takeOffer judges a version that a peer pushes. Where its base is not held the
// version is pulled instead.
func (d *Daemon) takeOffer(now time.Time, from string, o *schema.Offer) *schema.Answer {
	verdict, _ := d.spread.take(now, o.GetUpdate(), from)
	if verdict == platform.MissingParts {
		d.core.tasks.start(func() { d.spread.pull(from) })
		return ack(true)
	}
	return ack(false)
}

func (d *Daemon) givePull(p *schema.Pull) *schema.Answer {
	theirs := platform.NewVersion(p.GetVersion(), platform.DigestFromBytes(p.GetDigest()))
	update := schema.Update_builder{Empty: proto.Bool(true)}.Build()
	if d.core.store.Version().Compare(theirs) > 0 {
		if u, ok := d.core.store.UpdateFrom(theirs.Digest()); ok {
			update = encodeUpdate(u)
		}
	}
	return schema.Answer_builder{Update: update}.Build()
}

// giveGossip answers a comparison, and pulls where the other side is ahead. An
// empty comparison is a call for a sign of life.
func (d *Daemon) giveGossip(now time.Time, from string, g *schema.Gossip) *schema.Answer {
	if !g.HasFrom() {
		return schema.Answer_builder{Gossip: &schema.Gossip{}}.Build()
	}
	d.spread.hear(now, from, g)
	if d.spread.behind(g) {
		d.core.tasks.start(func() { d.spread.pull(from) })
	}
	return schema.Answer_builder{Gossip: d.spread.message(now, g.GetMembers())}.Build()
}

func (d *Daemon) lend(now time.Time, b *schema.Borrow) *schema.Answer {
	g := d.ledger.lender.Lend(now, b.GetCustomer(), int(b.GetAllotment()), int(b.GetCount()))
	return schema.Answer_builder{Grant: schema.Grant_builder{
		Count:    proto.Uint32(uint32(g.Count())),
		Validity: durationpb.New(g.Validity()),
		Again:    durationpb.New(g.RetryAfter()),
	}.Build()}.Build()
}

// vote answers a claim. Before the first version nothing is vouched for.
func (d *Daemon) vote(now time.Time, m *schema.Claim) *schema.Answer {
	vote := caller.VoteAbstain
	if cfg := d.core.config(); cfg != nil {
		vote = d.ledger.claims.Claim(now, cfg.Policy(), caller.NewAttempt(m.GetCustomer(), m.GetKey(), m.GetAttempt()))
	}
	return schema.Answer_builder{Vote: schema.Vote_builder{State: votes.forth[vote].Enum()}.Build()}.Build()
}

func (d *Daemon) settleClaim(now time.Time, m *schema.Settle) *schema.Answer {
	if cfg := d.core.config(); cfg != nil {
		a := caller.NewAttempt(m.GetCustomer(), m.GetKey(), m.GetAttempt())
		d.ledger.claims.Settle(now, cfg.Policy(), a, outcomes.back[m.GetOutcome()])
	}
	return ack(false)
}

// serveCall runs a call of another daemon at the backend server.
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

// smallBody is the size in bytes up to which an answer's head waits for its
// body, to go out together.
const smallBody = 2 << 10

// sendBody passes an answer's body on as it comes.
func sendBody(s *peerquic.Stream, r *reply) error {
	if r.body == nil {
		return nil
	}
	if r.length < 0 || r.length > smallBody {
		if err := s.Flush(); err != nil {
			return err
		}
	}
	buf := make([]byte, bodyBuffer)
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
		case r.length < 0 || r.length > smallBody:
			if err := s.Flush(); err != nil {
				return err
			}
		}
	}
}
