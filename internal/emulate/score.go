package emulate

import (
	"fmt"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Score counts the results of the requests of one class.
type Score struct {
	class                                   *schema.EmulatedClass
	requests, inTime, late, refused, failed int
	// retries counts the retries by callers after a refusal.
	retries int
	// remote counts the requests that were sent to another data centre.
	remote int
}

func (s *Score) record(now time.Time, r *request, res result) {
	switch {
	case res.served && !now.After(r.objective):
		s.inTime++
	case res.served:
		s.late++
	case res.refused:
		s.refused++
	default:
		s.failed++
	}
}

// Requests returns the number of requests, not counting retries by callers.
func (s *Score) Requests() int { return s.requests }

// Remote returns how often a request was sent to another data centre. The links between data
// centres are billed by traffic.
func (s *Score) Remote() int { return s.remote }

// Utility returns the credit for the served requests, as a fraction of the credit for
// serving every request within its objective. A request that is served late earns the
// class's lower credit.
func (s *Score) Utility() float64 {
	lateCredit := s.class.GetLate()
	if worth := s.class.GetWorth(); worth > 0 {
		lateCredit /= worth
	}
	return (float64(s.inTime) + lateCredit*float64(s.late)) / float64(max(s.requests, 1))
}

// ServedRatio returns the fraction of requests that were served, in time or late.
func (s *Score) ServedRatio() float64 { return float64(s.inTime+s.late) / float64(max(s.requests, 1)) }

// String formats the score as one line.
func (s *Score) String() string {
	return fmt.Sprintf("%s: asked %d, in time %d, late %d, refused %d, failed %d, worth %.2f",
		s.class.GetName(), s.requests, s.inTime, s.late, s.refused, s.failed, s.Utility())
}

// TotalUtility returns the credit for the served requests of all classes, as a fraction of
// the credit for serving every request within its objective.
func TotalUtility(scores map[string]*Score) float64 {
	var earned, maximum float64
	for _, s := range scores {
		maximum += float64(s.requests) * s.class.GetWorth()
		earned += float64(s.requests) * s.class.GetWorth() * s.Utility()
	}
	return earned / maximum
}
