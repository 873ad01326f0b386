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

// resendDelay is how long a caller waits before it sends a request again.
const resendDelay = 100 * time.Millisecond

// request is one of a stream's requests over all its sendings.
type request struct {
	stream *schema.Stream
	id     string
	due    time.Time
	second uint32
	firstTarget  int
	bodySeed   uint64
}

// resultKind is how a request ended for its caller.
type resultKind uint8

const (
	served resultKind = iota
	limited
	refused
	unknown
	failed
)

type result struct {
	kind   resultKind
	reason string
}

// attempt is what the caller was told of one sending.
type attempt struct {
	id, number  string
	outcome   caller.Outcome
	answered      bool
	duplicate bool
	atMostOnce      bool
}

// perform sends a request, and again to other daemons where it may not have run
// and the plan says so.
func (r *Runner) perform(ctx context.Context, q *request) result {
	key := uuid.Must(uuid.NewV7()).String()
	deadline := time.Now().Add(planDeadline(r.plan))
	for n := uint32(0); ; n++ {
		e := r.send(ctx, q, key, n, deadline)
		final := e.kind == served || e.kind == limited || n >= r.plan.GetResends()
		if final || !q.retryable(e.kind) || time.Until(deadline) < resendDelay {
			return e
		}
		if !sleepUntil(ctx, time.Now().Add(resendDelay)) {
			return e
		}
	}
}

// retryable says whether a caller in its senses sends the request again.
func (q *request) retryable(k resultKind) bool {
	safe := streamMethod(q.stream) == http.MethodGet || q.stream.GetOnce()
	return safe || k == refused
}

func (r *Runner) send(ctx context.Context, q *request, key string, n uint32, deadline time.Time) result {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	targets := r.plan.GetTargets()
	target := targets[(q.firstTarget+int(n))%len(targets)]
	body := q.body()
	req, err := http.NewRequestWithContext(ctx, streamMethod(q.stream), "http://"+target+q.stream.GetPath(), bytes.NewReader(body))
	if err != nil {
		return result{kind: failed, reason: "request"}
	}
	send := fmt.Sprintf("%d", n)
	q.setHeaders(req, send, key, time.Until(deadline))
	s := attempt{id: q.id, number: send, atMostOnce: streamMethod(q.stream) == http.MethodPost}
	resp, err := r.client.Do(req)
	if err != nil {
		r.recordAttempt(s)
		return result{kind: failed, reason: failureReason(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	e := r.classify(&s, resp, string(text), err, q, body)
	r.recordAttempt(s)
	return e
}

func (q *request) setHeaders(req *http.Request, send, key string, left time.Duration) {
	if q.stream.GetKey() != "" {
		req.Header.Set(callerhttp.KeyHeader, q.stream.GetKey())
	}
	if q.stream.GetOnce() {
		req.Header[strings.ToLower(callerhttp.IdempotencyHeader)] = []string{key}
	}
	req.Header.Set(callerhttp.TimeoutHeader, left.String())
	req.Header.Set(standin.IDHeader, q.id)
	req.Header.Set(standin.SendHeader, send)
	req.GetBody = nil
}

// body returns the same bytes for each sending.
func (q *request) body() []byte {
	body := make([]byte, q.stream.GetBody())
	source := rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%s %d", q.id, q.bodySeed)))
	_, _ = source.Read(body)
	return body
}

// classify says what a caller makes of an answer.
func (r *Runner) classify(s *attempt, resp *http.Response, text string, err error, q *request, body []byte) result {
	outcome := resp.Header.Get(callerhttp.OutcomeHeader)
	reason := resp.Header.Get(callerhttp.ReasonHeader)
	s.answered = true
	s.duplicate = reason == string(caller.ReasonDuplicate)
	switch {
	case err != nil:
		s.answered = false
		return result{kind: failed, reason: "cut"}
	case r.plan.GetDirect() && resp.StatusCode == http.StatusOK:
		return result{kind: served}
	case outcome == caller.OutcomeRan.String():
		s.outcome = caller.OutcomeRan
	case outcome == caller.OutcomeNotRun.String():
		s.outcome = caller.OutcomeNotRun
	}
	switch {
	case s.duplicate && s.outcome == caller.OutcomeRan:
		// The request ran by an earlier sending: the caller has what it needs.
		return result{kind: served, reason: reason}
	case s.outcome == caller.OutcomeRan && resp.StatusCode == http.StatusOK:
		r.checkResponse(resp, text, q, body)
		return result{kind: served}
	case resp.StatusCode == http.StatusTooManyRequests && s.outcome == caller.OutcomeNotRun:
		return result{kind: limited, reason: reason}
	case s.outcome == caller.OutcomeNotRun:
		return result{kind: refused, reason: reason}
	case s.outcome == caller.OutcomeRan:
		return result{kind: failed, reason: resp.Status}
	}
	return result{kind: unknown, reason: reason}
}

// checkResponse checks that an answer is the request's own and complete.
func (r *Runner) checkResponse(resp *http.Response, text string, q *request, body []byte) {
	digest := sha256.Sum256(body)
	want := "ran " + q.id + " for " + q.stream.GetCustomer() + "\n"
	if resp.Header.Get(standin.EchoHeader) == hex.EncodeToString(digest[:]) && text == want {
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

func (r *Runner) recordAttempt(s attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, s)
}
