package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// secondAfter is how much later than the first reader the others pass
	// changes on.
	secondAfter = 250 * time.Millisecond
	// echoFanout is how many others a daemon asks whether they lack a change that
	// it did not hear from a reader.
	echoFanout = 5
	// treeFanout is how many daemons each one passes a change on to.
	treeFanout = 4
	// feedTimeout bounds one try to send changes: on a connection that has gone
	// silent, or lost a packet, the next try takes a new one. The tries together
	// stay below the time in which a version has to be in force.
	feedTimeout = 500 * time.Millisecond
	feedTries   = 3
	// feedRounds bounds how often in a row one daemon is sent what it lacks.
	feedRounds = 4
	// missedMost is how often in a row a daemon whose backend server's entry
	// vanished may fail to answer before it counts as gone.
	missedMost = 2
)

// exchanger carries control messages to other daemons.
type exchanger interface {
	exchange(ctx context.Context, ip string, timeout time.Duration, m *schema.Exchange) (*schema.Exchange, error)
}

// push is the state of passing changes on to one daemon. One goroutine at a time
// talks to it, so that nothing is sent twice.
type push struct {
	// held is the revision that the daemon said it held, where known.
	held  uint64
	known bool
	// wanted is the revision that it is to hold.
	wanted uint64
	busy   bool
	// missed counts failures since the daemon answered last.
	missed int
}

func newPushes() *table.Table[string, push] { return table.New[string, push](lock.Routes) }

// changed passes changes on along the tree of the data centre, whose root is its
// first reader. Another reader looks a little later whether anyone lacks them.
func (s *spreader) changed() {
	for _, ip := range peer.Children(s.recipients(), s.self, treeFanout) {
		s.pushTo(ip)
	}
	if s.follower.rank() > 0 {
		s.later(s.compareCentre)
	}
}

// later does something once a little later, however often it is asked to.
func (s *spreader) later(do func()) {
	if !s.following.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(secondAfter, func() {
		s.following.Store(false)
		do()
	})
}

// echo asks a few daemons of the data centre whether they lack what this one
// learned of a daemon that it does not hear changes from: its readers may be gone.
func (s *spreader) echo(from string) {
	order := s.recipients()
	i := slices.Index(order, s.self)
	if i > 0 && order[(i-1)/treeFanout] == from || slices.Contains(order[:min(readersPerCentre, len(order))], from) {
		return
	}
	s.later(func() {
		rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, ip := range order[:min(echoFanout, len(order))] {
			if ip != s.self {
				s.begin(ip, push{})
			}
		}
	})
}

// recipients returns the daemons of the data centre in the order of the tree:
// readers first, and last those whose backend server's entry vanished. Such a
// daemon may still run and has to hear of changes, that one above all.
func (s *spreader) recipients() []string {
	order := s.follower.order()
	placed := make(map[string]bool, len(order))
	for _, name := range order {
		placed[name] = true
	}
	var live, vanished []string
	for _, h := range s.fleet.Hosts() {
		switch {
		case h.Centre() != s.centre || placed[h.IP()]:
		case h.Live():
			live = append(live, h.IP())
		case h.IP() == s.self || s.mayRun(h.IP()):
			vanished = append(vanished, h.IP())
		}
	}
	order = append(order, peer.Rank(s.centre, live)...)
	return append(order, peer.Rank(s.centre, vanished)...)
}

// mayRun says whether a daemon may still run whose backend server's entry
// vanished.
func (s *spreader) mayRun(ip string) bool {
	p, _ := s.told.Get(ip)
	return p.missed < missedMost
}

// compareCentre compares with all daemons of the data centre. Those that are
// being told hear of this daemon's copy anyway.
func (s *spreader) compareCentre() {
	for _, ip := range s.recipients() {
		if ip != s.self {
			s.begin(ip, push{})
		}
	}
}

// pushTo passes changes on to a daemon. One that is being told gets what came
// meanwhile with the next message.
func (s *spreader) pushTo(ip string) { s.begin(ip, push{wanted: s.copy.Revision()}) }

// begin talks to a daemon until it holds the revision that next wants. Without
// one, it only compares.
func (s *spreader) begin(ip string, next push) {
	var p push
	begin := false
	s.told.Update(ip, func(old push, _ bool) (push, bool) {
		begin = !old.busy
		old.busy = true
		old.wanted = max(old.wanted, next.wanted)
		p = old
		return old, true
	})
	if !begin {
		return
	}
	p.known = p.known && next.wanted > 0
	go s.pushLoop(ip, p)
}

func (s *spreader) pushLoop(ip string, p push) {
	for p.busy {
		held, err := s.bring(ip, p, feedTries)
		if err != nil {
			s.events.stateChange("daemon not told", "ip", ip, "error", err.Error())
		}
		s.told.Update(ip, func(old push, _ bool) (push, bool) {
			if err != nil {
				old.missed++
				old.known, old.busy = false, false
			} else {
				old.missed = 0
				old.held, old.known = held, true
				old.busy = held < old.wanted
			}
			p = old
			return old, true
		})
	}
}

// compare tells a daemon what this one holds. Whoever is behind gets what it
// lacks.
func (s *spreader) compare(ip string) {
	if _, err := s.bring(ip, push{}, 1); err != nil {
		s.events.stateChange("daemon not heard", "ip", ip, "error", err.Error())
	}
}

// bring sends a daemon what it lacks and returns the revision that it then
// holds. Where that is not known, it is asked first.
func (s *spreader) bring(ip string, p push, tries int) (held uint64, err error) {
	failed := 0
	for round := 0; round < feedRounds; {
		m := s.message()
		timeout := feedTimeout
		if p.known {
			s.attach(m, p.held)
		} else {
			m.SetWant(true)
			timeout = controlTimeout
		}
		answer, err := s.peers.exchange(s.ctx, ip, timeout, m)
		if err != nil {
			if failed++; failed >= tries {
				return 0, fmt.Errorf("bring up to %d: %w", m.GetRevision(), err)
			}
			continue
		}
		if !s.take(time.Now(), answer) {
			return answer.GetRevision(), nil
		}
		p.held, p.known = answer.GetRevision(), true
		round++
	}
	return p.held, nil
}

// crashed tells all daemons of a request that a backend server died of.
func (s *spreader) crashed(suspect backend.RequestKey) {
	for _, h := range s.others() {
		m := s.message()
		m.SetCrashes([]*schema.Crash{schema.Crash_builder{
			Customer:    proto.String(suspect.Customer()),
			Fingerprint: proto.Uint64(suspect.Fingerprint()),
		}.Build()})
		go func() {
			if _, err := s.peers.exchange(s.ctx, h.IP(), controlTimeout, m); err != nil {
				s.events.stateChange("crash not told", "ip", h.IP(), "error", err.Error())
			}
		}()
	}
}

// unreached tells the daemons of the data centre that one does not answer.
func (s *spreader) unreached(ip string) {
	for _, to := range s.recipients() {
		if to == s.self || to == ip {
			continue
		}
		m := s.message()
		m.SetUnreached(ip)
		go func() {
			if _, err := s.peers.exchange(s.ctx, to, controlTimeout, m); err != nil {
				s.events.stateChange("silence not told", "of", ip, "to", to, "error", err.Error())
			}
		}()
	}
}

// published says whether a machine is published, or lately was.
func (s *spreader) published(ip string) bool {
	return slices.ContainsFunc(s.fleet.Hosts(), func(h fleet.Host) bool { return h.IP() == ip })
}
