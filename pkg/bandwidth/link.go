package bandwidth

import (
	"math"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// linkShare is the share of a link's rate that bodies may take. The rest is left for small
	// messages, which otherwise wait behind one body after another.
	linkShare = 0.85
	// linkLead is how long before the end of a body the next one may be granted, so that the
	// link is not idle while the next sender is asked for its body.
	linkLead = 5 * time.Millisecond
	// arrivalGrace is how long nothing more of a body may arrive, once it should have arrived
	// whole, before the next one is granted beside it. It covers a round trip and the pauses of
	// a machine with a fraction of a core. A longer one would let a sender that has stopped hold
	// up the others.
	arrivalGrace = 30 * time.Millisecond
	// maxArrival is how many times the expected duration a body may hold up others while it
	// arrives. The bodies over a slow link do not overlap then, and a sender that sends a few
	// bytes at a time does not hold up the others for long.
	maxArrival = 4
	// maxUnrequested is the time that the link needs for the bodies that are granted but not
	// requested yet, beyond which none is granted. These requests wait for a slot of the backend
	// server, and all their bodies may be requested at the same time.
	maxUnrequested = 200 * time.Millisecond
	// maxRecordDebt is the time for which bytes that have arrived without a grant may delay the
	// next grant. They compete only with the bodies that are under way.
	maxRecordDebt = 200 * time.Millisecond
	// A waiting body is reviewed at intervals between minLinkTick and maxLinkTick.
	minLinkTick = time.Millisecond
	maxLinkTick = 50 * time.Millisecond
	// acceptShare is the share of the time that a body may wait that it is expected to wait at
	// most when it is accepted. The rest absorbs errors of the estimate, so that few bodies are
	// refused after they have waited.
	acceptShare = 0.9
	// UnknownSize is the size in bytes that a body of unknown length counts as.
	UnknownSize = 1 << 20
	// minSampleBytes is the number of bytes from which the duration of a transfer says
	// something about the rate of the link: smaller ones mostly wait for round trips.
	minSampleBytes = 32 << 10
	// sampleTransfers is the number of overlapping transfers after which they are taken as one
	// sample, although others are still under way.
	sampleTransfers = 4
	// rateSamples is the number of consecutive samples that must all be slow for the link to
	// count as slower than configured. A slow sender makes only some of them slow.
	rateSamples = 5
	// slowShare is the share of the configured rate up to which a sample is slow.
	slowShare = 0.5
	// sampleTTL is how long samples are used. At a very low estimate no body is accepted, so
	// that there are no new samples.
	sampleTTL = 5 * time.Second
)

// State is the state of a body at a Link.
type State uint8

const (
	// Queued means that the body has to wait.
	Queued State = iota
	// Granted means that the body may be requested from its sender.
	Granted
	// Refused means that the body would arrive too late.
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
}

// Decided returns a channel that is closed once the body no longer waits. Then Link.State
// returns the decision.
func (e *Entry) Decided() <-chan struct{} { return e.decided }

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
	granted, delayed, refused, returned int64
}

// Granted returns the number of bodies that were granted.
func (c Counts) Granted() int64 { return c.granted }

// Delayed returns the number of bodies that had to wait.
func (c Counts) Delayed() int64 { return c.delayed }

// Refused returns the number of bodies that were refused, at once or after a wait.
func (c Counts) Refused() int64 { return c.refused }

// Returned returns the number of bodies that did not arrive after they had been granted.
func (c Counts) Returned() int64 { return c.returned }

// NewLink returns a link that receives rate bytes per second. A rate of 0 means that it is
// unlimited: every body is granted at once.
func NewLink(rate float64) *Link {
	return &Link{configured: rate, rate: rate, mu: lock.New(lock.Peers)}
}

// Limited reports whether the rate of the link is known.
func (l *Link) Limited() bool { return l.configured > 0 }

