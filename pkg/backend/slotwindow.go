package backend

import "time"

const (
	// slotGrowInterval is the minimum time between two increases of a SlotWindow.
	slotGrowInterval = 500 * time.Millisecond
	// minSlotShare is the fraction of the slots below which a SlotWindow never
	// shrinks.
	minSlotShare = 0.5
)

// SlotWindow is a window whose size is the number of slots of the backend server.
// It shrinks when the backend server sheds load while the window is full, and grows
// back one slot at a time. It keeps at least half of the slots. A backend server that
// sheds load with free slots fails for another reason, which less concurrency does
// not fix. Use NewSlotWindow to create one.
type SlotWindow struct {
	slots      int
	size       int
	lastShrink time.Time
	lastGrowth time.Time
}

// NewSlotWindow returns a window for the given number of slots, at least 1.
func NewSlotWindow(slots int) *SlotWindow { return &SlotWindow{slots: slots, size: slots} }

// Size implements Window.
func (w *SlotWindow) Size() int { return w.size }

// RecordEnd implements Window. Shed removes one slot if the window was full, at most
// every 100 ms. Served restores one, at most every 500 ms.
func (w *SlotWindow) RecordEnd(now time.Time, r Result, full bool) {
	switch r {
	case Shed:
		if full && now.Sub(w.lastShrink) >= shrinkInterval {
			w.size = max(1, int(float64(w.slots)*minSlotShare), w.size-1)
			w.lastShrink, w.lastGrowth = now, now
		}
	case Served:
		if w.size < w.slots && now.Sub(w.lastGrowth) >= slotGrowInterval {
			w.size++
			w.lastGrowth = now
		}
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
