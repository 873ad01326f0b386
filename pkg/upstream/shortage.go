package upstream

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// callWindow is the time over which the calls of a kind are counted for a report, and the
	// least time between two changes of the admitted part. A request that is admitted makes its
	// calls after its own work, some hundred ms later.
	callWindow = 250 * time.Millisecond
	// toleratedShortage is the fraction of calls without capacity up to which all requests are
	// admitted. A busy called service refuses a few calls although it serves all it can.
	toleratedShortage = 0.1
	// minAdmitted is the fraction of requests that is always admitted, so that the end of a
	// shortage is noticed.
	minAdmitted = 0.1
	// admissionRecovery is the increase of the admitted fraction per second once no shortage has
	// been reported for callWindow, by which a shortage is forgotten within a second.
	admissionRecovery = 1.2
)

// Kind is a kind of requests that share the fate of their calls: those on one route for customers
// of one rank. Calls compete for capacity by the ranks of their parents, so that those of the
// least urgent kind fail first, and its requests are refused first.
type Kind struct {
	route string
	rank  int
}

// NewKind returns the kind of requests on a route for customers of a rank.
func NewKind(route string, p caller.Priority) Kind {
	_, rank, _ := p.Components()
	return Kind{route: route, rank: rank}
}

// CallReport is the number of calls that requests of a kind have recently made at one backend
// server, and how many of them found no capacity.
type CallReport struct {
	calls, short int
}

// NewCallReport returns a report.
func NewCallReport(calls, short int) CallReport { return CallReport{calls: calls, short: short} }

// Calls returns the number of calls.
func (r CallReport) Calls() int { return r.calls }

// Short returns the number of calls that found no capacity.
func (r CallReport) Short() int { return r.short }

func (r CallReport) add(o CallReport) CallReport {
	return CallReport{calls: r.calls + o.calls, short: r.short + o.short}
}

// countedCalls holds the calls of a kind in the current window and in the one before.
type countedCalls struct {
	begin             time.Time
	current, previous CallReport
}

func (c countedCalls) at(now time.Time) countedCalls {
	switch elapsed := now.Sub(c.begin); {
	case elapsed >= 2*callWindow:
		return countedCalls{begin: now}
	case elapsed >= callWindow:
		return countedCalls{begin: now, previous: c.current}
	}
	return c
}

// CallTally counts the calls that the requests at one backend server make, for the reports to the
// daemons that sent these requests. It is safe for concurrent use. Use NewCallTally to create one.
type CallTally struct {
	kinds *table.Table[Kind, countedCalls]
}

// NewCallTally returns a tally without calls.
func NewCallTally() *CallTally {
	return &CallTally{kinds: table.New[Kind, countedCalls](lock.Routes)}
}

// Record records the end of a call that a request of a kind has made. short states that it found
// no capacity. A call that was shed by a backend server with free slots is not short.
func (t *CallTally) Record(now time.Time, k Kind, short bool) {
	t.kinds.Update(k, func(c countedCalls, _ bool) (countedCalls, bool) {
		c = c.at(now)
		c.current.calls++
		if short {
			c.current.short++
		}
		return c, true
	})
}

// Report returns the calls that requests of a kind have made recently.
func (t *CallTally) Report(now time.Time, k Kind) CallReport {
	c, ok := t.kinds.Get(k)
	if !ok {
		return CallReport{}
	}
	c = c.at(now)
	return c.current.add(c.previous)
}

// admission is how much of a kind is admitted.
type admission struct {
	// fraction of the requests is admitted since reduced, and more from callWindow later on.
	fraction float64
	reduced  time.Time
	// reports is the sum of the reports since counted.
	reports CallReport
	counted time.Time
	// credit is the fraction of the next request that is admitted already.
	credit float64
}

func (a admission) fractionAt(now time.Time) float64 {
	return min(1, a.fraction+max(0, now.Sub(a.reduced)-callWindow).Seconds()*admissionRecovery)
}

// recovered returns the time from which on all requests are admitted again.
func (a admission) recovered() time.Time {
	return a.reduced.Add(callWindow + time.Duration((1-a.fraction)/admissionRecovery*float64(time.Second)))
}

// Shortage decides which part of the new requests of a kind is admitted while the calls of such
// requests find no capacity.
//
// The load pattern is a service whose requests run for 190 ms and then make two calls to another
// service, of which a quarter is refused because that service is short of capacity: nearly half of
// the requests fail after their own work is done, and their callers repeat them. Refusing as many
// of them before they run costs nothing, and the calls of the others find capacity. Placement
// cannot avoid it, because the shortage is at another service than the one that refuses nothing.
//
// A kind that makes no calls is always admitted, and any kind once its calls find capacity again
// for a second, or no report has arrived for as long. The state does not outlive the process. It
// is safe for concurrent use. Use NewShortage to create one.
type Shortage struct {
	kinds *table.Table[Kind, admission]
}

// NewShortage returns a Shortage that admits all requests.
func NewShortage() *Shortage { return &Shortage{kinds: table.New[Kind, admission](lock.Routes)} }

// Record records a report that came with the response to a request of a kind. It returns the
// fraction of requests that is admitted from now on, and whether it has just been reduced.
func (s *Shortage) Record(now time.Time, k Kind, r CallReport) (fraction float64, reduced bool) {
	if r.calls == 0 {
		return 1, false
	}
	s.kinds.Update(k, func(a admission, ok bool) (admission, bool) {
		if !ok {
			a = admission{fraction: 1, reduced: now, counted: now}
		}
		fraction = a.fractionAt(now)
		if now.Sub(a.counted) >= 2*callWindow {
			// Few requests arrive: the reports since then are about the past.
			a.reports = CallReport{}
		}
		a.reports = a.reports.add(r)
		if now.Sub(a.counted) < callWindow {
			return a, true
		}
		short := float64(a.reports.short) / float64(a.reports.calls)
		a.reports, a.counted = CallReport{}, now
		if short > toleratedShortage {
			fraction, reduced = max(minAdmitted, fraction*(1-short)), true
			a.fraction, a.reduced = fraction, now
		}
		return a, true
	})
	return fraction, reduced
}

// Admit reports whether a new request of a kind is admitted. If it is not, retryAfter is the time
// after which all requests of the kind are expected to be admitted.
func (s *Shortage) Admit(now time.Time, k Kind) (retryAfter time.Duration, ok bool) {
	ok = true
	s.kinds.Update(k, func(a admission, known bool) (admission, bool) {
		if !known {
			return a, false
		}
		fraction := a.fractionAt(now)
		if fraction >= 1 {
			a.credit = 0
			return a, true
		}
		if a.credit += fraction; a.credit >= 1 {
			a.credit--
			return a, true
		}
		ok = false
		retryAfter = a.recovered().Sub(now)
		return a, true
	})
	return retryAfter, ok
}
