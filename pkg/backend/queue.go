package backend

import (
	"slices"
	"time"

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
	// redirectWaitShare is the fraction of the time until its objective that a
	// request may be expected to wait if another backend server may still take it.
	redirectWaitShare = 0.25
	// lateWaitShare is the fraction of the time until its deadline that a request
	// may be expected to wait if it cannot meet its objective.
	lateWaitShare = 0.15
)

// Entry represents a request at a Queue. Only Submit creates entries.
type Entry struct {
	request    Request
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
// waiting. A Queue is safe for concurrent use. Use NewQueue to create one.
type Queue[W Window] struct {
	// mu has rank lock.Gate and guards the fields below.
	mu      *lock.Mutex
	window  W
	limiter RateLimiter
	waiting []*Entry
	// late holds the entries that can no longer meet their objective. They run when
	// no others are waiting.
	late    []*Entry
	running int
	// mean is the mean service time over all classes, classMeans the mean per class.
	mean       time.Duration
	classMeans map[string]time.Duration
	closed     bool
}

// NewQueue returns an empty queue with the given window, which the caller must not
// use any more, and the rate limiter that applies while the backend server is cold.
func NewQueue[W Window](window W, limiter RateLimiter) *Queue[W] {
	return &Queue[W]{mu: lock.New(lock.Gate), window: window, limiter: limiter, classMeans: make(map[string]time.Duration)}
}

// Submit admits, queues or rejects a request. redirectable states that another
// backend server may take the request if it would have to wait long here. If the
// state is Running, the caller must end the request with Done. If it is Waiting, the
// caller waits for the entry to be decided, or calls Cancel. If it is Overloaded,
// retryAfter estimates the time until there is room. While the backend server is
// cold, the caller must call Tick to start requests that wait for the rate limit.
func (q *Queue[W]) Submit(now time.Time, r Request, redirectable bool) (e *Entry, state State, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e = &Entry{request: r, decided: make(chan struct{})}
	switch {
	case q.closed:
		e.decide(Closed)
		return e, e.state, 0
	case !now.Add(q.minServiceTime(r)).Before(r.deadline):
		e.decide(Expired)
		return e, e.state, 0
	}
	q.deferLate(now)
	at, _ := slices.BinarySearchFunc(q.waiting, e, compareEntries)
	if wait := q.estimateStart(now, at).Sub(now); wait > q.maxWait(now, r, redirectable) {
		e.retryAfter = wait
		e.decide(Overloaded)
		return e, e.state, e.retryAfter
	}
	q.waiting = slices.Insert(q.waiting, at, e)
	q.startWaiting(now)
	q.rejectLate(now)
	return e, e.state, e.retryAfter
}

// compareEntries orders waiting entries by priority, then by objective. It never
// returns zero, so that equal entries stay in the order of their arrival.
func compareEntries(a, b *Entry) int {
	if n := a.request.priority.Compare(b.request.priority); n != 0 {
		return n
	}
	if n := a.request.objective.Compare(b.request.objective); n != 0 {
		return n
	}
	return -1
}

// maxWait returns how long a request may be expected to wait. Under sustained
// overload, a long queue makes every answer late without serving more requests. A
// request that cannot meet its objective is therefore rejected while its caller
// still has time to retry. A nested request may wait as long as the request that is
// waiting for it, that is, up to its deadline.
func (q *Queue[W]) maxWait(now time.Time, r Request, redirectable bool) time.Duration {
	work := q.classMeans[r.class]
	if redirectable {
		return max(0, time.Duration(float64(r.objective.Sub(now))*redirectWaitShare))
	}
	if r.priority.Nested() {
		return r.deadline.Sub(now) - work
	}
	late := time.Duration(float64(r.deadline.Sub(now)) * lateWaitShare)
	return max(late, r.objective.Sub(now)-work)
}

// minServiceTime returns the minimum time that a request is expected to run.
func (q *Queue[W]) minServiceTime(r Request) time.Duration {
	return time.Duration(float64(q.classMeans[r.class]) * minServiceShare)
}

// estimateStart estimates when the entry at the given index of the queue starts to
// run.
func (q *Queue[W]) estimateStart(now time.Time, at int) time.Time {
	free := q.window.Size() - q.running
	position := at + 1 - free
	var wait time.Duration
	if position > 0 {
		wait = q.completionInterval() * time.Duration(position)
	}
	if limited := q.limiter.Interval(now) * time.Duration(at); limited > wait {
		wait = limited
	}
	return now.Add(wait)
}

// completionInterval returns the mean time between two completions at full load.
func (q *Queue[W]) completionInterval() time.Duration {
	mean := q.mean
	if mean == 0 {
		mean = initialServiceTime
	}
	return mean / time.Duration(max(q.window.Size(), 1))
}

// rejectLate rejects waiting entries that are not expected to be answered in time.
func (q *Queue[W]) rejectLate(now time.Time) {
	q.waiting = q.rejectUnstartable(now, q.waiting, 0, 1)
	q.late = q.rejectUnstartable(now, q.late, len(q.waiting), lateWaitShare)
}

// rejectUnstartable rejects those entries that are not expected to start within the
// given share of the time they have left, and returns the rest. ahead is the number
// of other entries that go first.
func (q *Queue[W]) rejectUnstartable(now time.Time, entries []*Entry, ahead int, share float64) []*Entry {
	return slices.DeleteFunc(entries, func(e *Entry) bool {
		start := q.estimateStart(now, ahead)
		left := e.request.deadline.Add(-q.minServiceTime(e.request)).Sub(now)
		if wait := start.Sub(now); wait > time.Duration(float64(left)*share) {
			e.retryAfter = wait
			e.decide(Overloaded)
			return true
		}
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
			q.late = append(q.late, e)
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
		first := &q.waiting
		if len(q.waiting) == 0 {
			first = &q.late
		}
		e := (*first)[0]
		if !now.Add(q.minServiceTime(e.request)).Before(e.request.deadline) {
			*first = removeFirst(*first)
			e.decide(Expired)
			continue
		}
		if _, ok := q.limiter.Take(now); !ok {
			return
		}
		*first = removeFirst(*first)
		q.running++
		e.started = now
		e.decide(Running)
	}
}

// removeFirst removes the first entry and clears its element, so that the backing
// array does not keep the entry in memory.
func removeFirst(entries []*Entry) []*Entry {
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
	if result == Served {
		q.recordServiceTime(e.request.class, now.Sub(e.started))
	}
	q.window.RecordEnd(now, result, q.running+1 >= q.window.Size())
	q.startWaiting(now)
	q.rejectLate(now)
}

func (q *Queue[W]) recordServiceTime(class string, took time.Duration) {
	q.mean = movingAverage(q.mean, took)
	q.classMeans[class] = movingAverage(q.classMeans[class], took)
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
// allows. It returns the time until the next call, or zero if no entry is waiting
// for the rate limit.
func (q *Queue[W]) Tick(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiting(now)
	q.rejectLate(now)
	if len(q.waiting)+len(q.late) == 0 || q.running >= q.window.Size() {
		return 0
	}
	return max(q.limiter.Interval(now), time.Millisecond)
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

// MeanServiceTime returns the mean service time of a class, or zero if no request
// of that class has been served.
func (q *Queue[W]) MeanServiceTime(class string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.classMeans[class]
}
