package backend

import "time"

const (
	// slotGrowInterval is the minimum time between two increases of a SlotWindow.
	slotGrowInterval = 500 * time.Millisecond
	// maxSlotLoss is the fraction of the slots that a SlotWindow gives up at most, but at
	// least one slot. More of them are rarely in use by others.
	maxSlotLoss = 0.25
	// unrelatedPeriod is how long requests that are shed do not shrink the window, after
	// they were shed in spite of a smaller window.
	unrelatedPeriod = 5 * time.Second
)

// SlotWindow is a window whose size is the number of slots of the backend server.
// It shrinks by up to a quarter of the slots while the backend server sheds load and the
// window is full, and grows back one slot at a time. A backend server that sheds load with
// free slots, or no less with a smaller window, fails for another reason, which less
// concurrency does not fix: the window then has its full size, since the backend server
// runs the requests that it does not shed. Use NewSlotWindow to create one.
type SlotWindow struct {
	slots      int
	size       int
	lastShrink time.Time
	lastGrowth time.Time
	// unrelatedUntil is the time until which requests that are shed are no sign of too
	// much concurrency.
	unrelatedUntil time.Time
}

// NewSlotWindow returns a window for the given number of slots, at least 1.
func NewSlotWindow(slots int) *SlotWindow { return &SlotWindow{slots: slots, size: slots} }

// Size implements Window.
func (w *SlotWindow) Size() int { return w.size }

// minSize returns the size below which the window does not shrink.
func (w *SlotWindow) minSize() int {
	return max(1, w.slots-max(1, int(float64(w.slots)*maxSlotLoss)))
}

// RecordEnd implements Window. Shed removes one slot if the window was full, at most
// every 100 ms. Served restores one, at most every 500 ms.
func (w *SlotWindow) RecordEnd(now time.Time, r Result, full bool) {
	switch r {
	case Shed:
		if full {
			w.shrink(now)
		}
	case Served:
		if w.size < w.slots && now.Sub(w.lastGrowth) >= slotGrowInterval {
			w.size++
			w.lastGrowth = now
		}
	}
}

func (w *SlotWindow) shrink(now time.Time) {
	switch {
	case now.Before(w.unrelatedUntil), now.Sub(w.lastShrink) < shrinkInterval:
	case w.size <= w.minSize():
		w.size = w.slots
		w.unrelatedUntil = now.Add(unrelatedPeriod)
	default:
		w.size--
		w.lastShrink, w.lastGrowth = now, now
	}
}

// RecordRestart implements Window. It has no effect.
func (w *SlotWindow) RecordRestart(time.Time) {}

// Resize implements Window. If the number of slots changes, the window has that size
// at once.
func (w *SlotWindow) Resize(slots int) {
	if slots != w.slots {
		w.slots, w.size = slots, slots
	}
}
