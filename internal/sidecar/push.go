package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/replica"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// secondaryDelay is how long readers other than the first wait before they
	// send changes to other daemons.
	secondaryDelay = 250 * time.Millisecond
	// recheckFanout is the number of random daemons that a daemon syncs with after
	// it received a change from a daemon that it does not normally receive
	// changes from.
	recheckFanout = 5
	// treeFanout is the number of children of each daemon in the distribution
	// tree.
	treeFanout = 4
	// pushTimeout bounds one attempt to send changes. If a connection has
	// stalled or lost a packet, the next attempt uses a new one. All
	// pushAttempts together take less than the time within which a configuration
	// version has to be in force.
	pushTimeout  = 500 * time.Millisecond
	pushAttempts = 3
	// maxPushRounds bounds the number of consecutive messages with missing
	// changes that are sent to one daemon.
	maxPushRounds = 4
	// outdatedAge is the age from which a replica lacks changes because its data centre
	// does not get them from the store, and not because they are still on their way. It
	// leaves time to get them from another data centre before they have to be in force.
	outdatedAge = 1200 * time.Millisecond
	// maxTransfers is the number of large messages that are sent at a time.
	maxTransfers = 2
	// maxPushFailures is the number of consecutive failed pushes after which a
	// daemon is assumed to have stopped if its instance is no longer published.
	maxPushFailures = 2
)

// exchanger sends control messages to other daemons.
type exchanger interface {
	exchange(ctx context.Context, ip string, timeout time.Duration, m *schema.Exchange) (*schema.Exchange, error)
}

// pushState is the state of the pushes to one daemon. At most one goroutine at a
// time sends to a daemon, so that nothing is sent twice.
type pushState struct {
	// position is the position that the daemon last reported, valid if positionKnown
	// is set.
	position      replica.Position
	positionKnown bool
	// target is the position up to which the daemon has to be updated.
	target     replica.Position
	inProgress bool
	// remote indicates that the daemon is in another data centre, which reads the store
	// itself. Items are exchanged only if the replica that lacks them is outdated.
	remote bool
	// greeting asks for the daemons of the data centre.
	greeting bool
	// introduced is the number of the last daemon that was reported to this one, and daemons
	// are those to report in the next message.
	introduced uint64
	daemons    []string
	// failures is the number of failed pushes since the last successful one.
	failures int
}

func newPushTable() *table.Table[string, pushState] { return table.New[string, pushState](lock.Routes) }

// propagate pushes changes to this daemon's children in the distribution tree
// of the data centre, whose root is the first reader. Other readers, and daemons that read in
// their place, also sync with all daemons after secondaryDelay, in case some did not
// receive the changes.
func (g *gossiper) propagate() {
	for _, ip := range peer.Children(g.recipients(), g.self, treeFanout) {
		g.pushTo(ip)
	}
	if rank := g.watcher.readerRank(); rank > 0 || rank < 0 && g.watcher.substitutes(time.Now()) {
		g.runDelayed(g.syncCentre)
	}
}

// runDelayed calls sync after secondaryDelay, unless a call is already scheduled.
func (g *gossiper) runDelayed(sync func()) {
	if !g.syncPending.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(secondaryDelay, func() {
		g.syncPending.Store(false)
		g.events.protect(sync)
	})
}

