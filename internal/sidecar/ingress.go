package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/backend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// keepMost is how many bytes of a body are kept to be sent again.
	keepMost = 1 << 20
	// timeoutMost bounds requests that name no deadline, on routes without one.
	timeoutMost = 30 * time.Second
	// objectivePart is the part of its timeout that a request should keep on a
	// route that names no latency.
	objectivePart = 0.5
	// startAgain is when a caller may ask a daemon again that is starting.
	startAgain = 100 * time.Millisecond
	// againFirst is when a caller may ask again where nothing better is known.
	againFirst = 50 * time.Millisecond
)

// ingress takes the requests of callers on the daemon's machine, and of its
// backend server.
type ingress struct {
	*fleetState
	protocol Protocol
	pool     *workers.Pool
	service  string
	limiter  *rateLimiter
	sender   *sender
	metrics  *metrics
	// stopping says that connections are to be closed, and refusing that no more
	// requests are taken.
	stopping, refusing func() bool
}

// entry is the decision on a request as it comes in.
type entry struct {
	work     *work
	attempts int
	refusal  caller.Reason
	again    time.Duration
	// limited says that the request's customer has a limit.
	limited bool
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	c := in.protocol.RequestMetadata(r.Header)
	e, r2 := in.handle(r, c, begin)
	if in.stopping() {
		w.Header().Set("Connection", "close")
	}
	in.metrics.answered(e.work, r2, time.Since(begin))
	in.events.request(classOf(r2.outcome, logs.Refusal), "answered", c.ID(), "method", r.Method, "route", e.work.route,
		"service", e.work.service, "customer", e.work.customer, "outcome", r2.outcome.String(),
		"reason", string(r2.reason), "status", r2.status, "instance", r2.instance, "tries", r2.tries,
		"took", time.Since(begin).Round(time.Microsecond).String(), "version", e.work.version)
	in.answer(w, r2)
}

// handle lets a request in, runs it, and returns what became of it.
func (in *ingress) handle(r *http.Request, c RequestMetadata, begin time.Time) (entry, *final) {
	cfg := in.config.Load()
	e, err := workers.Do(r.Context(), in.pool, func() entry { return in.admit(begin, cfg, r, c) })
	if err != nil {
		return entry{work: &work{}}, refused(caller.ReasonCancelled, 0)
	}
	if e.refusal != caller.ReasonNone {
		return e, refused(e.refusal, e.again)
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.work.deadline)
	defer cancel()
	if e.limited {
		if reason, again := in.limiter.allow(ctx, e.work.customer); reason != caller.ReasonNone {
			return e, refused(reason, jitter(max(again, againFirst)))
		}
	}
	if limit := cfg.Limits().MaxBodyBytes(); limit > 0 && r.ContentLength > limit {
		return e, refused(caller.ReasonTooLarge, 0)
	}
	b, err := readBody(r)
	if err != nil {
		return e, refused(caller.ReasonBadRequest, 0)
	}
	e.work.body = b
	e.work.fingerprint = fingerprint(e.work)
	in.protocol.Prepare(e.work.header, Origin{service: in.service, customer: e.work.customer})
	return e, in.sender.send(ctx, e.work, e.attempts)
}

// admit decides whether a request may come in, for whom, and as what.
func (in *ingress) admit(now time.Time, cfg *operator.Config, r *http.Request, c RequestMetadata) entry {
	e := entry{work: &work{id: c.id, method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header}}
	e.work.suspended = suspend.Start()
	switch {
	case in.refusing():
		e.refusal, e.again = caller.ReasonLeaving, startAgain
		return e
	case cfg == nil:
		e.refusal, e.again = caller.ReasonStarting, startAgain
		return e
	}
	e.work.version = cfg.Version()
	route, ok := cfg.Route(r.Host, r.URL.EscapedPath())
	if !ok {
		e.refusal = caller.ReasonNoRoute
		return e
	}
	e.attempts = route.MaxAttempts()
	e.work.route = route.Name()
	e.work.once = route.AtMostOnce()
	e.work.service = route.ChooseService(rand.Float64()) //nolint:gosec // no secret
	in.times(now, e.work, route, c)
	owner, keyed := owner(cfg, c)
	if !keyed && !route.AllowsAnonymous() {
		e.refusal = caller.ReasonInvalidKey
		return e
	}
	e.work.customer = owner.Name()
	e.work.rank = backend.NewPriority(!keyed, owner.Priority(), route.Priority())
	e.limited = keyed && owner.Limited()
	return e
}

