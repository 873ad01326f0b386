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
	// maxBufferedBody is how many bytes of a body are kept to be sent again.
	maxBufferedBody = 1 << 20
	// defaultTimeout bounds requests that name no deadline, on routes without one.
	defaultTimeout = 30 * time.Second
	// defaultObjectiveFraction is the part of its timeout that a request should keep on a
	// route that names no latency.
	defaultObjectiveFraction = 0.5
	// unavailableRetryAfter is when a caller may ask a daemon again that is starting.
	unavailableRetryAfter = 100 * time.Millisecond
	// minRetryAfter is when a caller may ask again where nothing better is known.
	minRetryAfter = 50 * time.Millisecond
)

// ingress takes the requests of callers on the daemon's machine, and of its
// backend server.
type ingress struct {
	*knowledge
	protocol Protocol
	pool     *workers.Pool
	service  string
	limits   *limits
	sender   *sender
	metrics  *metrics
	// stopping says that connections are to be closed, and refusing that no more
	// requests are taken.
	stopping, refusing func() bool
}

// ingressDecision is the decision on a request as it comes in.
type ingressDecision struct {
	request     *request
	attempts int
	refusal  caller.Reason
	retryAfter    time.Duration
	// rateLimited says that the request's customer has a limit.
	rateLimited bool
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	c := in.protocol.Caller(r.Header)
	e, r2 := in.handle(r, c, begin)
	if in.stopping() {
		w.Header().Set("Connection", "close")
	}
	in.metrics.recordResponse(e.request, r2, time.Since(begin))
	in.events.request(classOf(r2.outcome, logs.Refusal), "answered", c.ID(), "method", r.Method, "route", e.request.route,
		"service", e.request.service, "customer", e.request.customer, "outcome", r2.outcome.String(),
		"reason", string(r2.reason), "status", r2.status, "instance", r2.instance, "tries", r2.attempts,
		"took", time.Since(begin).Round(time.Microsecond).String(), "version", e.request.configVersion)
	in.writeResponse(w, r2)
}

// handle lets a request in, runs it, and returns what became of it.
func (in *ingress) handle(r *http.Request, c Caller, begin time.Time) (ingressDecision, *response) {
	cfg := in.config.Load()
	e, err := workers.Do(r.Context(), in.pool, func() ingressDecision { return in.admit(begin, cfg, r, c) })
	if err != nil {
		return ingressDecision{request: &request{}}, refusedResponse(caller.ReasonCancelled, 0)
	}
	if e.refusal != caller.ReasonNone {
		return e, refusedResponse(e.refusal, e.retryAfter)
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.request.deadline)
	defer cancel()
	if e.rateLimited {
		if reason, again := in.limits.pass(ctx, e.request.customer); reason != caller.ReasonNone {
			return e, refusedResponse(reason, jitter(max(again, minRetryAfter)))
		}
	}
	if limit := cfg.Limits().MaxBodyBytes(); limit > 0 && r.ContentLength > limit {
		return e, refusedResponse(caller.ReasonTooLarge, 0)
	}
	b, err := readBody(r)
	if err != nil {
		return e, refusedResponse(caller.ReasonBadRequest, 0)
	}
	e.request.body = b
	e.request.fingerprint = fingerprint(e.request)
	in.protocol.Prepare(e.request.header, Origin{service: in.service, customer: e.request.customer})
	return e, in.sender.send(ctx, e.request, e.attempts)
}

