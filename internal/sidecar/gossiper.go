package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/peer"
	"github.com/lycheehead/lycheehead/pkg/replica"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// gossipInterval is the mean time between two syncs with a random daemon.
	gossipInterval = time.Second
	// heartbeatInterval is the time between two messages of a reader to the daemons
	// of its data centre.
	heartbeatInterval = time.Second
	// ineligibleTTL is how long a daemon is not considered as a reader after it
	// reported that it cannot be one.
	ineligibleTTL = 5 * time.Second
	// fastGossipInterval replaces gossipInterval while this daemon cannot read the
	// store itself.
	fastGossipInterval = 300 * time.Millisecond
	// maxGreetings is the number of hosts that a daemon greets at a time: at its start to find the
	// daemons of its data centre, and as a reader at each heartbeat to find further ones.
	maxGreetings = 8
	// greetingAttempts is the number of attempts to greet a host.
	greetingAttempts = 2
	// maxMessageBytes is the maximum size of a control message.
	maxMessageBytes = 16 << 20
	// unknownAge is the age reported for a replica that was never known to be
	// current.
	unknownAge = time.Hour
)

// gossiper replicates the store's content among the daemons, and sends and answers
// their other control messages. These report crashes and unreachable daemons, and
// carry the requests of the rateLimiter.
type gossiper struct {
	*fleetState
	watcher *storeWatcher
	peers   exchanger
	// self is this daemon's IP address, by which daemons identify each other.
	self   string
	centre string
	// seeds are the IP addresses of the daemons to contact while no others are known.
	seeds      atomic.Pointer[[]string]
	limiter    *rateLimiter
	detector   *failureDetector
	quarantine *backend.Quarantine
	waiting    *waitingRequests
	ctx        context.Context //nolint:containedctx // the daemon's context, for background work
	// pushes holds the state of the pushes to each daemon, by IP address.
	pushes *table.Table[string, pushState]
	// transfers limits the large messages that are sent at a time.
	transfers *peer.Transfers
	// packed holds the items that were packed last.
	packed atomic.Pointer[packedItems]
	// syncPending is set while a call of runDelayed is scheduled.
	syncPending atomic.Bool
	// catchingUp is set while a daemon of a later era is asked for all items.
	catchingUp atomic.Bool
	// fetchingConfig is set while a daemon is asked for a configuration that the store has lost.
	fetchingConfig atomic.Bool
	// earlierEraMessages counts the messages with changes of an earlier era.
	earlierEraMessages atomic.Int64
	// joined is set once the daemons of the data centre were greeted.
	joined atomic.Bool
	// daemonCount is the number of daemons in the fleet.
	daemonCount atomic.Int64
}

// fleetShare returns this daemon's equal share of a fleet-wide budget.
func (g *gossiper) fleetShare() float64 { return 1 / float64(max(g.daemonCount.Load(), 1)) }

// sweep removes the state of daemons that are no longer published.
func (g *gossiper) sweep(now time.Time) {
	known := g.watcher.roster.sweep(now)
	g.pushes.Sweep(func(ip string, p pushState) bool { return p.inProgress || known[ip] })
}

// otherHosts returns the hosts of the other daemons, and updates daemonCount.
func (g *gossiper) otherHosts() []fleet.Host {
	hosts := g.fleet.Hosts()
	live := 0
	out := make([]fleet.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Live() {
			live++
		}
		if h.IP() != g.self {
			out = append(out, h)
		}
	}
	g.daemonCount.Store(int64(max(live, 1)))
	return out
}

// ServeHTTP answers control messages of other daemons.
func (g *gossiper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if len(data) > maxMessageBytes {
		http.Error(w, "control message too large", http.StatusRequestEntityTooLarge)
		return
	}
	m, err := decodeControl(data)
	if err != nil {
		http.Error(w, "not a control message", http.StatusBadRequest)
		return
	}
	answer, transfer := g.handle(time.Now(), m)
	if transfer != nil {
		// A daemon that does not read the answer must not hold up the transfers to others.
		end := time.AfterFunc(pushTimeout, func() { g.transfers.End(transfer) })
		defer func() {
			if end.Stop() {
				g.transfers.End(transfer)
			}
		}()
	}
	body, err := encodeControl(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, http.StatusOK, body)
}

// handle processes a control message and returns the answer to it. If transfer is not nil,
// the caller must end it once the answer has been sent.
func (g *gossiper) handle(now time.Time, m *schema.Exchange) (answer *schema.Exchange, transfer *peer.Transfer) {
	behind := g.receive(now, m)
	answer = g.newMessage()
	if behind && m.GetWant() {
		transfer = g.answerChanges(answer, g.reachedPosition(m))
	}
	if m.GetGreeting() {
		daemons, _ := g.watcher.roster.introductions(0)
		answer.SetDaemons(daemons)
	}
	if lost := g.lostConfig.Load(); lost != nil && m.HasConfigAbove() && m.GetConfigAbove() < lost.version {
		setLost(answer, lost)
		answer.SetConfig(messageItems([]replica.Item{lost.item})[0])
	}
	g.shareCrashes(now, m, answer)
	answer.SetShares(g.limiter.renewLeases(now, m))
	if m.HasBorrow() {
		answer.SetLent(g.limiter.handleTokenRequest(now, m.GetBorrow()))
	}
	return answer, transfer
}

