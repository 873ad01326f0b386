package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
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
	// recheckInterval is the time after which a request that leaves free slots to calls is
	// considered again if nothing else happens.
	recheckInterval = 50 * time.Millisecond
)

// Entry represents a request at a Queue. Only Submit creates entries.
type Entry struct {
	request Request
	// number is the number of entries that arrived before.
	number     uint64
	state      State
	started    time.Time
	decided    chan struct{}
	retryAfter time.Duration
}

// Decided returns a channel that is closed once the request no longer waits. Then
// Queue.State returns the decision.
func (e *Entry) Decided() <-chan struct{} { return e.decided }

// Queue is a priority queue that decides the order in which requests run at one
// backend server and which are rejected. It is designed for overload: no more
// requests run than its window allows, the most urgent go first, and a request that
// can no longer be answered in time is rejected immediately instead of being kept
// waiting.
//
// The load pattern is a mix of requests of different work and urgency, such as archive reads of
// 750 ms beside fee entries of 130 ms, in bursts beyond the capacity. Refusing whoever arrives
// last or would be late keeps the long requests that make the others late. The order of service
// is that of caller.Need, and if one of the waiting requests would miss its objective,
// caller.Victim chooses which of those ahead of it, or itself, goes behind all that can meet
// theirs. There it is refused unless it starts soon.
//
// A Queue is safe for concurrent use. Use NewQueue to create one.
type Queue[W Window] struct {
	// mu has rank lock.Gate and guards the fields below.
	mu      *lock.Mutex
	window  W
	limiter RateLimiter
	waiting []*Entry
	// late holds the entries that can no longer meet their objective, or that make way for
	// others. They run when no others are waiting.
	late []*Entry
	// arrived is the number of entries so far.
	arrived uint64
	running int
	// runningPerClass is the number of running entries per class.
	runningPerClass map[string]int
	// slots is the memory of schedule, and kept the number of free slots kept for calls at the
	// time of its last call.
	slots []time.Time
	kept  int
	// calls is what is known of the calls among the requests, callMean their mean service time and
	// runningCalls the number of running ones.
	calls        CallShare
	callMean     time.Duration
	runningCalls int
	// mean is the mean service time over all classes, classMeans the mean per class.
	mean       time.Duration
	classMeans map[string]time.Duration
	closed     bool
}

// NewQueue returns an empty queue with the given window, which the caller must not
// use any more, and the rate limiter that applies while the backend server is cold.
func NewQueue[W Window](window W, limiter RateLimiter) *Queue[W] {
	return &Queue[W]{
		mu: lock.New(lock.Gate), window: window, limiter: limiter,
		runningPerClass: make(map[string]int), classMeans: make(map[string]time.Duration),
	}
}

// Submit admits, queues or rejects a request. redirectable states that another
// backend server may take the request if it would have to wait long here. If the
// state is Running, the caller must end the request with Done. If it is Waiting, the
// caller waits for the entry to be decided, or calls Cancel. If it is Overloaded,
// retryAfter estimates the time until there is room for a request of its need, which is shorter
// for a more urgent one. While Blocked, the caller must call Tick to start requests that wait for
// the rate limit of a cold backend server or leave free slots to calls.
func (q *Queue[W]) Submit(now time.Time, r Request, redirectable bool) (e *Entry, state State, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e = &Entry{request: r, number: q.arrived, decided: make(chan struct{})}
	q.arrived++
	switch {
	case q.closed:
		e.decide(Closed)
		return e, e.state, 0
	case !now.Add(q.minServiceTime(r)).Before(r.deadline):
		e.decide(Expired)
		return e, e.state, 0
	}
	if r.priority.Nested() {
		q.calls.RecordCall(now, r.objective.Sub(now)-q.classMeans[r.class])
	}
	q.deferLate(now)
	at, _ := slices.BinarySearchFunc(q.waiting, e, compareEntries)
	if redirectable {
		if wait := q.startOf(now, e, at).Sub(now); wait > caller.MaxRedirectWait(r.objective.Sub(now)) {
			e.retryAfter = wait
			e.decide(Overloaded)
			return e, e.state, e.retryAfter
		}
	}
	q.waiting = slices.Insert(q.waiting, at, e)
	q.startWaiting(now)
	q.rejectLate(now)
	return e, e.state, e.retryAfter
}

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

