package emulate

import (
	"fmt"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Score is what became of a class's requests.
type Score struct {
	class                                *schema.EmulatedClass
	asked, inTime, late, refused, failed int
	// again counts returns after a refusal.
	again int
}

func (s *Score) note(now time.Time, r *request, e ending) {
	switch {
	case e.served && !now.After(r.objective):
		s.inTime++
	case e.served:
		s.late++
	case e.refused:
		s.refused++
	default:
		s.failed++
	}
}

// Asked returns how many requests there were, without those that came again.
func (s *Score) Asked() int { return s.asked }

// Worth returns the credit that was earned as a part of what was owed.
func (s *Score) Worth() float64 {
	late := s.class.GetLate()
	if worth := s.class.GetWorth(); worth > 0 {
		late /= worth
	}
	return (float64(s.inTime) + late*float64(s.late)) / float64(max(s.asked, 1))
}

// Served returns the part that was served at all.
func (s *Score) Served() float64 { return float64(s.inTime+s.late) / float64(max(s.asked, 1)) }

// String shows the score on one line.
func (s *Score) String() string {
	return fmt.Sprintf("%s: asked %d, in time %d, late %d, refused %d, failed %d, worth %.2f",
		s.class.GetName(), s.asked, s.inTime, s.late, s.refused, s.failed, s.Worth())
}

// Worth returns the credit over all classes as a part of what was owed.
func Worth(scores map[string]*Score) float64 {
	var earned, owed float64
	for _, s := range scores {
		owed += float64(s.asked) * s.class.GetWorth()
		earned += float64(s.asked) * s.class.GetWorth() * s.Worth()
	}
	return earned / owed
}