func owner(cfg *operator.Config, c RequestMetadata) (operator.Customer, bool) {
	if c.key == "" {
		return operator.Customer{}, cfg.CustomerCount() == 0
	}
	return cfg.CustomerByKey(operator.DigestKey(c.key))
}

// times sets the deadline and the objective of work.
func (in *ingress) times(now time.Time, w *work, route operator.Route, c RequestMetadata) {
	timeout := timeoutMost
	if route.Timeout() > 0 {
		timeout = route.Timeout()
	}
	if c.timeout > 0 {
		timeout = min(timeout, c.timeout)
	}
	objective := route.LatencyObjective()
	if objective <= 0 {
		objective = time.Duration(float64(timeout) * objectivePart)
	}
	w.deadline = now.Add(timeout)
	w.objective = now.Add(min(objective, timeout))
}

// readBody reads a body up to what is kept; the rest of a larger one is
// streamed.
func readBody(r *http.Request) (body, error) {
	if r.ContentLength == 0 {
		return body{}, nil
	}
	if r.ContentLength > keepMost {
		return body{rest: r.Body, length: r.ContentLength}, nil
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, keepMost+1))
	if err != nil {
		return body{}, err //nolint:wrapcheck // only told apart from success
	}
	if len(start) > keepMost {
		return body{start: start, rest: r.Body, length: -1}, nil
	}
	if r.ContentLength >= 0 && int64(len(start)) != r.ContentLength {
		return body{}, io.ErrUnexpectedEOF
	}
	return body{start: start, length: int64(len(start))}, nil
}

// fingerprint hashes what equal requests share. The customer is kept apart.
func fingerprint(w *work) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{w.method, w.host, w.target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(w.body.start)
	return h.Sum64()
}

// statuses are the status codes of answers that no backend server gave. 503 and
// 429 promise that the request has not run.
var statuses = map[caller.Reason]int{
	caller.ReasonNoRoute:     http.StatusNotFound,
	caller.ReasonInvalidKey:  http.StatusUnauthorized,
	caller.ReasonRateLimited: http.StatusTooManyRequests,
	caller.ReasonBadRequest:  http.StatusBadRequest,
	caller.ReasonTooLarge:    http.StatusRequestEntityTooLarge,
}

// answer writes what became of a request.
func (in *ingress) answer(w http.ResponseWriter, f *final) {
	h := w.Header()
	if f.outcome == caller.OutcomeRan {
		copyFields(h, f.header)
		writeBody(w, f.status, f.body)
		return
	}
	if f.outcome == caller.OutcomeNotRun && f.again > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.again.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	writeBody(w, f.status, reasonText(f.outcome, f.reason))
}

// final is what a caller is answered.
type final struct {
	*result
	tries int
}

// refused answers a request that has not run.
func refused(reason caller.Reason, again time.Duration) *final {
	r := unrun(reason)
	r.again = again
	r.status = http.StatusServiceUnavailable
	if s, ok := statuses[reason]; ok {
		r.status = s
	}
	return &final{result: r}
}

// uncertain answers a request that may have run.
func uncertain(reason caller.Reason) *final {
	r := &result{outcome: caller.OutcomeUnknown, reason: reason, status: http.StatusBadGateway}
	if reason == caller.ReasonDeadlineExceeded {
		r.status = http.StatusGatewayTimeout
	}
	return &final{result: r}
}
