package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lycheehead/lycheehead/internal/callerhttp"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/standin"
	"github.com/lycheehead/lycheehead/pkg/caller"
)

// resendDelay is the time after which a caller resends a request.
const resendDelay = 100 * time.Millisecond

// request is one request of a stream. Its attempts share the id and the body.
type request struct {
	stream      *schema.Stream
	id          string
	due         time.Time
	second      uint32
	firstTarget int
	bodySeed    uint64
}

// resultKind classifies the result of a request for its caller.
type resultKind uint8

const (
	served resultKind = iota
	// limited: refused because of the customer's rate limit.
	limited
	// refused: not run for another reason.
	refused
	// unknown: the response leaves open whether the request ran.
	unknown
	// failed: the backend server reported a failure, or no whole response was received.
	failed
)

type result struct {
	kind   resultKind
	reason string
}

// attempt records one attempt of a request and the response to it.
type attempt struct {
	id, number string
	outcome    caller.Outcome
	// answered indicates that a whole response was received.
	answered   bool
	duplicate  bool
	atMostOnce bool
}

// perform sends a request. If the result permits a retry, it resends the request to the
// next daemon, up to the number of resends in the plan.
func (r *Runner) perform(ctx context.Context, q *request) result {
	idempotencyKey := uuid.Must(uuid.NewV7()).String()
	deadline := time.Now().Add(planDeadline(r.plan))
	for n := uint32(0); ; n++ {
		res := r.send(ctx, q, idempotencyKey, n, deadline)
		final := res.kind == served || res.kind == limited || n >= r.plan.GetResends()
		if final || !q.retryable(res.kind) || time.Until(deadline) < resendDelay {
			return res
		}
		if !sleepUntil(ctx, time.Now().Add(resendDelay)) {
			return res
		}
	}
}

// retryable reports whether a well-behaved caller resends a request after a result: if
// it was refused, or if running it twice is harmless or prevented by an idempotency key.
func (q *request) retryable(k resultKind) bool {
	safe := streamMethod(q.stream) == http.MethodGet || q.stream.GetOnce()
	return safe || k == refused
}

func (r *Runner) send(ctx context.Context, q *request, idempotencyKey string, n uint32, deadline time.Time) result {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	targets := r.plan.GetTargets()
	target := targets[(q.firstTarget+int(n))%len(targets)]
	body := q.body()
	req, err := http.NewRequestWithContext(ctx, streamMethod(q.stream), "http://"+target+q.stream.GetPath(), bytes.NewReader(body))
	if err != nil {
		return result{kind: failed, reason: "request"}
	}
	number := fmt.Sprintf("%d", n)
	q.setHeaders(req, number, idempotencyKey, time.Until(deadline))
	a := attempt{id: q.id, number: number, atMostOnce: streamMethod(q.stream) == http.MethodPost}
	resp, err := r.client.Do(req)
	if err != nil {
		r.recordAttempt(a)
		return result{kind: failed, reason: failureReason(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	res := r.classify(&a, resp, string(text), err, q, body)
	r.recordAttempt(a)
	return res
}

func (q *request) setHeaders(req *http.Request, number, idempotencyKey string, timeout time.Duration) {
	if q.stream.GetKey() != "" {
		req.Header.Set(callerhttp.KeyHeader, q.stream.GetKey())
	}
	if q.stream.GetOnce() {
		req.Header[strings.ToLower(callerhttp.IdempotencyKeyHeader)] = []string{idempotencyKey}
	}
	req.Header.Set(callerhttp.TimeoutHeader, timeout.String())
	req.Header.Set(standin.RequestIDHeader, q.id)
	req.Header.Set(standin.AttemptHeader, number)
	req.GetBody = nil
}

// body returns the body, which is the same for each attempt.
func (q *request) body() []byte {
	body := make([]byte, q.stream.GetBody())
	source := rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%s %d", q.id, q.bodySeed)))
	_, _ = source.Read(body)
	return body
}

// classify derives the result for the caller from a response, and records the response in
// the attempt.
func (r *Runner) classify(a *attempt, resp *http.Response, text string, err error, q *request, body []byte) result {
	outcome := resp.Header.Get(callerhttp.OutcomeHeader)
	reason := resp.Header.Get(callerhttp.ReasonHeader)
	a.answered = true
	a.duplicate = reason == string(caller.ReasonDuplicate)
	switch {
	case err != nil:
		a.answered = false
		return result{kind: failed, reason: "cut"}
	case r.plan.GetDirect() && resp.StatusCode == http.StatusOK:
		return result{kind: served}
	case outcome == caller.OutcomeRan.String():
		a.outcome = caller.OutcomeRan
	case outcome == caller.OutcomeNotRun.String():
		a.outcome = caller.OutcomeNotRun
	}
	switch {
	case a.duplicate && a.outcome == caller.OutcomeRan:
		// An earlier attempt ran, so the request has been served.
		return result{kind: served, reason: reason}
	case a.outcome == caller.OutcomeRan && resp.StatusCode == http.StatusOK:
		r.checkResponse(resp, text, q, body)
		return result{kind: served}
	case resp.StatusCode == http.StatusTooManyRequests && a.outcome == caller.OutcomeNotRun:
		return result{kind: limited, reason: reason}
	case a.outcome == caller.OutcomeNotRun:
		return result{kind: refused, reason: reason}
	case a.outcome == caller.OutcomeRan:
		return result{kind: failed, reason: resp.Status}
	}
	return result{kind: unknown, reason: reason}
}

// checkResponse increments mismatched if the response is truncated or belongs to another
// request.
func (r *Runner) checkResponse(resp *http.Response, text string, q *request, body []byte) {
	digest := sha256.Sum256(body)
	want := "ran " + q.id + " for " + q.stream.GetCustomer() + "\n"
	if resp.Header.Get(standin.BodyDigestHeader) == hex.EncodeToString(digest[:]) && text == want {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mismatched++
}

func failureReason(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "cut"
	}
	return "no connection"
}

func (r *Runner) recordAttempt(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}
