package caller

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

// windowBuckets is the number of buckets in the sliding window of a budget.
const windowBuckets = 10

// usableShare is the share of the fleet's limit that daemons use. The rest is
// kept for the nested calls of resent requests.
const usableShare = 0.55

// windowBucket counts the requests and resends in one part of the window.
type windowBucket struct {
	number            int64
	requests, resends int
}

// ResendBudget limits how many requests to a service this daemon resends to
// another backend server: in any window, to a ratio of the requests to the
// service plus the daemon's share of the fleet's slack. It is safe for concurrent
// use. Create one with NewResendBudget.
type ResendBudget struct {
	ratio    float64
	slack    float64
	window   time.Duration
	services *table.Table[string, [windowBuckets]windowBucket]
}

// NewResendBudget returns a budget for a fleet that, in any window of the given
// length, may resend ratio times the number of requests to a service plus slack
// requests. The window must be at least 10 ns.
func NewResendBudget(ratio, slack float64, window time.Duration) *ResendBudget {
	return &ResendBudget{
		ratio:    ratio,
		slack:    slack,
		window:   window,
		services: table.New[string, [windowBuckets]windowBucket](lock.Budgets),
	}
}

// RecordRequest records a request to a service, on its first attempt.
func (r *ResendBudget) RecordRequest(now time.Time, service string) {
	r.services.Update(service, func(buckets [windowBuckets]windowBucket, _ bool) ([windowBuckets]windowBucket, bool) {
		r.bucketAt(now, &buckets).requests++
		return buckets, true
	})
}

// AllowResend reports whether the budget allows a resend to a service, and if so
// records it. share is the daemon's share of the fleet's slack, from 0 to 1; the
// shares of all daemons must sum to no more than 1.
func (r *ResendBudget) AllowResend(now time.Time, service string, share float64) bool {
	allowed := false
	r.services.Update(service, func(buckets [windowBuckets]windowBucket, _ bool) ([windowBuckets]windowBucket, bool) {
		current := r.bucketAt(now, &buckets)
		requests, resends := 0, 0
		for _, b := range buckets {
			if current.number-b.number < windowBuckets {
				requests += b.requests
				resends += b.resends
			}
		}
		if float64(resends+1) <= (r.ratio*float64(requests)+r.slack*share)*usableShare {
			allowed = true
			current.resends++
		}
		return buckets, true
	})
	return allowed
}

// bucketAt returns the bucket of an instant, reset if it still has the counts of
// an earlier window.
func (r *ResendBudget) bucketAt(now time.Time, buckets *[windowBuckets]windowBucket) *windowBucket {
	number := now.UnixNano() / int64(r.window/windowBuckets)
	b := &buckets[number%windowBuckets]
	if b.number != number {
		*b = windowBucket{number: number}
	}
	return b
}
