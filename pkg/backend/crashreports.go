package backend

import (
	"maps"
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// reportLifetime is the time after a crash for which its report is repeated. A request that
	// crashed a second backend server since then is quarantined there and is about to be
	// released again, so that a later report changes little.
	reportLifetime = quarantineDuration
	// maxOutstandingReports is the maximum number of reports that are outstanding for one daemon,
	// some 64 bytes each. Each request that was running when a backend server crashed is reported;
	// they are at most the 100 connections to it.
	maxOutstandingReports = 256
	// maxCountedReports is the number of reports that a daemon remembers to have counted, some 100
	// bytes each. It is that of 16 backend servers that crash within the lifetime of a report while
	// each runs maxOutstandingReports requests. Beyond it, a report that is repeated for want of
	// an acknowledgement is counted again.
	maxCountedReports = 16 * maxOutstandingReports
	// reportBackoff and maxReportBackoff bound the time between two attempts to deliver reports to
	// a daemon. It doubles with each failure, as that of the membership view does.
	reportBackoff    = 200 * time.Millisecond
	maxReportBackoff = 5 * time.Second
)

// reportID identifies a crash report: the daemon that sent it, and its number there.
type reportID struct {
	from string
	id   uint64
}

// CrashReport states that a backend server crashed while it ran a request.
type CrashReport struct {
	id  uint64
	key RequestKey
	at  time.Time
	// answered states that a backend server has run an equal request since without a crash.
	answered bool
}

// NewCrashReport returns the report of a crash at a time. The id, which is not 0, differs from
// those of the sender's other reports, also of its earlier processes.
func NewCrashReport(id uint64, key RequestKey, at time.Time) CrashReport {
	return CrashReport{id: id, key: key, at: at}
}

// WithAnswer returns a copy of the report with whether a backend server has run an equal request since
// without a crash.
func (r CrashReport) WithAnswer(answered bool) CrashReport {
	r.answered = answered
	return r
}

// Answered reports whether a backend server has run an equal request since without a crash.
func (r CrashReport) Answered() bool { return r.answered }

// ID returns what identifies the report among those of its sender.
func (r CrashReport) ID() uint64 { return r.id }

// Key returns the key of the request.
func (r CrashReport) Key() RequestKey { return r.key }

// At returns the time of the crash.
func (r CrashReport) At() time.Time { return r.at }

// Delivery is the result of an attempt to deliver a report to a daemon.
type Delivery uint8

const (
	// Unconfirmed means that the daemon did not answer and may have counted the report.
	Unconfirmed Delivery = iota
	// NotReceived means that the daemon has not received the report.
	NotReceived
	// Acknowledged means that the daemon has answered.
	Acknowledged
)

// outstanding is a report that a daemon has not acknowledged.
type outstanding struct {
	report CrashReport
	// unconfirmed states that the daemon may have counted the report.
	unconfirmed bool
}

// reportQueue holds the reports that are outstanding for one daemon, oldest first. It sends
// one at a time, so that a daemon that does not answer costs one attempt.
type reportQueue struct {
	reports  []outstanding
	failures int
	retryAt  time.Time
	sending  bool
}

// Undelivered is a report that is not sent any more.
type Undelivered struct {
	daemon string
	report CrashReport
}

// Daemon returns the daemon that has not acknowledged the report.
func (u Undelivered) Daemon() string { return u.daemon }

// Report returns the report.
func (u Undelivered) Report() CrashReport { return u.report }

// CrashReports decides when the reports of crashes are sent to which daemons.
//
// It addresses poison requests on a mesh where single messages are lost, as beside an overloaded
// machine or while a daemon restarts: a daemon that misses one of two reports lets the request
// crash its backend server, too. A report is sent at once, and again with backoff until the
// daemon acknowledges it or has left, for a minute at most. A CrashReports is safe for concurrent
// use. Use NewCrashReports to create one.
type CrashReports struct {
	// mu has rank lock.Quarantine and guards the queues.
	mu     *lock.Mutex
	queues map[string]*reportQueue
}

