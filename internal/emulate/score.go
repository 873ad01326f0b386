package emulate

import (
	"fmt"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Score is what became of a class's requests.
type Score struct {
	class                                *schema.EmulatedClass
	requests, inTime, late, refused, failed int
	// retries counts returns after a refusal.
	retries int
}

func (s *Score) record(now time.Time, r *request, e result) {
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

// Requests returns how many requests there were, without those that came again.
func (s *Score) Requests() int { return s.requests }

// Utility returns the credit earned as a fraction of the credit for answering every
// request within its objective.
func (s *Score) Utility() float64 {
	late := s.class.GetLate()
	if worth := s.class.GetWorth(); worth > 0 {
		late /= worth
	}
	return (float64(s.inTime) + late*float64(s.late)) / float64(max(s.requests, 1))
}

// ServedRatio returns the part that was served at all.
func (s *Score) ServedRatio() float64 { return float64(s.inTime+s.late) / float64(max(s.requests, 1)) }

// String shows the score on one line.
func (s *Score) String() string {
	return fmt.Sprintf("%s: asked %d, in time %d, late %d, refused %d, failed %d, worth %.2f",
		s.class.GetName(), s.requests, s.inTime, s.late, s.refused, s.failed, s.Utility())
}

// TotalUtility returns the credit over all classes as a part of what was owed.
func TotalUtility(scores map[string]*Score) float64 {
	var earned, owed float64
	for _, s := range scores {
		owed += float64(s.requests) * s.class.GetWorth()
		earned += float64(s.requests) * s.class.GetWorth() * s.Utility()
	}
	return earned / owed
}
