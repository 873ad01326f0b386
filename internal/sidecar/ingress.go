package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/logs"
	"github.com/lycheehead/lycheehead/internal/suspend"
	"github.com/lycheehead/lycheehead/pkg/caller"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/pkg/workers"
)

const (
	// maxBufferedBody is the number of bytes of a body that are buffered so that the
	// body can be sent again.
	maxBufferedBody = 1 << 20
	// defaultTimeout is the timeout of routes without a configured one. A caller's
	// deadline may shorten it.
	defaultTimeout = 30 * time.Second
	// defaultObjectiveFraction is the latency objective of routes without a configured
	// one, as a fraction of the request's timeout.
	defaultObjectiveFraction = 0.5
	// unavailableRetryAfter is the Retry-After value of a daemon that is stopping.
	unavailableRetryAfter = 100 * time.Millisecond
	// startupTime is the time that a daemon needs from its start until it has the configuration. With
	// 70 backend servers it takes 5 to 14 ms of processor time, which are 30 to 90 ms on a machine with
	// a sixth of a core.
	startupTime = 100 * time.Millisecond
	// minRetryAfter is the minimum Retry-After value. It is also used where no estimate
	// is available.
	minRetryAfter = 50 * time.Millisecond
)

// ingress handles the requests of callers on the daemon's machine and of its backend
// server.
type ingress struct {
	*fleetState
	protocol Protocol
	pool     *workers.Pool
	service  string
	limiter  *rateLimiter
	link     *linkPacer
	sender   *sender
	// calls holds the requests that the daemon's own backend server is running.
	calls *runningRequests
	// machine is the daemon's machine, from which calls come.
	machine machine
	metrics *metrics
	// budget bounds the memory for bodies.
	budget   *http1.Budget
	shutdown *shutdown
}

// ingressDecision is the decision on a request before its body is read.
type ingressDecision struct {
	request    *request
	attempts   int
	refusal    caller.Reason
	retryAfter time.Duration
	// forCalls states that the request was refused because calls of such requests find no
	// capacity.
	forCalls bool
	// customer is the customer for whom the request runs, and limit the decision whether
	// it is within the customer's rate limit.
	customer operator.Customer
	limit    limitDecision
}

// logFields returns the fields of a log line that say for which limit a request was
// refused, and by which daemon, and by requests of which route a call was made.
func (d ingressDecision) logFields() []any {
	var fields []any
	if d.request.parent != "" {
		fields = append(fields, "parent", d.request.parent, "spent", d.request.spent.Round(time.Microsecond).String(), "resent", d.request.resent)
	}
	if d.forCalls {
		fields = append(fields, "part", string(refusedForCalls))
	}
	if d.limit.reason == caller.ReasonNone {
		return fields
	}
	return append(fields, "part", string(d.limit.part), "holder", d.limit.holder, "rate", d.customer.Rate(), "burst", d.customer.Burst())
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	meta := in.protocol.RequestMetadata(r.Header)
	http1.DropConnectionFields(r.Header)
	decision, resp := in.handle(w, r, meta, begin)
	defer resp.lease.Release()
	defer func() { decision.request.body.lease.Release() }()
	if in.shutdown.stopping() {
		w.Header().Set("Connection", "close")
	}
	in.metrics.recordResponse(decision.request, resp, time.Since(begin))
	in.events.request(classOf(resp.outcome, logs.Refusal), "answered", meta.ID(), append([]any{
		"method", r.Method, "route", decision.request.route,
		"service", decision.request.service, "customer", decision.request.customer, "outcome", resp.outcome.String(),
		"reason", string(resp.reason), "status", resp.status, "instance", resp.instance, "tries", resp.attempts,
		"took", time.Since(begin).Round(time.Microsecond).String(), "version", decision.request.configVersion,
	}, decision.logFields()...)...)
	in.writeResponse(w, resp)
}

