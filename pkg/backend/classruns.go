package backend

import (
	"slices"
	"time"
)

const (
	// overdueFactor is the multiple of the mean service time beyond which a run is overdue. Run
	// times vary by less, but for a few in a hundred.
	overdueFactor = 3
	// minOverdue is the number of overdue runs that show that a backend server has become slow. A
	// single one may be a request that takes long everywhere.
	minOverdue = 3
	// cutPeriod is the time for which the runs count that were cut off. The backend server is
	// tried again afterwards.
	cutPeriod = 2 * time.Second
	// maxCut is the number of cut runs that are remembered for each class.
	maxCut = 16
)

// classRuns is what is known of the runs of a class of requests at a backend server.
//
// The load pattern is a backend server that becomes so slow that no run ends before its deadline.
// A mean over the runs that have ended does not change then, so that all daemons go on to send
// requests there, and lose them, while other backend servers have room.
type classRuns struct {
	// mean is the moving average of the service times, or zero before the first run has ended.
	mean time.Duration
	// started holds the starts of the running requests, in ascending order.
	started []time.Time
	// cut holds the times for which overdue runs had lasted that were cut off since a run last
	// ended by itself, and cutAt is when the last one was.
	cut   []time.Duration
	cutAt time.Time
}

func (r *classRuns) begin(now time.Time) { r.started = append(r.started, now) }

// end records the end of a run. served states that it ended by itself.
func (r *classRuns) end(now, started time.Time, served bool) {
	if n := slices.Index(r.started, started); n >= 0 {
		r.started = slices.Delete(r.started, n, n+1)
	}
	took := now.Sub(started)
	switch {
	case served:
		r.mean = movingAverage(r.mean, took)
		r.cut = r.cut[:0]
	case r.overdue(took):
		if len(r.cut) == maxCut {
			r.cut = slices.Delete(r.cut, 0, 1)
		}
		r.cut, r.cutAt = append(r.cut, took), now
	}
}

// overdue reports whether a run takes longer than those that have ended suggest.
func (r *classRuns) overdue(took time.Duration) bool {
	return r.mean > 0 && took > overdueFactor*r.mean
}

// expected returns the expected service time: the mean of the overdue runs if they show that the
// backend server has become slow, which is a lower bound of what runs take now, and otherwise the
// mean of those that have ended.
func (r *classRuns) expected(now time.Time) time.Duration {
	total, overdue, runs := time.Duration(0), 0, len(r.started)
	for _, s := range r.started {
		if age := now.Sub(s); r.overdue(age) {
			total += age
			overdue++
		}
	}
	if now.Sub(r.cutAt) < cutPeriod {
		runs += len(r.cut)
		overdue += len(r.cut)
		for _, took := range r.cut {
			total += took
		}
	}
	if overdue < minOverdue || 2*overdue <= runs {
		return r.mean
	}
	return total / time.Duration(overdue)
}
