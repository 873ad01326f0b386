package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// work is a request that has been let in, on its way to a backend server.
type work struct {
	id                   string
	method, target, host string
	header               http.Header
	body                 body
	service, route       string
	customer             string
	rank                 backend.Priority
	once                 bool
	fingerprint          uint64
	deadline, objective  time.Time
	version              uint64
	// suspended measures time that the clock of deadline does not count.
	suspended suspend.Meter
}

// parcel returns the work as it is placed.
func (w *work) parcel() upstream.Request {
	return upstream.NewRequest(w.route, max(int(w.body.length), len(w.body.start)), time.Until(w.objective))
}

// body is a request's body: its start, all of it where rest is nil, and its
// length, or -1 where that is not known.
type body struct {
	start  []byte
	rest   io.Reader
	length int64
	// bound, where it is set, bounds until when rest can be read; the zero time
	// lifts the bound.
	bound func(until time.Time) error
}

// fetch reads the rest of a body that is not too large to be kept. Who sends it
// may have gone, and half a body is of no use to a backend server.
func (b *body) fetch(now time.Time) error {
	if b.whole() || b.length < 0 || b.length > keepMost {
		return nil
	}
	if b.bound != nil {
		if err := b.bound(now.Add(bodyWait)); err != nil {
			return err
		}
	}
	data := make([]byte, b.length)
	n := copy(data, b.start)
	if _, err := io.ReadFull(b.rest, data[n:]); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	b.start, b.rest = data, nil
	if b.bound != nil {
		return b.bound(time.Time{})
	}
	return nil
}

// whole says whether the body can be sent more than once.
func (b body) whole() bool { return b.rest == nil }

// result is what became of work at one instance.
type result struct {
	outcome caller.Outcome
	reason  caller.Reason
	// offered says that the request was sent to the backend server, and unreached
	// that the daemon beside it did not answer.
	offered, unreached bool

	status int
	header http.Header
	body   []byte
	room   upstream.LoadReport
	again  time.Duration
	// waited is the time in the queue of the daemon beside the backend server.
	waited time.Duration
	// instance is the instance that the daemon beside it knows.
	instance string
}

func unrun(reason caller.Reason) *result {
	return &result{outcome: caller.OutcomeNotRun, reason: reason}
}

// answered says whether a backend server answered.
func (r *result) answered() bool { return r.outcome == caller.OutcomeRan }

// trial returns the result as the end of a try.
func (r *result) trial() upstream.Attempt {
	failed := r.outcome == caller.OutcomeRan && r.status >= http.StatusInternalServerError
	return upstream.NewAttempt(r.outcome, r.reason, r.offered, failed, r.again)
}

func encodeRoom(m *schema.HopReport, r upstream.LoadReport) {
	m.SetRunning(uint32(r.Running()))
	m.SetWaiting(uint32(r.Waiting()))
	m.SetLimit(uint32(r.Limit()))
	m.SetWork(r.MeanRunTimeOfKind().Microseconds())
	m.SetMean(r.MeanRunTime().Microseconds())
}

func decodeRoom(m *schema.HopReport) upstream.LoadReport {
	return upstream.NewLoadReport(int(m.GetRunning()), int(m.GetWaiting()), int(m.GetLimit()),
		time.Duration(m.GetWork())*time.Microsecond, time.Duration(m.GetMean())*time.Microsecond)
}
