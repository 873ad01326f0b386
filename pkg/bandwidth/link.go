package bandwidth

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// A waiting body is reviewed at intervals between minLinkTick and maxLinkTick.
	minLinkTick = time.Millisecond
	maxLinkTick = 50 * time.Millisecond
	// UnknownSize is the size in bytes that a body of unknown length counts as.
	UnknownSize = 1 << 20
)

// State is the state of a body at a Link.
type State uint8

const (
	// Queued means that the body has to wait.
	Queued State = iota
	// Granted means that the body may be requested from its sender.
	Granted
	// Refused means that the body would arrive too late. A body that was granted may be refused
	// once more urgent ones have overtaken it.
	Refused
	// Ended means that the body has arrived, or is not wanted any more.
	Ended
)

// Transfer describes the body of a request to a Link.
type Transfer struct {
	size                int
	priority            caller.Priority
	objective, deadline time.Time
	after               time.Duration
	redirectable        bool
}

// NewTransfer returns a body of size bytes, which counts as UnknownSize if negative. The
// objective is the time by which the request should be answered, the deadline the time after
// which an answer is of no use to its caller, and after what the request takes once the body has
// arrived. redirectable states that another machine may take the request if it would have to
// wait long here.
func NewTransfer(size int, p caller.Priority, objective, deadline time.Time, after time.Duration, redirectable bool) Transfer {
	if size < 0 {
		size = UnknownSize
	}
	return Transfer{size: size, priority: p, objective: objective, deadline: deadline, after: after, redirectable: redirectable}
}

// Entry represents a body at a Link. Only Submit creates entries.
type Entry struct {
	transfer  Transfer
	submitted time.Time
	state     State
	decided   chan struct{}
	wait      time.Duration
	// late states that the request cannot meet its objective any more.
	late bool
	// reserved is the time from which the link is reserved for a granted body, and cost for how
	// long.
	reserved time.Time
	cost     time.Duration
	// requested is the time at which the body was requested, zero if it was not, and progressed
	// the last time at which a part of it arrived.
	requested, progressed time.Time
	// overtaken states that more urgent bodies were granted in place of this one, which is granted
	// and not requested yet. turn is closed once it is requested or refused, nil unless that has to
	// wait. withdrawn is closed if it is refused after it was granted.
	overtaken       bool
	turn, withdrawn chan struct{}
}

// Decided returns a channel that is closed once the body no longer waits. Then Link.State
// returns the decision.
func (e *Entry) Decided() <-chan struct{} { return e.decided }

// Withdrawn returns a channel that is closed if the body is refused after it has been granted,
// since more urgent ones have overtaken it and no room comes in time.
func (e *Entry) Withdrawn() <-chan struct{} { return e.withdrawn }

// Link divides the rate at which a machine's link receives among the bodies of requests. It is
// designed for uploads that exceed the link, such as 60 KB at 23 to 56 per second over
// 10 Mbit/s, beside calls of a few hundred bytes with an objective of 200 ms: bodies are
// requested one after the other and leave a part of the rate free, so that a small message
// waits for one body at most; the most urgent bodies go first; and a request whose body would
// arrive too late is refused before anything of the body is sent.
//
// A grant reserves time of the link and does not lock it: a granted body that does not come
// delays the next one by what it would have taken.
//
// A Link takes no time itself. The caller calls Tick as often as it says while bodies wait. It
// is safe for concurrent use. Use NewLink to create one.
type Link struct {
	// configured is the rate in bytes per second, 0 if unlimited.
	configured float64
	// mu has rank lock.Peers and guards the fields below.
	mu *lock.Mutex
	// rate is the rate in use: the configured or the observed one.
	rate float64
	// free is the time at which the link has received everything that was granted or recorded.
	free time.Time
	// waiting holds the bodies that wait, in the order in which they are granted; open holds
	// those that are granted and have not ended.
	waiting, open []*Entry
	// samples are the rates of the last transfers, the latest of them at sampledAt.
	samples   []float64
	sampledAt time.Time
	// busySince is the time since which bodies are under way without a pause. receivedBytes and
	// receivedBodies count those that have arrived since then.
	busySince                     time.Time
	receivedBytes, receivedBodies int
	counts                        Counts
}

// Counts counts the decisions of a Link.
type Counts struct {
	granted, delayed, refused, returned, overtaken int64
}

// Granted returns the number of bodies that were granted.
func (c Counts) Granted() int64 { return c.granted }

// Delayed returns the number of bodies that had to wait.
func (c Counts) Delayed() int64 { return c.delayed }

// Refused returns the number of bodies that were refused, at once or after a wait.
func (c Counts) Refused() int64 { return c.refused }

// Returned returns the number of bodies that did not arrive after they had been granted.
func (c Counts) Returned() int64 { return c.returned }

// Overtaken returns how many times a body that was granted and not requested yet gave way to
// another one.
func (c Counts) Overtaken() int64 { return c.overtaken }

