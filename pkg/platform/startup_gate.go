package platform

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff after which a peer
	// that did not answer is asked again.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// gossipTime is the time after the bound in which gossip corrects a version that is not the
	// one in force. Daemons compare versions every two seconds.
	gossipTime = 5 * time.Second
	// maxStartupPeers is how many peers are asked at most, not counting those that failed to
	// answer. If a third of the daemons were not restarted, all of 24 random ones were in 1 of
	// 17,000 starts.
	maxStartupPeers = 24
)

// StartupGate decides when a newly started daemon may serve, and which peers it asks. The
// daemon keeps no versions across restarts, so it first asks its peers for theirs. The gate
// opens once the daemon holds a version and has processed the answers of the peers, or
// once the bound has passed and it holds a version from any source. A
// platform that returns stale data is therefore trusted on its own only if no
// peer answers in time.
//
// The load pattern is a restart of many daemons at once on machines that are short of processor
// time, beside a stale platform: peers do not answer in time, and those that do have just been
// started themselves and know nothing. A peer that fails to answer is therefore asked again, also
// after the gate has opened at the bound. While no peer has answered that has started, a further
// one is asked for each that is starting or fails, so that one that cannot be reached does not
// keep those behind it from being asked. Further peers are asked until gossipTime after the bound.
// A StartupGate is safe for concurrent use. Use NewStartupGate to create one.
type StartupGate struct {
	// mu has rank lock.Config and guards the fields below.
	mu       *lock.Mutex
	deadline time.Time
	// asked holds the peers that are asked by name, further those that may be, and failures the
	// number of those that failed and have not answered since.
	asked      map[string]*startupPeer
	further    []string
	failures   int
	peersKnown bool
	// confirmed states that a peer has answered that is not starting itself.
	confirmed bool
	open      bool
}

// startupPeer is the state of a peer that is asked at startup.
type startupPeer struct {
	answered, failed bool
	// further states that the peer is asked in addition to the first ones, and substitute that it
	// is since another one failed.
	further, substitute bool
	// retryDelay is the delay after the next failure.
	retryDelay time.Duration
}

// NewStartupGate returns the gate of a daemon that starts now and waits for
// peers no longer than bound.
func NewStartupGate(now time.Time, bound time.Duration) *StartupGate {
	return &StartupGate{
		mu:       lock.New(lock.Config),
		deadline: now.Add(bound),
		asked:    make(map[string]*startupPeer),
	}
}

// AddPeers adds the names of peers that are asked, and of further ones, in the order in which
// they may be asked. Until it has been called, if only with empty lists, the gate opens no
// earlier than the bound.
func (g *StartupGate) AddPeers(peers, further []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peersKnown = true
	for _, p := range peers {
		g.ask(p)
	}
	g.further = append(g.further, further...)
}

// ask adds a peer that is asked, if it is not one yet. The caller holds g.mu.
func (g *StartupGate) ask(name string) *startupPeer {
	p, ok := g.asked[name]
	if !ok {
		p = &startupPeer{retryDelay: minRetryDelay}
		g.asked[name] = p
	}
	return p
}

// RecordAnswer records that a peer has reported its version and that the version has been
// processed. starting states that the peer is starting itself. It returns the name of a further
// peer to ask, or the empty string.
func (g *StartupGate) RecordAnswer(now time.Time, name string, starting bool) (next string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.ask(name)
	if p.failed {
		p.failed = false
		g.failures--
	}
	p.answered = true
	g.confirmed = g.confirmed || !starting
	return g.askFurther(now, false)
}

// RecordFailure records that a peer that was asked did not answer. It returns the delay after
// which to ask it again, or false if its answer is no longer needed. At the first failure of a
// peer, next is the name of a further one to ask at once, or empty.
func (g *StartupGate) RecordFailure(now time.Time, name string) (delay time.Duration, needed bool, next string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.ask(name)
	if p.answered || g.open && g.confirmed {
		return 0, false, ""
	}
	if !p.failed {
		p.failed = true
		g.failures++
		next = g.askFurther(now, true)
	}
	if p.further && !now.Before(g.end()) {
		return 0, false, next
	}
	delay = p.retryDelay
	p.retryDelay = min(2*delay, maxRetryDelay)
	return delay, true, next
}

// askFurther returns a further peer to ask, which becomes one of those that are asked, or the
// empty string if none is to be asked. substitute states that the reason is the failure of
// another one. The caller holds g.mu.
func (g *StartupGate) askFurther(now time.Time, substitute bool) string {
	for !g.confirmed && now.Before(g.end()) && len(g.further) > 0 && len(g.asked)-g.failures < maxStartupPeers {
		next := g.further[0]
		g.further = g.further[1:]
		if _, ok := g.asked[next]; !ok {
			p := g.ask(next)
			p.further, p.substitute = true, substitute
			return next
		}
	}
	return ""
}

// end returns the time from which gossip is relied on and no further peer is asked.
func (g *StartupGate) end() time.Time { return g.deadline.Add(gossipTime) }

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
	g.open = !now.Before(g.deadline) || g.peersKnown && g.allAnswered()
	return g.open
}

// Starting reports whether the daemon's version may be older than that of its peers: the gate is
// closed, or it opened at the bound less than gossipTime ago and no peer that has started has
// answered since.
func (g *StartupGate) Starting(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		return true
	}
	return !g.confirmed && !(g.peersKnown && g.allAnswered()) && now.Before(g.end())
}

// allAnswered reports whether all peers have answered that need to. Those that were asked since
// another one failed need not once a peer has answered that has started: the other one may have
// answered since, and they may be unreachable.
func (g *StartupGate) allAnswered() bool {
	for _, p := range g.asked {
		if !p.answered && !(p.substitute && g.confirmed) {
			return false
		}
	}
	return true
}
