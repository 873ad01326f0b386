package workers

import (
	"sync"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

// Group is a set of goroutines that Close waits for. It is safe for concurrent use. Use
// NewGroup to create one.
type Group struct {
	// mu has rank lock.Tasks. It prevents goroutines from being added while Close
	// waits for them.
	mu     *lock.Mutex
	closed bool
	tasks  sync.WaitGroup
}

// NewGroup returns an empty group.
func NewGroup() *Group { return &Group{mu: lock.New(lock.Tasks)} }

// Go runs f in a new goroutine. It returns false without running f if the group has
// been closed.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.tasks.Go(f)
	return true
}

// Close closes the group and waits for its goroutines to return. It does not stop them.
// It may be called more than once, but not from a goroutine of the group.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
}
