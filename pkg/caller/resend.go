package caller

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// windowBuckets is the number of buckets in the sliding window of a budget.
	windowBuckets = 10
	// resendBuckets is the number of buckets in which resends are counted. The oldest one is only
	// partly in the window, and no less than all of the window must be covered: with as many
	// buckets as for requests, two bursts nine tenths of a window apart each use the whole share.
	resendBuckets = windowBuckets + 1
)

const (
	// usableShare is the share of the fleet's limit that daemons use for resends, and
	// plainShare the part of it that is left to resends which are not urgent.
	usableShare = 0.8
	plainShare  = 0.5
	// callShare is the share of the fleet's limit within which calls made by resent requests
	// are sent. The rest covers requests that have left the window since a resend was allowed.
	callShare = 0.9
)

// windowBucket counts the requests, the calls among them, and the resends in one part of the
// window.
type windowBucket struct {
	number                   int64
	requests, calls, resends int
}

// ResendBudget limits how many requests to a service this daemon resends to
// another backend server: in any window, to a ratio of the requests to the
// service plus the daemon's share of the fleet's slack.
//
// The load pattern is a service of which every backend server sheds half of all requests for some
// seconds: the budget is spent at once, and first come first served it goes to callers' requests,
// whose callers can repeat them at no cost to the budget, while a call that is not resent loses
// the request that made it, with all its work. Resends that are urgent may therefore use the
// whole share, and others a part of it where calls are made to the service.
//
// A call made by a run that was itself a resend is an arrival beyond the first as well, since the
// first run may have made the same call. It counts as a resend when it is first sent.
//
// A ResendBudget is safe for concurrent use. Create one with NewResendBudget.
type ResendBudget struct {
	ratio    float64
	slack    float64
	window   time.Duration
	services *table.Table[string, [resendBuckets]windowBucket]
}

// NewResendBudget returns a budget for a fleet that, in any window of the given
// length, may resend ratio times the number of requests to a service plus slack
// requests. The window must be at least 10 ns.
func NewResendBudget(ratio, slack float64, window time.Duration) *ResendBudget {
	return &ResendBudget{
		ratio:    ratio,
		slack:    slack,
		window:   window,
		services: table.New[string, [resendBuckets]windowBucket](lock.Budgets),
	}
}

// RecordRequest records a request to a service, on its first attempt. call states that a backend
// server makes it while it runs another request.
func (r *ResendBudget) RecordRequest(now time.Time, service string, call bool) {
	r.services.Update(service, func(buckets [resendBuckets]windowBucket, _ bool) ([resendBuckets]windowBucket, bool) {
		b := r.bucketAt(now, &buckets)
		b.requests++
		if call {
			b.calls++
		}
		return buckets, true
	})
}

// AllowResend reports whether the budget allows a resend to a service, and if so
// records it. urgent is the result of Urgent. share is the daemon's share of the fleet's slack,
// from 0 to 1; the shares of all daemons must sum to no more than 1.
func (r *ResendBudget) AllowResend(now time.Time, service string, urgent bool, share float64) bool {
	return r.allow(now, service, share, func(window windowBucket) float64 {
		if urgent || window.calls == 0 {
			return usableShare
		}
		return usableShare * plainShare
	})
}

// AllowCall reports whether the budget allows a call to a service that is made by a run which was
// itself a resend, and if so records it as a resend. It is used in place of RecordRequest. share
// has the same meaning as for AllowResend. A refusal loses that run, but to exceed the fleet's
// limit would be worse.
func (r *ResendBudget) AllowCall(now time.Time, service string, share float64) bool {
	return r.allow(now, service, share, func(windowBucket) float64 { return callShare })
}

// allow records a resend if the resends in the window stay within a part of the limit.
func (r *ResendBudget) allow(now time.Time, service string, share float64, part func(window windowBucket) float64) bool {
	allowed := false
	r.services.Update(service, func(buckets [resendBuckets]windowBucket, _ bool) ([resendBuckets]windowBucket, bool) {
		current := r.bucketAt(now, &buckets)
		var window windowBucket
		for _, b := range buckets {
			if current.number-b.number < windowBuckets {
				window.requests += b.requests
				window.calls += b.calls
			}
			if current.number-b.number < resendBuckets {
				window.resends += b.resends
			}
		}
		if float64(window.resends+1) <= (r.ratio*float64(window.requests)+r.slack*share)*part(window) {
			allowed = true
			current.resends++
		}
		return buckets, true
	})
	return allowed
}

// bucketAt returns the bucket of an instant, reset if it still has the counts of
// an earlier window.
func (r *ResendBudget) bucketAt(now time.Time, buckets *[resendBuckets]windowBucket) *windowBucket {
	number := now.UnixNano() / int64(r.window/windowBuckets)
	b := &buckets[number%resendBuckets]
	if b.number != number {
		*b = windowBucket{number: number}
	}
	return b
}
