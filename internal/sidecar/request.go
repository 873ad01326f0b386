package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/handover"
	"github.com/lycheehead/lycheehead/pkg/upstream"
)

// request is a caller's request on its way to a backend server.
type request struct {
	id                   string
	method, target, host string
	header               http.Header
	body                 body
	service, route       string
	customer             string
	priority             caller.Priority
	atMostOnce           bool
	fingerprint          uint64
	deadline, objective  time.Time
	configVersion        uint64
	// parent is the route of the running request that made this one as a call, or "".
	parent string
	// parentKind is the kind of that request.
	parentKind upstream.Kind
	// hurried indicates that less time is left to that request than the objective of this one.
	hurried bool
	// spent is the time already spent on that request.
	spent time.Duration
	// begun is when the request was first to be sent to an instance.
	begun time.Time
	// resent indicates that the request, or the one that made it, has reached another backend
	// server before.
	resent bool
	// number identifies the attempt of another daemon as which the request came, or is 0.
	number uint32
	// suspended measures how long the machine was suspended. The monotonic clock of
	// deadline and objective does not include that time.
	suspended suspend.Meter
}

// upstreamRequest returns the properties of the request by which the balancer picks an
// instance.
func (r *request) upstreamRequest() upstream.Request {
	return upstream.NewRequest(r.route, max(int(r.body.length), len(r.body.prefix)), time.Until(r.objective))
}

// need returns what the request needs of a resource that it occupies for work.
func (r *request) need(work time.Duration) caller.Need {
	return caller.NewNeed(r.priority, r.objective, r.deadline, work).WithSpent(r.spent)
}

// kind returns the kind of requests that share the fate of their calls.
func (r *request) kind() upstream.Kind { return upstream.NewKind(r.route, r.priority) }

// startBytes is the number of bytes of a larger body that are read before the request is sent
// to the backend server. One is enough to know that the sender is committed.
const startBytes = 4 << 10

// body is a request's body, of which a prefix is buffered.
type body struct {
	prefix []byte
	// rest reads what follows the prefix. It is nil if the prefix is the whole body.
	rest io.Reader
	// length is the length of the whole body, or -1 if it is not known.
	length int64
	// lease is the memory that the prefix takes from the budget.
	lease *http1.Lease
	// setReadDeadline, if set, limits the time until which rest can be read. The zero
	// time removes the limit.
	setReadDeadline func(until time.Time) error
	// receipt states whether the sender of the request is known to be committed. It always is
	// in the sender's own daemon.
	receipt handover.Receipt[handover.FirstByte]
	// inflow is rest if it arrives over the machine's link from another daemon, else nil.
	inflow *inflow
}

// readRest reads the rest of a body that is small enough to be buffered. The sender may
// disconnect before it has sent the whole body, and a truncated one must not be sent to a
// backend server. Of a larger body that the sender withholds, readRest reads the start, until
// the deadline of the request at the latest.
func (b *body) readRest(now, deadline time.Time, budget *http1.Budget) error {
	switch {
	case b.replayable():
		return nil
	case b.bufferable():
		return b.readWhole(now, budget)
	case b.receipt.MayBegin():
		return nil
	}
	return b.readStart(deadline)
}

// bufferable reports whether the length of the body is known and small enough to buffer it.
func (b *body) bufferable() bool { return b.length >= 0 && b.length <= maxBufferedBody }

// readStart reads the start of a body.
func (b *body) readStart(deadline time.Time) error {
	if err := b.setReadDeadline(deadline); err != nil {
		return err
	}
	data := make([]byte, startBytes)
	n, err := io.ReadAtLeast(b.rest, data, 1)
	if err != nil {
		return fmt.Errorf("read start of body: %w", err)
	}
	b.receipt.RecordBody()
	b.prefix = data[:n]
	return b.setReadDeadline(time.Time{})
}

// readWhole reads the rest of a body.
func (b *body) readWhole(now time.Time, budget *http1.Budget) error {
	lease, err := budget.Lease(b.length)
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	b.lease = lease
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
	b.receipt.RecordBody()
	b.prefix, b.rest = data, nil
	if b.setReadDeadline != nil {
		return b.setReadDeadline(time.Time{})
	}
	return nil
}

// replayable reports whether the body can be sent more than once.
func (b body) replayable() bool { return b.rest == nil }

// result is the outcome of a request at one instance.
type result struct {
	outcome caller.Outcome
	reason  caller.Reason
	// delivered indicates that the backend server may have received the request.
	delivered bool
	// daemonUnreachable indicates that the daemon of the instance did not answer.
	daemonUnreachable bool

	status int
	header http.Header
	body   []byte
	// lease is the memory that the body takes from the budget.
	lease *http1.Lease
	load  upstream.LoadReport
	// calls reports the calls that requests of the same kind have made at the instance.
	calls      upstream.CallReport
	retryAfter time.Duration
	// waited is the time that the request spent in the queue of the instance's daemon.
	waited time.Duration
	// queued states that the request had to wait for a slot of the backend server.
	queued bool
	// instance is the id of the instance according to its daemon.
	instance string
	// bodySent states that a part of the request's body may have been sent to another daemon.
	bodySent bool
	// err is the error of a request to another daemon that got no response.
	err error
}

func notRun(reason caller.Reason) *result {
	return &result{outcome: caller.OutcomeNotRun, reason: reason}
}

// hasResponse reports whether a backend server responded.
func (r *result) hasResponse() bool { return r.outcome == caller.OutcomeRan }

// errorFields returns the fields of a log line that say why there is no response.
func (r *result) errorFields() []any {
	if r.err == nil {
		return nil
	}
	return []any{"error", r.err.Error()}
}

// attempt converts the result to the form by which the retry state decides on further
// attempts.
func (r *result) attempt() upstream.Attempt {
	failed := r.outcome == caller.OutcomeRan && r.status >= http.StatusInternalServerError
	return upstream.NewAttempt(r.outcome, r.reason, r.delivered, failed, r.retryAfter)
}

func encodeLoad(m *schema.HopReport, r upstream.LoadReport) {
	m.SetRunning(uint32(r.Running()))
	m.SetWaiting(uint32(r.Waiting()))
	m.SetLimit(uint32(r.Limit()))
	m.SetWork(r.MeanRunTimeOfKind().Microseconds())
	m.SetMean(r.MeanRunTime().Microseconds())
	if r.LinkPace() > 0 {
		m.SetBacklog(r.LinkBacklog().Microseconds())
		m.SetPace(r.LinkPace().Microseconds())
	}
}

func decodeLoad(m *schema.HopReport) upstream.LoadReport {
	return upstream.NewLoadReport(int(m.GetRunning()), int(m.GetWaiting()), int(m.GetLimit()),
		time.Duration(m.GetWork())*time.Microsecond, time.Duration(m.GetMean())*time.Microsecond).
		WithLink(time.Duration(m.GetBacklog())*time.Microsecond, time.Duration(m.GetPace())*time.Microsecond)
}
