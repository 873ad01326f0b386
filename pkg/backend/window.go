package backend

import (
	"math"
	"time"
)

// Result says how a request at the backend server ended.
type Result uint8

// The results.
const (
	// Served: the backend server answered.
	Served Result = iota
	// Shed: the backend server refused for load.
	Shed
	// Disconnected: the connection broke before the answer was whole.
	Disconnected
	// Cancelled: the caller gave up, which says nothing of the backend server.
	Cancelled
)

// Window bounds the requests that run at once.
type Window interface {
	// Size returns the bound.
	Size() int
	// RequestEnded notes the end of a request; full says whether the window was full.
	RequestEnded(now time.Time, r Result, full bool)
	// Restarted notes that the backend server has, or may have, started anew.
	Restarted(now time.Time)
	// Resize sets how many requests the backend server runs at most.
	Resize(slots int)
}

const (
	// startShare is the part of the slots that a fresh backend server gets.
	startShare = 0.25
	// growEvery is the least time between two steps up.
	growEvery = 250 * time.Millisecond
	// shrinkEvery is the least time between two steps down.
	shrinkEvery = 100 * time.Millisecond
	// shrinkBy is the factor of a step down.
	shrinkBy = 0.7
)

// AdaptiveWindow is a window that follows what the backend server bears.
type AdaptiveWindow struct {
	slots     int
	size      int
	successes int
	grown     time.Time
	shrunk    time.Time
}

// NewAdaptiveWindow returns the window of a fresh backend server with slots.
func NewAdaptiveWindow(slots int) *AdaptiveWindow {
	a := &AdaptiveWindow{slots: slots}
	a.size = a.start()
	return a
}

func (a *AdaptiveWindow) start() int {
	return max(1, int(math.Floor(float64(a.slots)*startShare)))
}

// Size implements Window.
func (a *AdaptiveWindow) Size() int { return a.size }

// RequestEnded implements Window. A step up needs as many answers with a full window
// as the window is wide.
func (a *AdaptiveWindow) RequestEnded(now time.Time, r Result, full bool) {
	switch r {
	case Served:
		if full {
			a.served(now)
		}
	case Shed:
		a.shed(now)
	case Disconnected:
		a.Restarted(now)
	}
}

func (a *AdaptiveWindow) served(now time.Time) {
	a.successes++
	if a.successes < a.size || now.Sub(a.grown) < growEvery || a.size >= a.slots {
		return
	}
	a.successes = 0
	a.grown = now
	a.size++
}

func (a *AdaptiveWindow) shed(now time.Time) {
	if now.Sub(a.shrunk) < shrinkEvery {
		return
	}
	a.shrunk = now
	a.grown = now
	a.successes = 0
	a.size = max(1, int(float64(a.size)*shrinkBy))
}

// Restarted implements Window.
func (a *AdaptiveWindow) Restarted(now time.Time) {
	a.size = a.start()
	a.successes = 0
	a.grown = now
}

// Resize implements Window.
func (a *AdaptiveWindow) Resize(slots int) {
	a.slots = slots
	a.size = min(a.size, slots)
}

// UnboundedWindow is a window without a bound.
type UnboundedWindow struct{}

// Size implements Window.
func (UnboundedWindow) Size() int { return math.MaxInt32 }

// RequestEnded implements Window.
func (UnboundedWindow) RequestEnded(time.Time, Result, bool) {}

// Restarted implements Window.
func (UnboundedWindow) Restarted(time.Time) {}

// Resize implements Window.
func (UnboundedWindow) Resize(int) {}
