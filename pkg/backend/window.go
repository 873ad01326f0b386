package backend

import (
	"math"
	"time"
)

// Result is the way in which a request to the backend server ended.
type Result uint8

const (
	// Served means that the backend server answered.
	Served Result = iota
	// Shed means that the backend server rejected the request because of load.
	Shed
	// Disconnected means that the connection broke before the answer was complete.
	Disconnected
	// Cancelled means that the caller gave up, which says nothing about the state of
	// the backend server.
	Cancelled
)

// Window limits the number of concurrent requests.
type Window interface {
	// Size returns the limit.
	Size() int
	// RequestEnded records the end of a request; full reports whether the window was
	// full.
	RequestEnded(now time.Time, r Result, full bool)
	// Restarted records that the backend server has, or may have, restarted.
	Restarted(now time.Time)
	// Resize sets the maximum number of requests that the backend server runs
	// concurrently.
	Resize(slots int)
}

const (
	// initialShare is the fraction of the slots with which a window for a newly
	// started backend server begins.
	initialShare = 0.25
	// growInterval is the minimum time between two increases of the window.
	growInterval = 250 * time.Millisecond
	// shrinkInterval is the minimum time between two decreases of the window.
	shrinkInterval = 100 * time.Millisecond
	// shrinkFactor is the factor by which a decrease multiplies the window.
	shrinkFactor = 0.7
)

// AdaptiveWindow is a window that adapts to the load that the backend server
// accepts: additive increase, multiplicative decrease.
type AdaptiveWindow struct {
	slots      int
	size       int
	successes  int
	lastGrowth time.Time
	lastShrink time.Time
}

// NewAdaptiveWindow returns the window of a newly started backend server with the
// given number of slots.
func NewAdaptiveWindow(slots int) *AdaptiveWindow {
	w := &AdaptiveWindow{slots: slots}
	w.size = w.initialSize()
	return w
}

func (w *AdaptiveWindow) initialSize() int {
	return max(1, int(math.Floor(float64(w.slots)*initialShare)))
}

// Size implements Window.
func (w *AdaptiveWindow) Size() int { return w.size }

// RequestEnded implements Window. The window grows by one after as many answers
// with a full window as its size.
func (w *AdaptiveWindow) RequestEnded(now time.Time, r Result, full bool) {
	switch r {
	case Served:
		if full {
			w.grow(now)
		}
	case Shed:
		w.shrink(now)
	case Disconnected:
		w.Restarted(now)
	}
}

func (w *AdaptiveWindow) grow(now time.Time) {
	w.successes++
	if w.successes < w.size || now.Sub(w.lastGrowth) < growInterval || w.size >= w.slots {
		return
	}
	w.successes = 0
	w.lastGrowth = now
	w.size++
}

func (w *AdaptiveWindow) shrink(now time.Time) {
	if now.Sub(w.lastShrink) < shrinkInterval {
		return
	}
	w.lastShrink = now
	w.lastGrowth = now
	w.successes = 0
	w.size = max(1, int(float64(w.size)*shrinkFactor))
}

// Restarted implements Window.
func (w *AdaptiveWindow) Restarted(now time.Time) {
	w.size = w.initialSize()
	w.successes = 0
	w.lastGrowth = now
}

// Resize implements Window.
func (w *AdaptiveWindow) Resize(slots int) {
	w.slots = slots
	w.size = min(w.size, slots)
}

// UnboundedWindow is a window without a limit.
type UnboundedWindow struct{}

// Size implements Window.
func (UnboundedWindow) Size() int { return math.MaxInt32 }

// RequestEnded implements Window.
func (UnboundedWindow) RequestEnded(time.Time, Result, bool) {}

// Restarted implements Window.
func (UnboundedWindow) Restarted(time.Time) {}

// Resize implements Window.
func (UnboundedWindow) Resize(int) {}