// Submit grants, queues or refuses a body. The caller must call End for an entry that is granted
// or queued. If it is queued, the caller waits for the entry to be decided, and calls Tick. If it
// is refused, wait estimates the time until there is capacity.
func (l *Link) Submit(now time.Time, t Transfer) (e *Entry, state State, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e = &Entry{transfer: t, submitted: now, decided: make(chan struct{})}
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
// that was reserved for it has passed, the body takes time of the link once more.
func (l *Link) Begin(now time.Time, e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != Granted || !e.requested.IsZero() || !l.Limited() {
		return
	}
	if !slices.ContainsFunc(l.open, underWay) {
		l.busySince, l.receivedBytes, l.receivedBodies = now, 0, 0
	}
	e.requested = now
	if missed := min(now.Sub(e.reserved), e.cost); missed > linkLead {
		l.free = later(now, l.free).Add(missed)
	}
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

// settle accounts for what a granted body has not used or used in addition, and observes the rate.
func (l *Link) settle(now time.Time, e *Entry, received int) {
	missing := e.transfer.size - received
	switch {
	case missing > 0:
		l.counts.returned++
		ahead := e.reserved.Add(e.cost).Sub(later(now, e.reserved))
		unused := time.Duration(float64(e.cost) * float64(missing) / float64(e.transfer.size))
		l.free = l.free.Add(-max(0, min(ahead, unused)))
	case missing < 0:
		l.record(now, -missing)
	}
	if e.requested.IsZero() {
		return
	}
	l.receivedBytes += received
	l.receivedBodies++
	last := !slices.ContainsFunc(l.open, underWay)
	if missing > 0 && last {
		// The time for which the sender did not send says nothing about the link.
		return
	}
	if last || l.receivedBodies >= sampleTransfers {
		l.sample(now)
	}
}

// sample observes the rate of the transfers since busySince.
func (l *Link) sample(now time.Time) {
	took := now.Sub(l.busySince)
	if l.receivedBytes >= minSampleBytes && took > 0 {
		if len(l.samples) == rateSamples {
			l.samples = slices.Delete(l.samples, 0, 1)
		}
		l.samples = append(l.samples, float64(l.receivedBytes)/took.Seconds())
		l.sampledAt = now
	}
	l.busySince, l.receivedBytes, l.receivedBodies = now, 0, 0
	l.rate = l.configured
	if len(l.samples) == rateSamples {
		if fastest := slices.Max(l.samples); fastest <= l.configured*slowShare {
			l.rate = fastest
		}
	}
}

func (l *Link) expireSamples(now time.Time) {
	if now.Sub(l.sampledAt) > sampleTTL {
		l.samples = nil
		l.rate = l.configured
	}
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

func (l *Link) record(now time.Time, bytes int) {
	// The bytes have arrived by now, and have used what was free until now.
	cost := l.cost(bytes)
	end := later(l.free.Add(cost), now)
	l.free = later(l.free, earlier(end, now.Add(maxRecordDebt)))
}

// Tick grants and refuses waiting bodies. It returns the time until the next call, or zero if
// no body waits.
func (l *Link) Tick(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now, nil)
	if len(l.waiting) == 0 {
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
// or zero if it is unlimited.
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

// advance refuses bodies that would arrive too late, and grants others. fresh is the body that
// has just been submitted, or nil.
func (l *Link) advance(now time.Time, fresh *Entry) {
	l.sort(now)
	l.refuseHopeless(now, fresh)
	l.refuseLate(now, fresh)
	for len(l.waiting) > 0 && l.mayGrant(now) {
		first := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.open = append(l.open, first)
		l.grant(now, first)
	}
}

func (l *Link) grant(now time.Time, e *Entry) {
	e.reserved = later(now, l.free)
	e.cost = l.cost(e.transfer.size)
	l.free = e.reserved.Add(e.cost)
	l.counts.granted++
	e.decide(Granted)
}

// mayGrant reports whether the next body may be granted.
func (l *Link) mayGrant(now time.Time) bool {
	if l.free.After(now.Add(linkLead)) {
		return false
	}
	var unrequested time.Duration
	for _, e := range l.open {
		switch {
		case e.requested.IsZero():
			unrequested += e.cost
		case now.Before(l.overdueAt(e)):
			return false
		}
	}
	return unrequested == 0 || unrequested+l.cost(l.waiting[0].transfer.size) <= maxUnrequested
}

// overdueAt returns the time until which a body that is under way holds up others.
func (l *Link) overdueAt(e *Entry) time.Time {
	expected := later(e.requested.Add(e.cost), e.progressed).Add(arrivalGrace)
	return earlier(expected, e.requested.Add(maxArrival*e.cost+arrivalGrace))
}

// underWay reports whether the body of an open entry has been requested.
func underWay(e *Entry) bool { return !e.requested.IsZero() }

// sort brings the waiting bodies into the order in which they are granted: those that can meet
// their objective first.
func (l *Link) sort(now time.Time) {
	start := later(now, l.free)
	for _, e := range l.waiting {
		e.late = !e.transfer.priority.Nested() && !l.need(e).MeetsObjective(start)
	}
	slices.SortStableFunc(l.waiting, func(a, b *Entry) int {
		if a.late != b.late {
			if b.late {
				return -1
			}
			return 1
		}
		return l.need(a).Compare(l.need(b))
	})
}

// refuseHopeless refuses the bodies that would be too late even if they were granted next.
func (l *Link) refuseHopeless(now time.Time, fresh *Entry) {
	start := later(now, l.free)
	for i := 0; i < len(l.waiting); {
		if start.After(l.latestStart(l.waiting[i], fresh)) {
			l.refuse(i, start.Sub(now))
			continue
		}
		i++
	}
}

// refuseLate refuses bodies until no other would be too late.
func (l *Link) refuseLate(now time.Time, fresh *Entry) {
	for {
		start := later(now, l.free)
		i := slices.IndexFunc(l.waiting, func(e *Entry) bool {
			if start.After(l.latestStart(e, fresh)) {
				return true
			}
			start = start.Add(l.cost(e.transfer.size))
			return false
		})
		if i < 0 {
			return
		}
		// A body that is late is no reason to refuse one that is not.
		first := 0
		if l.waiting[i].late {
			first = slices.IndexFunc(l.waiting, func(e *Entry) bool { return e.late })
		}
		l.refuse(first+caller.Victim(l.waiting[first:i+1], l.need), start.Sub(now))
	}
}

// refuse refuses the waiting body with the given index.
func (l *Link) refuse(i int, wait time.Duration) {
	e := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
	e.wait = wait
	l.counts.refused++
	e.decide(Refused)
}

// latestStart returns the time by which a body must be granted. A body is accepted if it is
// expected to meet its objective, or to wait for a small part of the time to its deadline: a
// longer queue would make all requests late without serving more of them. Once it has waited it
// is kept up to its deadline.
func (l *Link) latestStart(e, fresh *Entry) time.Time {
	t := e.transfer
	before := t.after + l.cost(t.size)
	latest := t.deadline.Add(-before)
	if e != fresh {
		return latest
	}
	wait := latest.Sub(e.submitted)
	if !t.priority.Nested() {
		wait = min(wait, max(t.objective.Add(-before).Sub(e.submitted), time.Duration(float64(wait)*caller.LateWaitShare)))
	}
	if wait > 0 {
		wait = time.Duration(float64(wait) * acceptShare)
	}
	return e.submitted.Add(wait)
}

// estimateWait estimates the time until a waiting body is granted.
func (l *Link) estimateWait(now time.Time, e *Entry) time.Duration {
	wait := later(now, l.free).Sub(now)
	for _, o := range l.waiting {
		if o == e {
			break
		}
		wait += l.cost(o.transfer.size)
	}
	return wait
}

// need returns the need of a body of the link.
func (l *Link) need(e *Entry) caller.Need {
	t := e.transfer
	return caller.NewNeed(t.priority, t.objective.Add(-t.after), t.deadline.Add(-t.after), l.cost(t.size))
}

// cost returns the time of the link that bytes take.
func (l *Link) cost(bytes int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return seconds(float64(bytes) / (l.rate * linkShare))
}

func (e *Entry) decide(s State) {
	e.state = s
	close(e.decided)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/4))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}