// handle admits a request, sends it and returns the response.
func (in *ingress) handle(w http.ResponseWriter, r *http.Request, meta RequestMetadata, begin time.Time) (ingressDecision, *response) {
	cfg := in.config.Load()
	decision, err := workers.Do(r.Context(), in.pool, func() ingressDecision { return in.admit(begin, cfg, r, meta) })
	if err != nil {
		return ingressDecision{request: &request{}}, refusedResponse(caller.ReasonCancelled, 0)
	}
	if decision.refusal != caller.ReasonNone {
		return decision, refusedResponse(decision.refusal, decision.retryAfter)
	}
	ctx, cancel := context.WithDeadline(r.Context(), decision.request.deadline)
	defer cancel()
	if decision.customer.Limited() {
		if decision.limit = in.limiter.allow(ctx, decision.customer.Name()); decision.limit.reason != caller.ReasonNone {
			return decision, refusedResponse(decision.limit.reason, jitter(max(decision.limit.retryAfter, minRetryAfter)))
		}
	}
	if limit := cfg.Limits().MaxBodyBytes(); limit > 0 && r.ContentLength > limit {
		return decision, refusedResponse(caller.ReasonTooLarge, 0)
	}
	b, err := in.readBody(w, r, decision.request.deadline)
	switch {
	case errors.Is(err, http1.ErrBodyTooLarge):
		return decision, refusedResponse(caller.ReasonOverload, jitter(minRetryAfter))
	case errors.Is(err, os.ErrDeadlineExceeded) && in.shutdown.bodies.Refused():
		return decision, refusedResponse(caller.ReasonLeaving, jitter(unavailableRetryAfter))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return decision, refusedResponse(caller.ReasonDeadlineExceeded, 0)
	case err != nil:
		return decision, refusedResponse(caller.ReasonBadRequest, 0)
	}
	decision.request.body = b
	decision.request.fingerprint = fingerprint(decision.request)
	in.protocol.Prepare(decision.request.header, Origin{id: meta.id, service: in.service, customer: decision.request.customer})
	resp := in.sender.send(ctx, decision.request, decision.attempts)
	in.calls.recordCall(time.Now(), decision.request, resp)
	return decision, resp
}

// admit decides whether a request is admitted, and determines its route, customer,
// priority and deadline.
func (in *ingress) admit(now time.Time, cfg *operator.Config, r *http.Request, meta RequestMetadata) ingressDecision {
	decision := ingressDecision{request: &request{id: meta.id, method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header}}
	decision.request.suspended = suspend.Start()
	switch {
	case in.shutdown.refusing.Load():
		decision.refusal, decision.retryAfter = caller.ReasonLeaving, unavailableRetryAfter
		return decision
	case cfg == nil:
		startup := caller.NewStartup(in.startedAt, startupTime)
		decision.refusal = caller.ReasonStarting
		decision.retryAfter = startup.RetryAfter(now, meta.timeout, rand.Float64()) //nolint:gosec // no secret
		return decision
	}
	decision.request.configVersion = cfg.Version()
	route, ok := cfg.Route(r.Host, r.URL.EscapedPath())
	if !ok {
		decision.refusal = caller.ReasonNoRoute
		return decision
	}
	decision.attempts = route.MaxAttempts()
	decision.request.route = route.Name()
	decision.request.atMostOnce = route.AtMostOnce()
	decision.request.service = route.ChooseService(rand.Float64()) //nolint:gosec // no secret
	in.setDeadlines(now, decision.request, route, meta)
	parent, isCall := in.calls.parent(meta.id)
	// A caller must not get ahead of others by the id that it chooses. Backend servers never see an
	// API key, so a request with one comes from a customer, and they run on the daemon's machine.
	isCall = isCall && !meta.credential.Presented() && in.machine.isSource(r.RemoteAddr)
	if isCall {
		decision.request.makeCall(now, parent, route.Priority())
	}
	if !in.shutdown.accepts(now, decision.request, in.sender.balancer.MeanRunTime) {
		decision.refusal, decision.retryAfter = caller.ReasonLeaving, unavailableRetryAfter
		return decision
	}
	customer, identified, refusal := identify(cfg, route, meta)
	if refusal != caller.ReasonNone {
		decision.refusal = refusal
		return decision
	}
	decision.customer = customer
	decision.request.customer = customer.Name()
	if isCall {
		return decision
	}
	// Without customers, anonymous callers are the only ones.
	known := identified || cfg.CustomerCount() == 0
	decision.request.priority = caller.NewPriority(!known, customer.Priority(), route.Priority())
	if known {
		retryAfter, ok := in.sender.shortage.Admit(now, decision.request.kind())
		if !ok {
			decision.refusal, decision.retryAfter = caller.ReasonOverload, jitter(max(retryAfter, minRetryAfter))
			decision.forCalls = true
			in.metrics.recordRefusal(decision.request.route, refusedForCalls)
		}
	}
	return decision
}

// identify returns the customer of a request, or why it is refused. If no customers are configured, no
// route requires an API key, and an Authorization field that holds none may be meant for others. A key
// is refused then, too: it may have been withdrawn with its customer.
func identify(cfg *operator.Config, route operator.Route, meta RequestMetadata) (customer operator.Customer, identified bool, refusal caller.Reason) {
	if _, isKey := meta.credential.Key(); !isKey && cfg.CustomerCount() == 0 {
		return operator.Customer{}, false, caller.ReasonNone
	}
	return caller.Identify(meta.credential, !route.AllowsAnonymous(), func(key string) (operator.Customer, bool) {
		return cfg.CustomerByKey(operator.DigestKey(key))
	})
}

