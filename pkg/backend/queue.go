package backend

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
)

// recheckInterval is the time after which a request that leaves free slots to calls is
// considered again if nothing else happens.
const recheckInterval = 50 * time.Millisecond

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
