package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

// need returns what an entry needs of the slots. The work is the mean service time of its class.
func (q *Queue[W]) need(e *Entry) caller.Need {
	return e.request.need(q.classMeans[e.request.class])
}

// compareEntries orders waiting entries by their needs, and equal ones by their arrival.
func compareEntries(a, b *Entry) int {
	return cmp.Or(a.request.need(0).Compare(b.request.need(0)), cmp.Compare(a.number, b.number))
}

// insert inserts an entry into a list in the order of service.
func insert(entries []*Entry, e *Entry) []*Entry {
	at, _ := slices.BinarySearchFunc(entries, e, compareEntries)
	return slices.Insert(entries, at, e)
}

// next returns the list and the index of the next entry to start, or false if none may start
// although slots are free.
func (q *Queue[W]) next(now time.Time) (list *[]*Entry, at int, ok bool) {
	list = &q.waiting
	if len(q.waiting) == 0 {
		list = &q.late
	}
	if free := q.window.Size() - q.running; free > q.reserved(now) {
		return list, 0, true
	}
	if slots := q.schedule(now); !q.calls.Held(slots[min(q.kept, len(slots)-1)].Sub(now)) {
		return list, 0, true
	}
	at = slices.IndexFunc(*list, func(e *Entry) bool { return !q.delays(now, e) })
	return list, at, at >= 0
}

// rejectLate rejects waiting entries that are not expected to be answered in time. Of those that
// cannot all meet their objectives it moves victims to the late ones.
func (q *Queue[W]) rejectLate(now time.Time) {
	q.restoreVictims(now)
	for q.deferVictim(now) {
	}
	slots := q.schedule(now)
	q.waiting = q.rejectUnstartable(now, slots, q.waiting, 0, 1)
	q.late = q.rejectUnstartable(now, slots, q.late, len(q.waiting), caller.LateWaitShare)
}

// restoreVictims moves the late entries back that can still meet their objective. They may do so
// if those for which they made way took less time, or were withdrawn.
func (q *Queue[W]) restoreVictims(now time.Time) {
	q.late = slices.DeleteFunc(q.late, func(e *Entry) bool {
		if !q.need(e).MeetsObjective(now) {
			return false
		}
		q.waiting = insert(q.waiting, e)
		return true
	})
}

// deferVictim moves a victim to the late entries if not all waiting ones can be answered in time,
// and reports whether it has. A call is in time until its deadline, because the request that made
// it waits for it.
func (q *Queue[W]) deferVictim(now time.Time) bool {
	slots := q.schedule(now)
	for i, e := range q.waiting {
		start := q.startFrom(now, slots, e, i)
		q.occupy(slots, e)
		need := q.need(e)
		if need.Priority().Nested() || need.MeetsObjective(start) {
			continue
		}
		n := caller.Victim(q.waiting[:i+1], q.need)
		victim := q.waiting[n]
		q.waiting = slices.Delete(q.waiting, n, n+1)
		q.late = insert(q.late, victim)
		return true
	}
	return false
}

// rejectUnstartable rejects those entries that are not expected to start within the
// given share of the time they have left, and returns the rest. slots are the times at which the
// slots become free once the given number of other entries that go first have run. Those that are
// rejected have room at that time: a shorter time would bring back requests that made way for
// others while these still wait.
func (q *Queue[W]) rejectUnstartable(now time.Time, slots []time.Time, entries []*Entry, ahead int, share float64) []*Entry {
	return slices.DeleteFunc(entries, func(e *Entry) bool {
		start := q.startFrom(now, slots, e, ahead)
		left := e.request.deadline.Add(-q.minServiceTime(e.request)).Sub(now)
		if wait := start.Sub(now); wait > time.Duration(float64(left)*share) {
			e.retryAfter = wait
			e.decide(Overloaded)
			return true
		}
		q.occupy(slots, e)
		ahead++
		return false
	})
}

// deferLate moves entries that can no longer meet their objective to the list of
// late ones. Ahead of others in the queue, they would make those late as well.
func (q *Queue[W]) deferLate(now time.Time) {
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		if !e.request.priority.Nested() && now.Add(q.classMeans[e.request.class]).After(e.request.objective) {
			q.late = insert(q.late, e)
			continue
		}
		kept = append(kept, e)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// startWaiting starts waiting entries while the window has room.
func (q *Queue[W]) startWaiting(now time.Time) {
	q.deferLate(now)
	for len(q.waiting)+len(q.late) > 0 && q.running < q.window.Size() {
		list, at, ok := q.next(now)
		if !ok {
			return
		}
		e := (*list)[at]
		if !now.Add(q.minServiceTime(e.request)).Before(e.request.deadline) {
			*list = remove(*list, at)
			e.decide(Expired)
			continue
		}
		if _, ok := q.limiter.Take(now); !ok {
			return
		}
		*list = remove(*list, at)
		q.running++
		q.runningPerClass[e.request.class]++
		if e.request.priority.Nested() {
			q.runningCalls++
		}
		e.started = now
		e.decide(Running)
	}
}

// remove removes an entry. It clears the element of the first one, so that the backing array does
// not keep the entry in memory.
func remove(entries []*Entry, at int) []*Entry {
	if at > 0 {
		return slices.Delete(entries, at, at+1)
	}
	entries[0] = nil
	return entries[1:]
}
