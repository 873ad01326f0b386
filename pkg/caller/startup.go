package caller

import "time"

const (
	// minStartupWait is the least time after which a caller returns to a process that is starting.
	minStartupWait = 50 * time.Millisecond
	// maxStartupWait is the longest one where it is not known how long the caller would wait. It is
	// a third of a deadline of 1.5 s.
	maxStartupWait = 500 * time.Millisecond
	// maxUnspread is the part of the longest time that all callers wait at most. Over the rest their
	// return is spread also where they will not wait until the expected end.
	maxUnspread = 0.7
	// patienceShare is the part of the time that a caller has left after which it returns at the
	// latest. Callers wait for a third of it, and the response takes a part of that to arrive.
	patienceShare = 0.3
	// minStartupLimit is the least value of the longest time, of which maxUnspread are minStartupWait.
	minStartupLimit = 72 * time.Millisecond
	// overrunShare is how much longer a start that takes longer than expected is expected to take,
	// as a fraction of the time that it has taken. Such a start waits for something, such as a store
	// that is unavailable, and the longer it has waited, the longer it probably will.
	overrunShare = 0.25
)

// Startup decides when callers return that a process refuses while it starts.
//
// The load pattern is the restart of most processes of a fleet within a moment: 44 of 67 are killed at
// once and are back 0.5 to 2 s later, while callers go on sending to each, and retry once. A caller
// that returns too early is refused for good. Callers that were told the same time, the expected end
// of the start, would fill the queue of the backend server at that moment. They are therefore told a
// time after the expected end, spread over as long as callers have been refused by then, so that they
// return at the rate at which they came.
//
// A Startup is immutable. Use NewStartup to create one.
type Startup struct {
	begin    time.Time
	expected time.Duration
}

// NewStartup returns the decisions of a process that has begun to start at begin and is expected to
// accept requests after a time.
func NewStartup(begin time.Time, expected time.Duration) Startup {
	return Startup{begin: begin, expected: expected}
}

// RetryAfter returns the time until a caller should return that is refused at now. left is the time
// that the caller has left, zero if it is unknown, and random a random number with uniform
// distribution in [0, 1).
func (s Startup) RetryAfter(now time.Time, left time.Duration, random float64) time.Duration {
	elapsed := now.Sub(s.begin)
	limit := maxStartupWait
	if left > 0 {
		limit = max(time.Duration(patienceShare*float64(left)), minStartupLimit)
	}
	wait := max(s.expected-elapsed, time.Duration(overrunShare*float64(elapsed)), minStartupWait)
	wait = min(wait, time.Duration(maxUnspread*float64(limit)))
	return wait + time.Duration(random*float64(min(elapsed+wait, limit-wait)))
}
