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
	// secondaryDelay is the delay after the first reader with which the other
	// readers pass changes on.
	secondaryDelay = 250 * time.Millisecond
	// recheckFanout is the number of peers that a daemon compares with after it
	// learned of a change from a daemon that it does not normally receive
	// changes from.
	recheckFanout = 5
	// treeFanout is the number of children of each daemon in the distribution
	// tree.
	treeFanout = 4
	// pushTimeout bounds one attempt to send changes. If a connection has
	// stalled or lost a packet, the next attempt uses a new one. All
	// pushAttempts together take less than the time within which a version has
	// to be in force.
	pushTimeout  = 500 * time.Millisecond
	pushAttempts = 3
	// maxPushRounds bounds the number of consecutive messages with missing
	// changes that are sent to one daemon.
	maxPushRounds = 4
	// maxMissed is the number of consecutive failures after which a daemon
	// whose backend server's entry vanished counts as gone.
	maxMissed = 2
)

// exchanger sends control messages to other daemons.
type exchanger interface {
	exchange(ctx context.Context, ip string, timeout time.Duration, m *schema.Exchange) (*schema.Exchange, error)
}

// pushState is the state of the updates to one daemon. At most one goroutine at
// a time sends to a daemon, so that nothing is sent twice.
type pushState struct {
	// held is the revision that the daemon reported, valid if known is set.
	held  uint64
	known bool
	// wanted is the revision that the daemon is to reach.
	wanted uint64
	busy   bool
	// missed is the number of failures since the daemon last answered.
	missed int
}

func newPushTable() *table.Table[string, pushState] { return table.New[string, pushState](lock.Routes) }

// propagate pushes changes to this daemon's children in the distribution tree
// of the data centre, whose root is the first reader. If this daemon is another
// reader, it compares with all daemons a little later, in case some did not
// receive the changes.
func (g *gossiper) propagate() {
	for _, ip := range peer.Children(g.recipients(), g.self, treeFanout) {
		g.pushTo(ip)
	}
	if g.watcher.readerRank() > 0 {
		g.runDelayed(g.syncCentre)
	}
}

// runDelayed runs do after secondaryDelay, unless a run is already scheduled.
func (g *gossiper) runDelayed(do func()) {
	if !g.syncPending.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(secondaryDelay, func() {
		g.syncPending.Store(false)
		do()
	})
}

// recheckPeers compares with a few random daemons of the data centre after this
// one received changes from a daemon that is neither its parent in the tree nor
// a reader: the readers of the data centre may have failed.
func (g *gossiper) recheckPeers(from string) {
	order := g.recipients()
	i := slices.Index(order, g.self)
	if i > 0 && order[(i-1)/treeFanout] == from || slices.Contains(order[:min(readersPerCentre, len(order))], from) {
		return
	}
	g.runDelayed(func() {
		rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, ip := range order[:min(recheckFanout, len(order))] {
			if ip != g.self {
				g.startPush(ip, pushState{})
			}
		}
	})
}

// recipients returns the daemons of the data centre in the order of the
// distribution tree: readers first, and last those whose backend server's entry
// vanished. Such a daemon may still run and has to receive changes, above all
// the removal of its own entry.
func (g *gossiper) recipients() []string {
	order := g.watcher.readerOrder()
	placed := make(map[string]bool, len(order))
	for _, name := range order {
		placed[name] = true
	}
	var live, vanished []string
	for _, h := range g.fleet.Hosts() {
		switch {
		case h.Centre() != g.centre || placed[h.IP()]:
		case h.Live():
			live = append(live, h.IP())
		case h.IP() == g.self || g.mayBeRunning(h.IP()):
			vanished = append(vanished, h.IP())
		}
	}
	order = append(order, peer.Rank(g.centre, live)...)
	return append(order, peer.Rank(g.centre, vanished)...)
}

// mayBeRunning reports whether a daemon whose backend server's entry vanished
// may still run.
func (g *gossiper) mayBeRunning(ip string) bool {
	p, _ := g.pushes.Get(ip)
	return p.missed < maxMissed
}

