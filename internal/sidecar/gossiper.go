package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/fleet"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// gossipInterval is the time between two comparisons with a random daemon,
	// and heartbeatInterval the time between two messages of a reader to the
	// daemons that it reads for.
	gossipInterval    = time.Second
	heartbeatInterval = time.Second
	// ineligibleTTL is how long a daemon counts as unable to read the store
	// after it reported so.
	ineligibleTTL = 5 * time.Second
	// fastGossipInterval is the time between two comparisons while this daemon
	// cannot read the store itself.
	fastGossipInterval = 300 * time.Millisecond
	// maxMessageBytes is the maximum size of a control message.
	maxMessageBytes = 16 << 20
	// unknownAge is the age that is reported if the replica was never known to
	// be current.
	unknownAge = time.Hour
)

// gossiper replicates the store's content to other daemons and exchanges with
// them what they have to know of each other.
type gossiper struct {
	*fleetState
	watcher    *storeWatcher
	peers      exchanger
	self       string
	centre     string
	seeds      atomic.Pointer[[]string]
	limiter    *rateLimiter
	detector   *failureDetector
	quarantine *backend.Quarantine
	ctx        context.Context //nolint:containedctx // the daemon's context, for background work
	// pushes holds the state of the updates that are sent to each daemon.
	pushes *table.Table[string, pushState]
	// syncPending states that a delayed comparison with other daemons is
	// scheduled.
	syncPending atomic.Bool
	// daemonCount is the number of daemons in the fleet.
	daemonCount atomic.Int64
}

// fleetShare returns this daemon's equal share of a fleet-wide budget.
func (g *gossiper) fleetShare() float64 { return 1 / float64(max(g.daemonCount.Load(), 1)) }

// otherHosts returns the hosts of the other daemons, and updates daemonCount.
func (g *gossiper) otherHosts() []fleet.Host {
	hosts := g.fleet.Hosts()
	live := 0
	out := hosts[:0]
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
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	m, err := decodeControl(data)
	if err != nil {
		http.Error(w, "invalid control message", http.StatusBadRequest)
		return
	}
	body, err := encodeControl(g.handle(time.Now(), m))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, http.StatusOK, body)
}

// handle processes a control message and returns the answer to it.
func (g *gossiper) handle(now time.Time, m *schema.Exchange) *schema.Exchange {
	behind := g.receive(now, m)
	out := g.newMessage()
	if behind && m.GetWant() {
		g.attachChanges(out, m.GetRevision())
	}
	out.SetShares(g.limiter.renewLeases(now, m))
	if m.HasBorrow() {
		out.SetLent(g.limiter.handleTokenRequest(now, m.GetBorrow()))
	}
	return out
}

// run compares with one random daemon at a time until the daemon ends.
func (g *gossiper) run() {
	for g.ctx.Err() == nil {
		every := gossipInterval
		if g.watcher.storeUnreachable.Load() {
			every = fastGossipInterval
		}
		sleep(g.ctx, every-every/8+time.Duration(rand.Int64N(int64(every/4)))) //nolint:gosec // not security-relevant
		g.gossipOnce()
	}
}

// gossipOnce compares with one random daemon of any data centre, or with a seed
// if no other daemon is known.
func (g *gossiper) gossipOnce() {
	seeds := *g.seeds.Load()
	targets := make([]string, 0, len(seeds))
	for _, h := range g.otherHosts() {
		targets = append(targets, h.IP())
	}
	if len(targets) == 0 {
		targets = seeds
	}
	if len(targets) > 0 {
		g.syncOnce(targets[rand.IntN(len(targets))]) //nolint:gosec // not security-relevant
	}
}

// runHeartbeats confirms to the daemons of the data centre that their replica
// is current, if this daemon reads the store for them.
func (g *gossiper) runHeartbeats() {
	for g.ctx.Err() == nil {
		sleep(g.ctx, heartbeatInterval)
		if g.watcher.readerRank() < 0 || g.reportedAge(time.Now()) > staleAfter {
			continue
		}
		g.syncCentre()
	}
}
