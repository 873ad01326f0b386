package backend

import (
	"math"
	"time"
)

// Result is the way in which a request to the backend server ended.
type Result uint8

const (
	// Served means that the backend server ran the request and answered, even if with
	// a failure.
	Served Result = iota
	// Shed means that the backend server rejected the request because of load.
	Shed
	// Disconnected means that the connection broke before the answer was complete.
	Disconnected
	// Cancelled means that the caller gave up, which is unrelated to the state of the
	// backend server.
	Cancelled
)

// Window limits the number of concurrent requests. Its methods need not be safe for
// concurrent use: a Gate or Queue calls them while it holds its lock.
type Window interface {
	// Size returns the limit.
	Size() int
	// RecordEnd records the end of a request. full states whether the running requests,
	// including this one, filled the window: for a Gate when it admitted the request,
	// for a Queue when the request ended.
	RecordEnd(now time.Time, r Result, full bool)
	// RecordRestart records that the backend server has, or may have, restarted.
	RecordRestart(now time.Time)
	// Resize sets the number of slots: the maximum number of requests that the
	// backend server runs concurrently. It must be at least 1.
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
// accepts: additive increase, multiplicative decrease. Its size is between 1 and the
// number of slots. Use NewAdaptiveWindow to create one.
type AdaptiveWindow struct {
	slots      int
	size       int
	successes  int
	lastGrowth time.Time
	lastShrink time.Time
}

// NewAdaptiveWindow returns the window of a newly started backend server with the
// given number of slots, of which it uses a quarter at first.
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

// RecordEnd implements Window. The window grows by one, at most every 250 ms, once
// as many answers as its size have arrived for requests that filled it. Shed
// multiplies its size by 0.7, at most every 100 ms. Disconnected resets it to its
// initial size.
func (w *AdaptiveWindow) RecordEnd(now time.Time, r Result, full bool) {
	switch r {
	case Served:
		if full {
			w.grow(now)
		}
	case Shed:
		w.shrink(now)
	case Disconnected:
		w.RecordRestart(now)
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

// RecordRestart implements Window.
func (w *AdaptiveWindow) RecordRestart(now time.Time) {
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

// RecordEnd implements Window.
func (UnboundedWindow) RecordEnd(time.Time, Result, bool) {}

// RecordRestart implements Window.
func (UnboundedWindow) RecordRestart(time.Time) {}

// Resize implements Window.
func (UnboundedWindow) Resize(int) {}