// syncCentre compares with all daemons of the data centre. Daemons with a push
// in progress are skipped: it tells them this daemon's revision anyway.
func (g *gossiper) syncCentre() {
	for _, ip := range g.recipients() {
		if ip != g.self {
			g.startPush(ip, pushState{})
		}
	}
}

// pushTo pushes changes to a daemon. If a push is in progress, changes that
// arrived in the meantime go with its next message.
func (g *gossiper) pushTo(ip string) { g.startPush(ip, pushState{wanted: g.replica.Revision()}) }

// startPush sends to a daemon until it holds the revision next.wanted. If that
// is zero, it only compares.
func (g *gossiper) startPush(ip string, next pushState) {
	var p pushState
	start := false
	g.pushes.Update(ip, func(old pushState, _ bool) (pushState, bool) {
		start = !old.busy
		old.busy = true
		old.wanted = max(old.wanted, next.wanted)
		p = old
		return old, true
	})
	if !start {
		return
	}
	p.known = p.known && next.wanted > 0
	go g.pushLoop(ip, p)
}

func (g *gossiper) pushLoop(ip string, p pushState) {
	for p.busy {
		held, err := g.syncPeer(ip, p, pushAttempts)
		if err != nil {
			g.events.stateChange("push to daemon failed", "ip", ip, "error", err.Error())
		}
		g.pushes.Update(ip, func(old pushState, _ bool) (pushState, bool) {
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

// syncOnce compares revisions with a daemon. Whichever is behind receives the
// changes that it lacks.
func (g *gossiper) syncOnce(ip string) {
	if _, err := g.syncPeer(ip, pushState{}, 1); err != nil {
		g.events.stateChange("comparison with daemon failed", "ip", ip, "error", err.Error())
	}
}

// syncPeer sends a daemon the changes that it lacks and returns the revision
// that it then holds. If its revision is not known, the first message asks for
// it.
func (g *gossiper) syncPeer(ip string, p pushState, tries int) (held uint64, err error) {
	failed := 0
	for round := 0; round < maxPushRounds; {
		m := g.newMessage()
		timeout := pushTimeout
		if p.known {
			g.attachChanges(m, p.held)
		} else {
			m.SetWant(true)
			timeout = controlTimeout
		}
		answer, err := g.peers.exchange(g.ctx, ip, timeout, m)
		if err != nil {
			if failed++; failed >= tries {
				return 0, fmt.Errorf("sync to revision %d: %w", m.GetRevision(), err)
			}
			continue
		}
		if !g.receive(time.Now(), answer) {
			return answer.GetRevision(), nil
		}
		p.held, p.known = answer.GetRevision(), true
		round++
	}
	return p.held, nil
}

// broadcastCrash reports to all daemons a request that crashed a backend
// server.
func (g *gossiper) broadcastCrash(suspect backend.RequestKey) {
	for _, h := range g.otherHosts() {
		m := g.newMessage()
		m.SetCrashes([]*schema.Crash{schema.Crash_builder{
			Customer:    proto.String(suspect.Customer()),
			Fingerprint: proto.Uint64(suspect.Fingerprint()),
		}.Build()})
		go func() {
			if _, err := g.peers.exchange(g.ctx, h.IP(), controlTimeout, m); err != nil {
				g.events.stateChange("crash report not delivered", "ip", h.IP(), "error", err.Error())
			}
		}()
	}
}

// broadcastUnreachable reports to the daemons of the data centre that one does
// not answer.
func (g *gossiper) broadcastUnreachable(ip string) {
	for _, to := range g.recipients() {
		if to == g.self || to == ip {
			continue
		}
		m := g.newMessage()
		m.SetUnreached(ip)
		go func() {
			if _, err := g.peers.exchange(g.ctx, to, controlTimeout, m); err != nil {
				g.events.stateChange("unreachable report not delivered", "of", ip, "to", to, "error", err.Error())
			}
		}()
	}
}

// isPublished reports whether a host is published, or was until recently.
func (g *gossiper) isPublished(ip string) bool {
	return slices.ContainsFunc(g.fleet.Hosts(), func(h fleet.Host) bool { return h.IP() == ip })
}
