package backend

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

const (
	// callWindow is the time constant with which the rate of calls is averaged: long enough for
	// some arrivals at 10 calls a second, short enough to follow demand that triples within
	// seconds.
	callWindow = 500 * time.Millisecond
	// maxReservedShare is the largest fraction of the slots that is kept free for calls.
	maxReservedShare = 0.25
	// minReservedCalls is the mean number of running calls from which on a slot is kept free.
	minReservedCalls = 0.25
)

// CallShare decides how many slots of a backend server are kept free for calls, the requests that
// other backend servers make while they run one.
//
// The load pattern is archive reads of 750 ms beside calls of 55 ms with an objective of 200 ms:
// once the reads have all slots, a call waits for longer than its objective until one of them
// ends, although the calls need little of the capacity and the reads could wait. By Little's law
// the calls occupy their rate times their mean work in slots; this many, and at most a quarter of
// all, are not given to requests that are long and can wait, unless as many slots become free soon
// anyway, as they do where most requests are short. Running calls count as users of
// these slots, so that where calls are the large majority nothing is kept free beside them, and
// without calls nothing is kept free at all.
//
// The zero value has seen no call. A CallShare is not safe for concurrent use.
type CallShare struct {
	// rate is the rate of calls per second, and tolerance the mean time for which a call may wait
	// for a slot without missing its objective, both averaged over callWindow.
	rate      float64
	tolerance time.Duration
	updated   time.Time
}

// RecordCall records the arrival of a call that may wait for the given time without missing its
// objective.
func (c *CallShare) RecordCall(now time.Time, tolerance time.Duration) {
	c.rate = c.rateAt(now) + 1/callWindow.Seconds()
	c.updated = now
	c.tolerance = movingAverage(c.tolerance, max(tolerance, time.Millisecond))
}

// rateAt returns the rate of calls per second, decayed since the last call.
func (c *CallShare) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.updated).Seconds()/callWindow.Seconds())
}

// Occupied returns the mean number of slots that calls occupy if each runs for work.
func (c *CallShare) Occupied(now time.Time, work time.Duration) float64 {
	return c.rateAt(now) * work.Seconds()
}

// Reserved returns the number of slots, of size, that are kept free for calls while the given
// number of calls is running.
func (c *CallShare) Reserved(now time.Time, size, running int, work time.Duration) int {
	occupied := c.Occupied(now, work)
	if occupied < minReservedCalls {
		return 0
	}
	reserved := min(int(math.Ceil(occupied)), int(float64(size)*maxReservedShare))
	return max(0, reserved-running)
}

// Held reports whether slots are kept free although, if a request took one, as many would be free
// for calls again after the given time. Calls that wait for less are not worth idle slots.
func (c *CallShare) Held(again time.Duration) bool {
	return again > caller.MaxRedirectWait(c.tolerance)
}

// Slack returns for how long a request of the given work may leave free slots to calls. It is
// positive only if the request would occupy a slot for longer than calls can wait, and can itself
// wait for as long as a call and still meet its objective.
func (c *CallShare) Slack(now, objective time.Time, work time.Duration) time.Duration {
	if work <= c.tolerance {
		return 0
	}
	return max(0, objective.Sub(now)-work-c.tolerance)
}
