package backend

import "time"

const (
	// slotsBackoff is the time between two steps of a window back to all slots.
	slotsBackoff = 500 * time.Millisecond
	// slotsLeast is the part of the slots that a window keeps.
	slotsLeast = 0.5
)

// SlotWindow is a window as wide as the backend server's slots. It narrows where the
// backend server sheds while the window is full, and widens again step by step.
// A backend server that sheds with slots to spare fails for another reason,
// which fewer requests at once do not mend.
type SlotWindow struct {
	slots  int
	size   int
	shed   time.Time
	raised time.Time
}

// NewSlotWindow returns a window for a number of slots.
func NewSlotWindow(slots int) *SlotWindow { return &SlotWindow{slots: slots, size: slots} }

// Size implements Window.
func (s *SlotWindow) Size() int { return s.size }

// RequestEnded implements Window.
func (s *SlotWindow) RequestEnded(now time.Time, r Result, full bool) {
	switch r {
	case Shed:
		if full && now.Sub(s.shed) >= shrinkEvery {
			s.size = max(1, int(float64(s.slots)*slotsLeast), s.size-1)
			s.shed, s.raised = now, now
		}
	case Served:
		if s.size < s.slots && now.Sub(s.raised) >= slotsBackoff {
			s.size++
			s.raised = now
		}
	}
}

// Restarted implements Window.
func (s *SlotWindow) Restarted(time.Time) {}

// Resize implements Window.
func (s *SlotWindow) Resize(slots int) {
	if slots != s.slots {
		s.slots, s.size = slots, slots
	}
}
