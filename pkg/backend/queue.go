package backend

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// workWeight is the weight of the newest run in the mean time of a class.
	workWeight = 0.1
	// workFirst is taken for the time of a run before the first one has ended.
	workFirst = 50 * time.Millisecond
	// leastWork is the part of the mean time that a run is expected to take at
	// the least: what cannot end by its deadline even so is refused.
	leastWork = 0.7
	// waitShare is the part of the time to its objective that a request may be
	// expected to wait where another backend server may still take it.
	waitShare = 0.25
	// lateShare is the part of the time to its deadline that a request may be
	// expected to wait that cannot keep its objective.
	lateShare = 0.15
)

// Entry is a request's place at the queue.
type Entry struct {
	demand  Request
	state   State
	started time.Time
	moved   chan struct{}
	again   time.Duration
}

// Decided is closed once the claim no longer waits.
func (c *Entry) Decided() <-chan struct{} { return c.moved }

// Queue decides the order in which requests run at one backend server, and
// which are refused. It is meant for load beyond what the backend server bears:
// no more run than its window allows, the most urgent go first, and what cannot
// be answered in time any more is refused at once rather than held. Make one
// with NewQueue.
type Queue[W Window] struct {
	// mu, of rank lock.Gate, guards what follows.
	mu      *lock.Mutex
	window  W
	pace    RateLimiter
	waiting []*Entry
	// late are those that waited until they could no longer keep their objective.
	// They run when nothing else waits.
	late    []*Entry
	running int
	// mean is the time of a run over all classes, work by class.
	mean   time.Duration
	work   map[string]time.Duration
	closed bool
}

// NewQueue returns an empty queue with a window, and the pace of a backend server
// that is cold.
func NewQueue[W Window](window W, pace RateLimiter) *Queue[W] {
	return &Queue[W]{mu: lock.New(lock.Gate), window: window, pace: pace, work: make(map[string]time.Duration)}
}

// Submit takes in a request. choosy says that another backend server may take
// it if it would have to wait here for long. The claim runs, waits, or has been
// refused; again then says when there may be room.
func (q *Queue[W]) Submit(now time.Time, d Request, choosy bool) (c *Entry, state State, again time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c = &Entry{demand: d, moved: make(chan struct{})}
	switch {
	case q.closed:
		c.move(Closed)
		return c, c.state, 0
	case !now.Add(q.least(d)).Before(d.deadline):
		c.move(Expired)
		return c, c.state, 0
	}
	q.overdue(now)
	at, _ := slices.BinarySearchFunc(q.waiting, c, before)
	if wait := q.starts(now, at).Sub(now); wait > q.waitBound(now, d, choosy) {
		c.again = wait
		c.move(Overloaded)
		return c, c.state, c.again
	}
	q.waiting = slices.Insert(q.waiting, at, c)
	q.next(now)
	q.prune(now)
	return c, c.state, c.again
}

// before orders waiting claims: by rank, then by objective. Equal claims keep
// the order of their arrival.
func before(a, b *Entry) int {
	if n := a.demand.rank.Compare(b.demand.rank); n != 0 {
		return n
	}
	if n := a.demand.objective.Compare(b.demand.objective); n != 0 {
		return n
	}
	return -1
}

// waitBound returns how long a request may be expected to wait. Under load that
// lasts, a long queue makes every answer late and serves no more: what cannot
// keep its objective is refused while its caller may still come back. A request
// that another one waits for may wait as long as that one does.
func (q *Queue[W]) waitBound(now time.Time, d Request, choosy bool) time.Duration {
	work := q.work[d.class]
	if choosy {
		return max(0, time.Duration(float64(d.objective.Sub(now))*waitShare))
	}
	if d.rank.nested {
		return d.deadline.Sub(now) - work
	}
	late := time.Duration(float64(d.deadline.Sub(now)) * lateShare)
	return max(late, d.objective.Sub(now)-work)
}

// least returns the least time that a run of a request is expected to take.
func (q *Queue[W]) least(d Request) time.Duration {
	return time.Duration(float64(q.work[d.class]) * leastWork)
}

// starts estimates when the claim at an index of the queue starts to run.
func (q *Queue[W]) starts(now time.Time, at int) time.Time {
	free := q.window.Size() - q.running
	position := at + 1 - free
	var wait time.Duration
	if position > 0 {
		wait = q.drain() * time.Duration(position)
	}
	if paced := q.pace.Interval(now) * time.Duration(at); paced > wait {
		wait = paced
	}
	return now.Add(wait)
}

// drain returns the mean time between the ends of two runs at full load.
func (q *Queue[W]) drain() time.Duration {
	mean := q.mean
	if mean == 0 {
		mean = workFirst
	}
	return mean / time.Duration(max(q.window.Size(), 1))
}

