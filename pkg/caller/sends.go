package caller

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// sendsBuckets is how many parts a window of the send budget has.
const sendsBuckets = 10

// sendsUse is the part of the fleet's bound that daemons use; the rest covers
// the calls of requests that were sent again.
const sendsUse = 0.55

// period counts what was sent in one part of a window.
type period struct {
	number       int64
	first, again int
}

// ResendBudget bounds how many requests to a service this daemon sends to a second
// backend server: in any window a part of the requests for the service, and its
// share of the fleet's slack. Make one with NewSends.
type ResendBudget struct {
	ratio    float64
	slack    float64
	window   time.Duration
	services *table.Table[string, [sendsBuckets]period]
}

// NewResendBudget returns the budget for a ratio and a slack of the whole fleet.
func NewResendBudget(ratio, slack float64, window time.Duration) *ResendBudget {
	return &ResendBudget{
		ratio:    ratio,
		slack:    slack,
		window:   window,
		services: table.New[string, [sendsBuckets]period](lock.Budgets),
	}
}

// RecordRequest notes a request to a service.
func (s *ResendBudget) RecordRequest(now time.Time, service string) {
	s.services.Update(service, func(ps [sendsBuckets]period, _ bool) ([sendsBuckets]period, bool) {
		s.period(now, &ps).first++
		return ps, true
	})
}

// AllowResend takes one further send out of the budget if there is one left, given
// the daemon's share of the fleet.
func (s *ResendBudget) AllowResend(now time.Time, service string, share float64) bool {
	allowed := false
	s.services.Update(service, func(ps [sendsBuckets]period, _ bool) ([sendsBuckets]period, bool) {
		current := s.period(now, &ps)
		first, again := 0, 0
		for _, p := range ps {
			if current.number-p.number < sendsBuckets {
				first += p.first
				again += p.again
			}
		}
		if float64(again+1) <= (s.ratio*float64(first)+s.slack*share)*sendsUse {
			allowed = true
			current.again++
		}
		return ps, true
	})
	return allowed
}

func (s *ResendBudget) period(now time.Time, ps *[sendsBuckets]period) *period {
	number := now.UnixNano() / int64(s.window/sendsBuckets)
	p := &ps[number%sendsBuckets]
	if p.number != number {
		*p = period{number: number}
	}
	return p
}
