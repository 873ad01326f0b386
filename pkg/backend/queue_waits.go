package backend

import (
	"cmp"
	"slices"
	"time"
)

const (
	// serviceTimeWeight is the weight of the newest sample in the moving averages of
	// service times.
	serviceTimeWeight = 0.1
	// initialServiceTime is the assumed service time before the first request ends.
	initialServiceTime = 50 * time.Millisecond
	// minServiceShare is the fraction of the mean service time that a request is
	// expected to take at least. A request that would miss its deadline even so is
	// rejected.
	minServiceShare = 0.7
)

// minServiceTime returns the minimum time that a request is expected to run.
func (q *Queue[W]) minServiceTime(r Request) time.Duration {
	return time.Duration(float64(q.classMeans[r.class]) * minServiceShare)
}

// work returns the time for which a request of a class is expected to occupy a slot.
func (q *Queue[W]) work(class string) time.Duration {
	return cmp.Or(q.classMeans[class], q.mean, initialServiceTime)
}

// schedule returns the times at which the slots are expected to become free, in ascending order,
// if no further request is started. Run times vary and include calls, so that the time a request
// has run for says little about the time left: all runs together end at the sum of the rates of
// their classes at first, and those of one class at even intervals over its mean service time.
// The slice is valid until the next call.
func (q *Queue[W]) schedule(now time.Time) []time.Time {
	q.kept = q.reserved(now)
	q.slots = q.slots[:0]
	for range max(0, q.window.Size()-q.running) {
		q.slots = append(q.slots, now)
	}
	free := len(q.slots)
	rate := 0.0
	for class, n := range q.runningPerClass {
		work := q.work(class)
		rate += float64(n) / float64(work)
		for i := range n {
			q.slots = append(q.slots, now.Add(work*time.Duration(i+1)/time.Duration(n)))
		}
	}
	slices.SortFunc(q.slots, time.Time.Compare)
	for i := free; i < len(q.slots); i++ {
		if end := now.Add(time.Duration(float64(i-free+1) / rate)); end.Before(q.slots[i]) {
			q.slots[i] = end
		}
	}
	if excess := len(q.slots) - q.window.Size(); excess > 0 {
		// The window has become smaller: the first slots that become free are not used again.
		q.slots = q.slots[excess:]
	}
	return q.slots
}

// occupy assigns the slot that is free first to an entry.
func (q *Queue[W]) occupy(slots []time.Time, e *Entry) {
	end := slots[0].Add(q.work(e.request.class))
	n, _ := slices.BinarySearchFunc(slots, end, time.Time.Compare)
	copy(slots, slots[1:n])
	slots[n-1] = end
}

// startOf estimates when an entry starts to run that is inserted at the given index of the queue.
func (q *Queue[W]) startOf(now time.Time, e *Entry, at int) time.Time {
	slots := q.schedule(now)
	for _, ahead := range q.waiting[:at] {
		q.occupy(slots, ahead)
	}
	return q.startFrom(now, slots, e, at)
}

// startFrom returns the time at which an entry starts if the slots become free at the given times
// once a number of others that go first have run.
func (q *Queue[W]) startFrom(now time.Time, slots []time.Time, e *Entry, ahead int) time.Time {
	start := slots[0]
	if q.kept > 0 && q.delays(now, e) {
		// It starts once a slot is free that is not reserved, or it can wait no longer.
		next := slots[min(q.kept, len(slots)-1)]
		last := now.Add(q.calls.Slack(now, e.request.objective, q.work(e.request.class)))
		if q.calls.Held(next.Sub(start)) {
			start = next
		}
		if last.Before(start) {
			start = last
		}
	}
	if limited := now.Add(q.limiter.Interval(now) * time.Duration(ahead)); limited.After(start) {
		return limited
	}
	return start
}

// reserved returns the number of slots that are kept free for calls.
func (q *Queue[W]) reserved(now time.Time) int {
	return q.calls.Reserved(now, q.window.Size(), q.runningCalls, q.callMean)
}

// delays reports whether an entry waits while only reserved slots are free.
func (q *Queue[W]) delays(now time.Time, e *Entry) bool {
	return !e.request.priority.Nested() && q.calls.Slack(now, e.request.objective, q.work(e.request.class)) > 0
}

func movingAverage(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(float64(newest-mean)*serviceTimeWeight)
}