// prune refuses waiting claims that are not expected to be answered in time.
func (q *Queue[W]) prune(now time.Time) {
	q.waiting = q.answerable(now, q.waiting, 0, 1)
	q.late = q.answerable(now, q.late, len(q.waiting), lateShare)
}

// answerable refuses those of a list of claims that are not expected to begin within
// a share of their time if a number of others go first, and returns the rest.
func (q *Queue[W]) answerable(now time.Time, claims []*Entry, first int, share float64) []*Entry {
	return slices.DeleteFunc(claims, func(c *Entry) bool {
		start := q.starts(now, first)
		left := c.demand.deadline.Add(-q.least(c.demand)).Sub(now)
		if wait := start.Sub(now); wait > time.Duration(float64(left)*share) {
			c.again = wait
			c.move(Overloaded)
			return true
		}
		first++
		return false
	})
}

// overdue puts off what can no longer keep its objective: it would make what waits
// behind it late as well.
func (q *Queue[W]) overdue(now time.Time) {
	kept := q.waiting[:0]
	for _, c := range q.waiting {
		if !c.demand.rank.nested && now.Add(q.work[c.demand.class]).After(c.demand.objective) {
			q.late = append(q.late, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// next lets claims run while there is room.
func (q *Queue[W]) next(now time.Time) {
	q.overdue(now)
	for len(q.waiting)+len(q.late) > 0 && q.running < q.window.Size() {
		first := &q.waiting
		if len(q.waiting) == 0 {
			first = &q.late
		}
		c := (*first)[0]
		if !now.Add(q.least(c.demand)).Before(c.demand.deadline) {
			*first = shift(*first)
			c.move(Expired)
			continue
		}
		if _, ok := q.pace.Take(now); !ok {
			return
		}
		*first = shift(*first)
		q.running++
		c.started = now
		c.move(Running)
	}
}

func shift(claims []*Entry) []*Entry {
	claims[0] = nil
	return claims[1:]
}

func (c *Entry) move(s State) {
	c.state = s
	close(c.moved)
}

// State returns where a claim is, and for a refused one when there may be room.
func (q *Queue[W]) State(c *Entry) (State, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return c.state, c.again
}

// Done ends a claim that runs and lets the next run.
func (q *Queue[W]) Done(now time.Time, c *Entry, r Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.state != Running {
		return
	}
	c.state = Finished
	q.running--
	if r == Served {
		q.learn(c.demand.class, now.Sub(c.started))
	}
	q.window.RequestEnded(now, r, q.running+1 >= q.window.Size())
	q.next(now)
	q.prune(now)
}

func (q *Queue[W]) learn(class string, took time.Duration) {
	q.mean = blend(q.mean, took)
	q.work[class] = blend(q.work[class], took)
}

func blend(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(float64(newest-mean)*workWeight)
}

// Cancel takes back a claim whose caller gave up. One that runs by now has to
// be ended with Done; Cancel then returns false.
func (q *Queue[W]) Cancel(c *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch c.state {
	case Running:
		return false
	case Waiting:
		is := func(other *Entry) bool { return other == c }
		q.waiting = slices.DeleteFunc(q.waiting, is)
		q.late = slices.DeleteFunc(q.late, is)
		c.move(Finished)
	}
	return true
}

// Tick lets waiting claims run that a cold backend server can take by now, and
// returns when to call again, zero where nothing waits for that.
func (q *Queue[W]) Tick(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next(now)
	q.prune(now)
	if len(q.waiting)+len(q.late) == 0 || q.running >= q.window.Size() {
		return 0
	}
	return max(q.pace.Interval(now), time.Millisecond)
}

// SetCold bounds the rate of requests until an instant, since the backend server
// is cold.
func (q *Queue[W]) SetCold(now, until time.Time, rate float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pace.SetCold(now, until, rate)
}

// Cold says whether the rate is bounded.
func (q *Queue[W]) Cold(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pace.Cold(now)
}

// Resize sets how many requests the backend server runs at most.
func (q *Queue[W]) Resize(now time.Time, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.Resize(slots)
	q.next(now)
}

// SetClosed refuses all that waits and all that comes, or takes requests again.
// What runs goes on.
func (q *Queue[W]) SetClosed(closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = closed
	if !closed {
		return
	}
	for _, c := range slices.Concat(q.waiting, q.late) {
		c.move(Closed)
	}
	q.waiting, q.late = nil, nil
}

// Load returns how many requests run and wait, how many may run at once, and
// the mean time of a run.
func (q *Queue[W]) Load() (running, waiting, limit int, mean time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting) + len(q.late), q.window.Size(), q.mean
}

// MeanServiceTime returns the mean time of a run of a class, or zero where there was none.
func (q *Queue[W]) MeanServiceTime(class string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.work[class]
}