// answerChanges adds the changes after a position to the answer to a daemon that asked for
// them. While other large messages take the link, a large answer is left out: the daemon
// gets the changes along the distribution tree, or asks another one. Only a daemon without
// any content gets it at once, since it cannot serve requests before.
func (g *gossiper) answerChanges(answer *schema.Exchange, after replica.Position) *peer.Transfer {
	g.attachChanges(answer, after)
	if !answer.HasPacked() || after.Revision() == 0 {
		return nil
	}
	transfer, ok := g.transfers.TryBegin()
	if !ok {
		answer.ClearPacked()
		answer.ClearAfter()
		answer.ClearWhole()
		return nil
	}
	return transfer
}

// run syncs periodically with a random daemon until ctx ends. A daemon that misses the readers of
// its data centre does not wait for one that does not answer before it tries the next.
func (g *gossiper) run() {
	for g.ctx.Err() == nil {
		interval := gossipInterval
		if g.watcher.storeUnreachable.Load() {
			interval = fastGossipInterval
		}
		interval += time.Duration(rand.Int64N(int64(interval/4))) - interval/8 //nolint:gosec // not security-relevant
		if left := readerTimeout - g.watcher.roster.sinceReader(time.Now()); left+fastGossipInterval > 0 {
			interval = min(interval, left+fastGossipInterval)
		} else {
			interval = min(interval, fastGossipInterval)
		}
		sleep(g.ctx, interval)
		if g.watcher.missesReaders(time.Now()) {
			g.events.spawn(g.gossipOnce)
			continue
		}
		g.gossipOnce()
	}
}

// gossipOnce syncs with one random daemon of any data centre, or with a seed if no
// other daemon is known. If the readers of this data centre are missing, it chooses a
// daemon of another one that answers.
func (g *gossiper) gossipOnce() {
	hosts := g.otherHosts()
	if g.watcher.missesReaders(time.Now()) {
		remote := slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool {
			return h.Centre() == g.centre || !g.watcher.roster.present(h.IP())
		})
		if len(remote) > 0 {
			hosts = remote
		}
	}
	if len(hosts) > 0 {
		h := hosts[rand.IntN(len(hosts))] //nolint:gosec // not security-relevant
		g.syncOnce(h.IP(), h.Centre() != g.centre)
		return
	}
	if seeds := *g.seeds.Load(); len(seeds) > 0 {
		g.syncOnce(seeds[rand.IntN(len(seeds))], false) //nolint:gosec // not security-relevant
	}
}

// strangers returns the hosts of the data centre of which it is not known whether they run a
// daemon.
func (g *gossiper) strangers() []string {
	var ips []string
	for _, h := range g.fleet.Hosts() {
		if h.Live() && h.Centre() == g.centre && !g.watcher.roster.known(h.IP()) {
			ips = append(ips, h.IP())
		}
	}
	return ips
}

// greet greets some hosts, of which those that run a daemon answer with all daemons of the data
// centre that they know.
func (g *gossiper) greet(ips []string) {
	for _, ip := range ips {
		g.events.spawn(func() {
			if _, err := g.syncPeer(ip, pushState{greeting: true}, greetingAttempts); err != nil {
				g.events.stateChange("greeting not answered", "ip", ip, "error", err.Error())
			}
		})
	}
}

// greetRandom greets random strangers.
func (g *gossiper) greetRandom() {
	ips := g.strangers()
	rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	g.greet(ips[:min(maxGreetings, len(ips))])
}

// joinFleet updates daemonCount. At the first change that shows other hosts, it greets those of
// the data centre that are most likely to be readers, and random ones in case most do not run a
// daemon. The others are told by the readers. If an earlier process announced that it stops,
// they may still treat this daemon as leaving.
func (g *gossiper) joinFleet() {
	if len(g.otherHosts()) == 0 || !g.joined.CompareAndSwap(false, true) {
		return
	}
	likely := peer.Top(g.centre, g.strangers(), maxGreetings)
	g.greet(likely)
	g.greetRandom()
	g.askForCrashes()
}

// runHeartbeats periodically syncs with all daemons of the data centre while this
// daemon is one of its readers and has a current replica. This confirms that the
// replicas of the others are current.
func (g *gossiper) runHeartbeats() {
	expected := make(map[string]time.Time)
	for g.ctx.Err() == nil {
		sleep(g.ctx, heartbeatInterval)
		now := time.Now()
		if g.reportedAge(now) > staleAfter {
			clear(expected)
			continue
		}
		g.watcher.roster.reviewReaders(now, firstReaders(g.watcher.readerOrder()), expected)
		if !g.watcher.distributes(now) {
			continue
		}
		g.syncCentre()
		g.greetRandom()
	}
}