// NewLink returns a link that receives rate bytes per second. A rate of 0 means that it is
// unlimited: every body is granted at once.
func NewLink(rate float64) *Link {
	return &Link{configured: rate, rate: rate, mu: lock.New(lock.Peers)}
}

// Limited reports whether the rate of the link is known.
func (l *Link) Limited() bool { return l.configured > 0 }

// Submit grants, queues or refuses a body. The caller must call End for an entry that is granted
// or queued. If it is queued, the caller waits for the entry to be decided. The caller calls Tick,
// also if it is granted, since it may have overtaken others. If it is refused, wait estimates the
// time until there is capacity.
func (l *Link) Submit(now time.Time, t Transfer) (e *Entry, state State, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e = &Entry{transfer: t, submitted: now, decided: make(chan struct{}), withdrawn: make(chan struct{})}
	if !l.Limited() {
		l.grant(now, e)
		return e, e.state, 0
	}
	l.expireSamples(now)
	l.waiting = append(l.waiting, e)
	l.sort(now)
	if wait := l.estimateWait(now, e); t.redirectable && wait > caller.MaxRedirectWait(t.objective.Sub(now)) {
		l.refuse(slices.Index(l.waiting, e), wait)
		return e, e.state, e.wait
	}
	l.advance(now, e)
	if e.state == Queued {
		l.counts.delayed++
	}
	return e, e.state, e.wait
}

// State returns the state of an entry. If it is Refused, the duration estimates the time from
// the refusal until there is capacity.
func (l *Link) State(e *Entry) (State, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.state, e.wait
}

// Begin records that the body of a granted entry is requested from its sender. If the time
// that was reserved for it has passed, the body takes time of the link once more. If more urgent
// bodies have overtaken it, it may have to wait until they have arrived: then Begin returns a
// channel that is closed once the body is to be requested, or is refused, and the caller calls Tick
// meanwhile. The channel is closed already if the body has been refused since it was granted.
func (l *Link) Begin(now time.Time, e *Entry) (turn <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state == Refused {
		return e.withdrawn
	}
	if e.state != Granted || underWay(e) || !l.Limited() {
		return nil
	}
	if !e.overtaken {
		l.request(now, e)
		return nil
	}
	if e.turn == nil && !l.takeTurn(now, e) {
		e.turn = make(chan struct{})
	}
	return e.turn
}

// Progress records that a further part of the body of an entry has arrived.
func (l *Link) Progress(now time.Time, e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.progressed = now
}

// End ends an entry of which received bytes have arrived, and returns the capacity that was
// granted and not used. Calls after the first have no effect.
func (l *Link) End(now time.Time, e *Entry, received int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.state {
	case Queued:
		l.waiting = slices.DeleteFunc(l.waiting, func(o *Entry) bool { return o == e })
		e.decide(Ended)
	case Granted:
		e.state = Ended
		if !l.Limited() {
			return
		}
		l.open = slices.DeleteFunc(l.open, func(o *Entry) bool { return o == e })
		l.settle(now, e, received)
	default:
		return
	}
	l.advance(now, nil)
}

// Record records bytes that have arrived without a grant, such as small bodies, and bodies of the
// machine's own callers.
func (l *Link) Record(now time.Time, bytes int) {
	if !l.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(now, bytes)
}

// Tick grants and refuses waiting bodies, and resumes and refuses overtaken ones. It returns the time
// until the next call, or zero if no body waits or is overtaken.
func (l *Link) Tick(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now, nil)
	if len(l.waiting) == 0 && !slices.ContainsFunc(l.open, func(e *Entry) bool { return e.overtaken }) {
		return 0
	}
	next := l.free.Add(-linkLead).Sub(now)
	for _, e := range l.open {
		if underWay(e) {
			next = max(next, l.overdueAt(e).Sub(now))
		}
	}
	if next <= 0 {
		// Only bodies that are not requested yet hold up the first one, and End grants it.
		return maxLinkTick
	}
	return min(max(next, minLinkTick), maxLinkTick)
}

// Backlog returns the time until the link has received the bodies that are granted or waiting,
// or zero if it is unlimited. Overtaken bodies take new time of the link for what has passed of
// theirs.
func (l *Link) Backlog(now time.Time) time.Duration {
	if !l.Limited() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	backlog := max(0, l.free.Sub(now))
	for _, e := range l.waiting {
		backlog += l.cost(e.transfer.size)
	}
	for _, e := range l.open {
		if e.overtaken {
			backlog += missed(now, e)
		}
	}
	return backlog
}

// RefuseWaiting refuses all bodies that wait.
func (l *Link) RefuseWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		l.refuse(0, 0)
	}
}

// Rate returns the rate in use in bytes per second, which is the configured or the observed one.
func (l *Link) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate
}

// Pace returns the time that the link needs for a KiB, or zero if it is unlimited.
func (l *Link) Pace() time.Duration {
	if !l.Limited() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return seconds(1024 / l.rate)
}

// Counts returns the decisions so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