// admit decides whether a request may come in, for whom, and as what.
func (in *ingress) admit(now time.Time, cfg *operator.Config, r *http.Request, c Caller) ingressDecision {
	e := ingressDecision{request: &request{id: c.id, method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header}}
	e.request.suspended = suspend.Start()
	switch {
	case in.refusing():
		e.refusal, e.retryAfter = caller.ReasonLeaving, unavailableRetryAfter
		return e
	case cfg == nil:
		e.refusal, e.retryAfter = caller.ReasonStarting, unavailableRetryAfter
		return e
	}
	e.request.configVersion = cfg.Version()
	route, ok := cfg.Route(r.Host, r.URL.EscapedPath())
	if !ok {
		e.refusal = caller.ReasonNoRoute
		return e
	}
	e.attempts = route.MaxAttempts()
	e.request.route = route.Name()
	e.request.atMostOnce = route.AtMostOnce()
	e.request.service = route.ChooseService(rand.Float64()) //nolint:gosec // no secret
	in.setDeadlines(now, e.request, route, c)
	owner, keyed := lookupCustomer(cfg, c)
	if !keyed && !route.AllowsAnonymous() {
		e.refusal = caller.ReasonInvalidKey
		return e
	}
	e.request.customer = owner.Name()
	e.request.priority = backend.NewPriority(!keyed, owner.Priority(), route.Priority())
	e.rateLimited = keyed && owner.Limited()
	return e
}

func lookupCustomer(cfg *operator.Config, c Caller) (operator.Customer, bool) {
	if c.key == "" {
		return operator.Customer{}, cfg.CustomerCount() == 0
	}
	return cfg.CustomerByKey(operator.DigestKey(c.key))
}

// setDeadlines sets the deadline and the objective of work.
func (in *ingress) setDeadlines(now time.Time, w *request, route operator.Route, c Caller) {
	timeout := defaultTimeout
	if route.Timeout() > 0 {
		timeout = route.Timeout()
	}
	if c.timeout > 0 {
		timeout = min(timeout, c.timeout)
	}
	objective := route.LatencyObjective()
	if objective <= 0 {
		objective = time.Duration(float64(timeout) * defaultObjectiveFraction)
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
	if r.ContentLength > maxBufferedBody {
		return body{rest: r.Body, length: r.ContentLength}, nil
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	if err != nil {
		return body{}, err //nolint:wrapcheck // only told apart from success
	}
	if len(start) > maxBufferedBody {
		return body{prefix: start, rest: r.Body, length: -1}, nil
	}
	if r.ContentLength >= 0 && int64(len(start)) != r.ContentLength {
		return body{}, io.ErrUnexpectedEOF
	}
	return body{prefix: start, length: int64(len(start))}, nil
}

// fingerprint hashes what equal requests share. The customer is kept apart.
func fingerprint(w *request) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{w.method, w.host, w.target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(w.body.prefix)
	return h.Sum64()
}

// statusByReason are the status codes of answers that no backend server gave. 503 and
// 429 promise that the request has not run.
var statusByReason = map[caller.Reason]int{
	caller.ReasonNoRoute:     http.StatusNotFound,
	caller.ReasonInvalidKey:  http.StatusUnauthorized,
	caller.ReasonRateLimited: http.StatusTooManyRequests,
	caller.ReasonBadRequest:  http.StatusBadRequest,
	caller.ReasonTooLarge:    http.StatusRequestEntityTooLarge,
}

// writeResponse writes what became of a request.
func (in *ingress) writeResponse(w http.ResponseWriter, f *response) {
	h := w.Header()
	if f.outcome == caller.OutcomeRan {
		copyFields(h, f.header)
		writeBody(w, f.status, f.body)
		return
	}
	if f.outcome == caller.OutcomeNotRun && f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	writeBody(w, f.status, refusalBody(f.outcome, f.reason))
}

// response is what a caller is answered.
type response struct {
	*result
	attempts int
}

// refusedResponse answers a request that has not run.
func refusedResponse(reason caller.Reason, again time.Duration) *response {
	r := notRun(reason)
	r.retryAfter = again
	r.status = http.StatusServiceUnavailable
	if s, ok := statusByReason[reason]; ok {
		r.status = s
	}
	return &response{result: r}
}

// unknownResponse answers a request that may have run.
func unknownResponse(reason caller.Reason) *response {
	r := &result{outcome: caller.OutcomeUnknown, reason: reason, status: http.StatusBadGateway}
	if reason == caller.ReasonDeadlineExceeded {
		r.status = http.StatusGatewayTimeout
	}
	return &response{result: r}
}
