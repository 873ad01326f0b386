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

// request is a request that has been let in, on its way to a backend server.
type request struct {
	id                   string
	method, target, host string
	header               http.Header
	body                 body
	service, route       string
	customer             string
	priority                 backend.Priority
	atMostOnce                 bool
	fingerprint          uint64
	deadline, objective  time.Time
	configVersion              uint64
	// suspended measures time that the clock of deadline does not count.
	suspended suspend.Meter
}

// upstreamRequest returns the work as it is placed.
func (w *request) upstreamRequest() upstream.Request {
	return upstream.NewRequest(w.route, max(int(w.body.length), len(w.body.prefix)), time.Until(w.objective))
}

// body is a request's body: its start, all of it where rest is nil, and its
// length, or -1 where that is not known.
type body struct {
	prefix  []byte
	rest   io.Reader
	length int64
	// setReadDeadline, where it is set, bounds until when rest can be read; the zero time
	// lifts the setReadDeadline.
	setReadDeadline func(until time.Time) error
}

// readRest reads the rest of a body that is not too large to be kept. Who sends it
// may have gone, and half a body is of no use to a backend server.
func (b *body) readRest(now time.Time) error {
	if b.replayable() || b.length < 0 || b.length > maxBufferedBody {
		return nil
	}
	if b.setReadDeadline != nil {
		if err := b.setReadDeadline(now.Add(bodyReadTimeout)); err != nil {
			return err
		}
	}
	data := make([]byte, b.length)
	n := copy(data, b.prefix)
	if _, err := io.ReadFull(b.rest, data[n:]); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	b.prefix, b.rest = data, nil
	if b.setReadDeadline != nil {
		return b.setReadDeadline(time.Time{})
	}
	return nil
}

// replayable says whether the body can be sent more than once.
func (b body) replayable() bool { return b.rest == nil }

// result is what became of work at one instance.
type result struct {
	outcome caller.Outcome
	reason  caller.Reason
	// offered says that the request was sent to the backend server, and daemonUnreachable
	// that the daemon beside it did not answer.
	offered, daemonUnreachable bool

	status int
	header http.Header
	body   []byte
	load   upstream.LoadReport
	retryAfter  time.Duration
	// waited is the time in the queue of the daemon beside the backend server.
	waited time.Duration
	// instance is the instance that the daemon beside it knows.
	instance string
}

func notRun(reason caller.Reason) *result {
	return &result{outcome: caller.OutcomeNotRun, reason: reason}
}

// hasResponse says whether a backend server hasResponse.
func (r *result) hasResponse() bool { return r.outcome == caller.OutcomeRan }

// attempt returns the result as the end of a try.
func (r *result) attempt() upstream.Attempt {
	failed := r.outcome == caller.OutcomeRan && r.status >= http.StatusInternalServerError
	return upstream.NewAttempt(r.outcome, r.reason, r.offered, failed, r.retryAfter)
}

func encodeLoad(m *schema.HopReport, r upstream.LoadReport) {
	m.SetRunning(uint32(r.Running()))
	m.SetWaiting(uint32(r.Waiting()))
	m.SetLimit(uint32(r.Limit()))
	m.SetWork(r.MeanRunTimeOfKind().Microseconds())
	m.SetMean(r.MeanRunTime().Microseconds())
}

func decodeLoad(m *schema.HopReport) upstream.LoadReport {
	return upstream.NewLoadReport(int(m.GetRunning()), int(m.GetWaiting()), int(m.GetLimit()),
		time.Duration(m.GetWork())*time.Microsecond, time.Duration(m.GetMean())*time.Microsecond)
}