// setDeadlines sets the deadline of a request and the time until which it should be
// answered.
func (in *ingress) setDeadlines(now time.Time, req *request, route operator.Route, meta RequestMetadata) {
	timeout := defaultTimeout
	if route.Timeout() > 0 {
		timeout = route.Timeout()
	}
	if meta.timeout > 0 {
		timeout = min(timeout, meta.timeout)
	}
	objective := route.LatencyObjective()
	if objective <= 0 {
		objective = time.Duration(float64(timeout) * defaultObjectiveFraction)
	}
	req.deadline = now.Add(timeout)
	req.objective = now.Add(min(objective, timeout))
}

// readBody buffers a body of up to maxBufferedBody bytes, until the deadline of the request or
// the end of a planned stop at the latest. The rest of a larger one is streamed.
func (in *ingress) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (body, error) {
	if r.ContentLength == 0 {
		return body{}, nil
	}
	r.Body = in.link.recordReads(r.Body)
	if r.ContentLength > maxBufferedBody {
		return body{rest: r.Body, length: r.ContentLength}, nil
	}
	size := r.ContentLength
	if size < 0 {
		size = maxBufferedBody
	}
	lease, err := in.budget.Lease(size)
	if err != nil {
		return body{}, err //nolint:wrapcheck // only compared
	}
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		lease.Release()
		return body{}, fmt.Errorf("set body read deadline: %w", err)
	}
	defer in.shutdown.bodies.Limit(w)()
	b, err := readPrefix(r)
	if err != nil {
		lease.Release()
		return body{}, err
	}
	b.lease = lease
	return b, nil
}

func readPrefix(r *http.Request) (body, error) {
	prefix, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	if err != nil {
		return body{}, err //nolint:wrapcheck // only compared
	}
	if len(prefix) > maxBufferedBody {
		return body{prefix: prefix, rest: r.Body, length: -1}, nil
	}
	if r.ContentLength >= 0 && int64(len(prefix)) != r.ContentLength {
		return body{}, io.ErrUnexpectedEOF
	}
	return body{prefix: prefix, length: int64(len(prefix))}, nil
}

// fingerprint returns a hash of the method, the host, the target and the buffered part of
// the body, by which requests that crash backend servers are identified. The customer is
// not included, because backend.RequestKey contains it separately.
func fingerprint(req *request) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{req.method, req.host, req.target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.body.prefix)
	return h.Sum64()
}

// statusByReason holds the status codes of refusals for which it is not 503. Callers
// assume that a request has not run if a daemon answers it with 503 or 429.
var statusByReason = map[caller.Reason]int{
	caller.ReasonNoRoute:     http.StatusNotFound,
	caller.ReasonInvalidKey:  http.StatusUnauthorized,
	caller.ReasonRateLimited: http.StatusTooManyRequests,
	caller.ReasonBadRequest:  http.StatusBadRequest,
	caller.ReasonTooLarge:    http.StatusRequestEntityTooLarge,
}

// writeResponse writes the backend server's response, or a text with the outcome and its
// reason if there is none.
func (in *ingress) writeResponse(w http.ResponseWriter, resp *response) {
	h := w.Header()
	if resp.outcome == caller.OutcomeRan {
		maps.Copy(h, resp.header)
		writeBody(w, resp.status, resp.body)
		return
	}
	if resp.outcome == caller.OutcomeNotRun && resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	writeBody(w, resp.status, refusalBody(resp.outcome, resp.reason))
}

// response is the response to a caller.
type response struct {
	*result
	attempts int
	// reached states that a backend server may have received the request.
	reached bool
	// unbudgeted states that the request was not sent because the budget for resends did not
	// allow it.
	unbudgeted bool
}

// lacksCapacity reports whether no backend server had capacity for the request in time: it was
// refused, or its deadline passed. Where it waits in the queue of another daemon, its sender gives up
// at the same time as that daemon and does not learn whether it has started. Neither a backend server
// that sheds a request nor the budget for resends says anything about capacity.
func (r *response) lacksCapacity() bool {
	if r.unbudgeted {
		return false
	}
	switch r.outcome {
	case caller.OutcomeNotRun:
		return r.reason == caller.ReasonDeadlineExceeded || r.reason == caller.ReasonOverload && !r.reached
	case caller.OutcomeUnknown:
		return r.reason == caller.ReasonDeadlineExceeded
	}
	return false
}

// refusedResponse returns the response to a request that has not run.
func refusedResponse(reason caller.Reason, retryAfter time.Duration) *response {
	r := notRun(reason)
	r.retryAfter = retryAfter
	r.status = http.StatusServiceUnavailable
	if s, ok := statusByReason[reason]; ok {
		r.status = s
	}
	return &response{result: r}
}

// unknownResponse returns the response to a request that may have run.
func unknownResponse(reason caller.Reason) *response {
	r := &result{outcome: caller.OutcomeUnknown, reason: reason, status: http.StatusBadGateway}
	if reason == caller.ReasonDeadlineExceeded {
		r.status = http.StatusGatewayTimeout
	}
	return &response{result: r}
}