func (e *Entry) decide(s State) {
	e.state = s
	close(e.decided)
}

// State returns the state of an entry. If it is Overloaded, the duration estimates
// the time from the rejection until there is room.
func (q *Queue[W]) State(e *Entry) (State, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return e.state, e.retryAfter
}

// Done ends a running request and starts waiting ones. It has no effect on an entry
// in any other state.
func (q *Queue[W]) Done(now time.Time, e *Entry, result Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.state != Running {
		return
	}
	e.state = Finished
	q.running--
	if q.runningPerClass[e.request.class]--; q.runningPerClass[e.request.class] == 0 {
		delete(q.runningPerClass, e.request.class)
	}
	if e.request.priority.Nested() {
		q.runningCalls--
	}
	if result == Served {
		took := now.Sub(e.started)
		q.mean = movingAverage(q.mean, took)
		q.classMeans[e.request.class] = movingAverage(q.classMeans[e.request.class], took)
		if e.request.priority.Nested() {
			q.callMean = movingAverage(q.callMean, took)
		}
	}
	q.window.RecordEnd(now, result, q.running+1 >= q.window.Size())
	q.startWaiting(now)
	q.rejectLate(now)
}

func movingAverage(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(float64(newest-mean)*serviceTimeWeight)
}

// Cancel removes a request whose caller gave up. It returns false if the request
// is already running, in which case the caller must end it with Done.
func (q *Queue[W]) Cancel(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch e.state {
	case Running:
		return false
	case Waiting:
		match := func(other *Entry) bool { return other == e }
		q.waiting = slices.DeleteFunc(q.waiting, match)
		q.late = slices.DeleteFunc(q.late, match)
		e.decide(Finished)
	}
	return true
}

// Tick starts waiting entries that the rate limit of a cold backend server now
// allows, or that leave free slots to calls no longer. It returns the time until the next call,
// or zero if no entry is waiting although slots are free.
func (q *Queue[W]) Tick(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiting(now)
	q.rejectLate(now)
	if len(q.waiting)+len(q.late) == 0 || q.running >= q.window.Size() {
		return 0
	}
	if interval := q.limiter.Interval(now); interval > 0 {
		return max(interval, time.Millisecond)
	}
	return recheckInterval
}

// Blocked reports whether entries wait although slots are free, so that Tick must be called.
func (q *Queue[W]) Blocked() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)+len(q.late) > 0 && q.running < q.window.Size()
}

// SetCold limits the rate of requests until the given time, because the backend
// server is cold and handles only rate requests per second. A rate of zero disables
// the limit.
func (q *Queue[W]) SetCold(now, until time.Time, rate float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetCold(now, until, rate)
}

// Cold reports whether the rate of requests is limited.
func (q *Queue[W]) Cold(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Cold(now)
}

// Resize sets the number of slots: the maximum number of requests that the backend
// server runs concurrently. It must be at least 1.
func (q *Queue[W]) Resize(now time.Time, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.Resize(slots)
	q.startWaiting(now)
}

// SetClosed makes the queue reject all waiting and future requests, or accept
// requests again. Running requests continue.
func (q *Queue[W]) SetClosed(closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = closed
	if !closed {
		return
	}
	for _, e := range slices.Concat(q.waiting, q.late) {
		e.decide(Closed)
	}
	q.waiting, q.late = nil, nil
}

// Load returns the numbers of running and waiting requests, the size of the window,
// and the mean service time, which is zero before the first request is served.
func (q *Queue[W]) Load() (running, waiting, limit int, mean time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting) + len(q.late), q.window.Size(), q.mean
}

// Reserved returns the number of free slots that are kept for calls.
func (q *Queue[W]) Reserved(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reserved(now)
}

// MeanServiceTime returns the mean service time of a class, or zero if no request
// of that class has been served.
func (q *Queue[W]) MeanServiceTime(class string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.classMeans[class]
}