// recheckPeers syncs with a few random daemons of the data centre after this one
// received changes from a daemon that is neither its parent in the tree nor a
// reader. The readers of the data centre may have failed in that case, so that
// others lack the changes.
func (g *gossiper) recheckPeers(from string) {
	order := g.recipients()
	i := slices.Index(order, g.self)
	if i > 0 && order[(i-1)/treeFanout] == from || slices.Contains(firstReaders(order), from) {
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
// distribution tree: readers first, then those that do not answer, and last those whose
// instance is no longer published. Such a daemon may still be running and has to receive
// changes, above all the removal of its own instance.
func (g *gossiper) recipients() []string {
	order := g.watcher.readerOrder()
	eligible := make(map[string]bool, len(order))
	for _, ip := range order {
		eligible[ip] = true
	}
	var ineligible, unpublished []string
	for _, h := range g.fleet.Hosts() {
		switch {
		case h.Centre() != g.centre || eligible[h.IP()] || !g.watcher.roster.known(h.IP()):
		case h.Live():
			ineligible = append(ineligible, h.IP())
		case h.IP() == g.self || g.mayBeRunning(h.IP()):
			unpublished = append(unpublished, h.IP())
		}
	}
	order = append(order, peer.Rank(g.centre, ineligible)...)
	return append(order, peer.Rank(g.centre, unpublished)...)
}

// mayBeRunning reports whether a daemon whose instance is no longer published may
// still be running.
func (g *gossiper) mayBeRunning(ip string) bool {
	p, _ := g.pushes.Get(ip)
	return p.failures < maxPushFailures
}

// syncCentre syncs with all daemons of the data centre. Daemons with a push in
// progress are skipped, because its messages contain this daemon's revision.
func (g *gossiper) syncCentre() {
	for _, ip := range g.recipients() {
		if ip != g.self {
			g.startPush(ip, pushState{})
		}
	}
}

// pushTo pushes the changes up to the current position to a daemon. If a push is in
// progress, its next message contains them.
func (g *gossiper) pushTo(ip string) {
	g.startPush(ip, pushState{target: g.replica.Position()})
}

// startPush starts sending to a daemon until it has reached the requested target
// position. If that is zero, it syncs once. A push in progress is extended to the
// target position.
func (g *gossiper) startPush(ip string, requested pushState) {
	var p pushState
	start := false
	g.pushes.Update(ip, func(old pushState, _ bool) (pushState, bool) {
		start = !old.inProgress
		old.inProgress = true
		if old.target.Before(requested.target) {
			old.target = requested.target
		}
		p = old
		return old, true
	})
	if !start {
		return
	}
	p.positionKnown = p.positionKnown && requested.target != replica.Position{}
	g.events.spawn(func() { g.pushLoop(ip, p) })
}

// pushLoop sends to a daemon until it has reached the target position or a push has
// failed.
func (g *gossiper) pushLoop(ip string, p pushState) {
	for p.inProgress {
		introduced := p.introduced
		// Most pushes have nothing to report, so the rank is not determined for them.
		if g.watcher.roster.learned.Load() != introduced && g.watcher.distributes(time.Now()) {
			p.daemons, introduced = g.watcher.roster.introductions(introduced)
		}
		position, err := g.syncPeer(ip, p, pushAttempts)
		if err != nil {
			g.events.stateChange("push to daemon failed", "ip", ip, "error", err.Error())
			g.markSilent(ip, err)
		}
		g.pushes.Update(ip, func(old pushState, _ bool) (pushState, bool) {
			if err != nil {
				old.failures++
				old.positionKnown, old.inProgress = false, false
				old.introduced = 0
			} else {
				old.failures = 0
				old.position, old.positionKnown = position, true
				old.introduced = introduced
				old.inProgress = position.Before(old.target)
			}
			p = old
			return old, true
		})
	}
}

// syncOnce compares positions with a daemon and sends it the changes that it lacks. remote
// states that the daemon is in another data centre.
func (g *gossiper) syncOnce(ip string, remote bool) {
	if _, err := g.syncPeer(ip, pushState{remote: remote}, 1); err != nil {
		g.events.stateChange("sync with daemon failed", "ip", ip, "error", err.Error())
		g.markSilent(ip, err)
	}
}

// markSilent records that a daemon did not answer, unless the reason is this machine.
func (g *gossiper) markSilent(ip string, err error) {
	if g.ctx.Err() == nil && !localShortage(err) {
		g.watcher.roster.markSilent(ip)
	}
}

// syncPeer sends a daemon the changes that it lacks and returns the position that
// it has reached. If its position is not known, the first message requests it, and
// the answer contains the changes that this daemon lacks.
func (g *gossiper) syncPeer(ip string, p pushState, attempts int) (position replica.Position, err error) {
	var transfer *peer.Transfer
	endTransfer := func() {
		if transfer != nil {
			g.transfers.End(transfer)
		}
		transfer = nil
	}
	defer endTransfer()
	failed := 0
	for round := 0; round < maxPushRounds; {
		m := g.newMessage()
		m.SetGreeting(p.greeting)
		m.SetDaemons(p.daemons)
		timeout := pushTimeout
		if p.positionKnown {
			g.attachChanges(m, p.position)
		} else {
			m.SetWant(!p.remote || g.reportedAge(time.Now()) > outdatedAge)
			if transfer == nil {
				timeout = controlTimeout
			}
		}
		if m.HasPacked() && transfer == nil {
			var waited, repair bool
			if transfer, waited, repair, err = g.beginTransfer(ip); err != nil {
				return replica.Position{}, err
			}
			if waited {
				// There may be newer changes now, and others may have sent them to the
				// daemon, unless it gets them from this one.
				p.positionKnown = !repair
				continue
			}
		}
		answer, err := g.peers.exchange(g.ctx, ip, timeout, m)
		if err != nil {
			// A daemon that does not answer must not hold up the transfers to others.
			endTransfer()
			if failed++; failed >= attempts {
				return replica.Position{}, fmt.Errorf("sync to position %s: %w", messagePosition(m), err)
			}
			continue
		}
		behind := g.receive(time.Now(), answer)
		g.returnCrashes(ip, answer)
		if !behind || p.remote && time.Duration(answer.GetAge())*time.Microsecond <= outdatedAge {
			return g.reachedPosition(answer), nil
		}
		p.position, p.positionKnown, p.daemons = g.reachedPosition(answer), true, nil
		round++
	}
	return p.position, nil
}

// beginTransfer waits until a large message may be sent to a daemon. It reports whether it had
// to wait, and whether the daemon is none of this one's children in the distribution tree.
func (g *gossiper) beginTransfer(ip string) (t *peer.Transfer, waited, repair bool, err error) {
	repair = !slices.Contains(peer.Children(g.recipients(), g.self, treeFanout), ip)
	t = g.transfers.Begin(repair)
	select {
	case <-t.Started():
		return t, false, repair, nil
	default:
	}
	select {
	case <-t.Started():
		return t, true, repair, nil
	case <-g.ctx.Done():
		g.transfers.End(t)
		return nil, true, repair, fmt.Errorf("wait for other transfers: %w", context.Cause(g.ctx))
	}
}

// broadcastCrashes reports requests during which a backend server crashed, or that one has answered
// since, to all other daemons.
func (g *gossiper) broadcastCrashes(reports []backend.CrashReport) {
	var crashes, answered []backend.CrashReport
	for _, r := range reports {
		if r.Answered() {
			answered = append(answered, r)
		} else {
			crashes = append(crashes, r)
		}
	}
	for _, h := range g.otherHosts() {
		m := g.newMessage()
		// Daemons of earlier versions take each of these for a crash.
		m.SetCrashes(encodeCrashes(time.Now(), crashes))
		m.SetCrashed(encodeCrashes(time.Now(), answered))
		g.events.spawn(func() {
			if _, err := g.peers.exchange(g.ctx, h.IP(), controlTimeout, m); err != nil {
				g.events.stateChange("crash report not delivered", "ip", h.IP(), "error", err.Error())
			}
		})
	}
}

// withdraw asks a daemon to refuse attempts that it has not begun.
func (g *gossiper) withdraw(ip string, numbers []uint32) {
	m := g.newMessage()
	m.SetWithdrawn(numbers)
	g.events.stateChange("withdrawing requests", "ip", ip, "requests", len(numbers))
	g.events.spawn(func() {
		if _, err := g.peers.exchange(g.ctx, ip, pingTimeout, m); err != nil {
			g.events.stateChange("withdrawal not delivered", "ip", ip, "error", err.Error())
		}
	})
}

// broadcastUnreachable reports a daemon that does not answer to the other daemons of
// the data centre.
func (g *gossiper) broadcastUnreachable(ip string) {
	for _, to := range g.recipients() {
		if to == g.self || to == ip {
			continue
		}
		m := g.newMessage()
		m.SetUnreached(ip)
		g.events.spawn(func() {
			if _, err := g.peers.exchange(g.ctx, to, controlTimeout, m); err != nil {
				g.events.stateChange("unreachable report not delivered", "of", ip, "to", to, "error", err.Error())
			}
		})
	}
}

// isPublished reports whether a host has a published instance, or had one until
// recently.
func (g *gossiper) isPublished(ip string) bool {
	_, ok := g.fleet.Host(ip)
	return ok
}
