package platform

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// StartupGate decides when a daemon that has just started may serve. It remembers
// nothing of the versions before, so it first hears its peers, who do. It
// serves once a version is held and every peer that it asked has answered, or
// once the bound has passed and at least one source has answered. A stale
// platform alone is therefore believed only where no peer can be reached.
type StartupGate struct {
	mu       *lock.Mutex
	deadline time.Time
	asked    map[string]bool
	listed   bool
	done     bool
}

// NewStartupGate returns the decision for a daemon that starts now and waits for
// peers no longer than bound.
func NewStartupGate(now time.Time, bound time.Duration) *StartupGate {
	return &StartupGate{
		mu:       lock.New(lock.Config),
		deadline: now.Add(bound),
		asked:    make(map[string]bool),
	}
}

// AddPeers notes the peers to hear, by name. An empty list is an answer too.
func (s *StartupGate) AddPeers(peers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = true
	for _, p := range peers {
		if !s.asked[p] {
			s.asked[p] = false
		}
	}
}

// MarkSynced notes that a peer has told its version and that it was taken in.
func (s *StartupGate) MarkSynced(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[peer] = true
}

// Ready says whether the daemon may serve, given whether it holds a version.
// Once it says yes it goes on saying so.
func (s *StartupGate) Ready(now time.Time, holds bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return true
	}
	if !holds {
		return false
	}
	s.done = !now.Before(s.deadline) || s.listed && s.allHeard()
	return s.done
}

func (s *StartupGate) allHeard() bool {
	for _, heard := range s.asked {
		if !heard {
			return false
		}
	}
	return true
}
