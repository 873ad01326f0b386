package platform

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// StartupGate decides when a newly started daemon may serve. The daemon keeps
// no versions across restarts, so it first asks its peers for theirs. The gate
// opens once the daemon holds a version and has processed the answer of every
// peer, or once the bound has passed and it holds a version from any source. A
// platform that returns stale data is therefore trusted on its own only if no
// peer answers in time. A StartupGate is safe for concurrent use. Use NewStartupGate
// to create one.
type StartupGate struct {
	// mu has rank lock.Config and guards the fields below.
	mu         *lock.Mutex
	deadline   time.Time
	synced     map[string]bool
	peersKnown bool
	open       bool
}

// NewStartupGate returns the gate of a daemon that starts now and waits for
// peers no longer than bound.
func NewStartupGate(now time.Time, bound time.Duration) *StartupGate {
	return &StartupGate{
		mu:       lock.New(lock.Config),
		deadline: now.Add(bound),
		synced:   make(map[string]bool),
	}
}

// AddPeers adds the names of peers to wait for. Until it has been called, if only
// with an empty list, the gate opens no earlier than the bound.
func (g *StartupGate) AddPeers(peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peersKnown = true
	for _, p := range peers {
		if !g.synced[p] {
			g.synced[p] = false
		}
	}
}

// MarkSynced records that a peer has reported its version and that the version
// has been processed.
func (g *StartupGate) MarkSynced(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.synced[peer] = true
}

// Ready reports whether the daemon may serve, given whether it holds a version.
// Once true, it stays true.
func (g *StartupGate) Ready(now time.Time, hasVersion bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		return true
	}
	if !hasVersion {
		return false
	}
	g.open = !now.Before(g.deadline) || g.peersKnown && g.allSynced()
	return g.open
}

func (g *StartupGate) allSynced() bool {
	for _, synced := range g.synced {
		if !synced {
			return false
		}
	}
	return true
}