// NewCrashReports returns a CrashReports without outstanding reports.
func NewCrashReports() *CrashReports {
	return &CrashReports{mu: lock.New(lock.Quarantine), queues: make(map[string]*reportQueue)}
}

// Add makes a report outstanding for daemons, due at once. It returns the reports that it
// replaces, the oldest ones for daemons with too many.
func (c *CrashReports) Add(now time.Time, report CrashReport, daemons []string) (replaced []Undelivered) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range daemons {
		q := c.queues[name]
		if q == nil {
			q = &reportQueue{}
			c.queues[name] = q
		}
		if len(q.reports) == maxOutstandingReports {
			replaced = append(replaced, Undelivered{daemon: name, report: q.reports[0].report})
			q.reports = q.reports[1:]
		}
		q.reports = append(q.reports, outstanding{report: report})
		q.retryAt = now
	}
	return replaced
}

// Daemons returns the daemons for which reports are outstanding.
func (c *CrashReports) Daemons() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.queues))
}

// Leave gives up the reports that are outstanding for a daemon that has left, and returns them.
func (c *CrashReports) Leave(daemon string) (givenUp []Undelivered) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.queues[daemon]; q != nil {
		return q.giveUp(daemon, func(CrashReport) bool { return true })
	}
	return nil
}

// Due returns the daemons to which reports are to be sent now, until Next returns none for them;
// the time until further reports are due, 0 if none are outstanding that are not being sent; and
// the reports that are given up since they are too old.
func (c *CrashReports) Due(now time.Time) (due []string, wait time.Duration, givenUp []Undelivered) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, q := range c.queues {
		givenUp = append(givenUp, q.giveUp(name, func(r CrashReport) bool { return now.Sub(r.at) >= reportLifetime })...)
		switch {
		case q.sending:
		case len(q.reports) == 0:
			delete(c.queues, name)
		case !now.Before(q.retryAt):
			q.sending = true
			due = append(due, name)
		case wait == 0 || q.retryAt.Sub(now) < wait:
			wait = q.retryAt.Sub(now)
		}
	}
	slices.Sort(due)
	return due, wait, givenUp
}

// giveUp removes the reports for which useless returns true, and returns them.
func (q *reportQueue) giveUp(name string, useless func(CrashReport) bool) (removed []Undelivered) {
	q.reports = slices.DeleteFunc(q.reports, func(o outstanding) bool {
		if !useless(o.report) {
			return false
		}
		removed = append(removed, Undelivered{daemon: name, report: o.report})
		return true
	})
	return removed
}

// Next returns the next report to be sent to a daemon that Due returned, and whether the daemon
// may have counted it. The result is passed to Record before the next call. After a result other than
// Acknowledged, the caller does not call Next until Due has returned the daemon again.
func (c *CrashReports) Next(daemon string) (report CrashReport, unconfirmed, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[daemon]
	if q == nil || !q.sending {
		return CrashReport{}, false, false
	}
	if len(q.reports) == 0 {
		q.sending = false
		return CrashReport{}, false, false
	}
	return q.reports[0].report, q.reports[0].unconfirmed, true
}

// Record records the result of sending the report that Next returned for a daemon.
func (c *CrashReports) Record(now time.Time, daemon string, report CrashReport, d Delivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[daemon]
	if q == nil || !q.sending {
		return
	}
	if d != Acknowledged {
		q.retryAt = now.Add(min(reportBackoff<<min(q.failures, 10), maxReportBackoff))
		q.failures++
		q.sending = false
	} else {
		q.failures = 0
	}
	// The report may have been given up meanwhile.
	for i := range q.reports {
		if q.reports[i].report.id != report.id {
			continue
		}
		if d == Acknowledged {
			q.reports = slices.Delete(q.reports, i, i+1)
		} else {
			q.reports[i].unconfirmed = q.reports[i].unconfirmed || d == Unconfirmed
		}
		return
	}
}
