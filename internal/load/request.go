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

// resendAfter is how long a caller waits before it sends a request again.
const resendAfter = 100 * time.Millisecond

// request is one of a stream's requests over all its sendings.
type request struct {
	stream *schema.Stream
	id     string
	due    time.Time
	second uint32
	first  int
	seed   uint64
}

// kind is how a request ended for its caller.
type kind uint8

const (
	served kind = iota
	limited
	refused
	unknown
	failed
)

type ending struct {
	kind   kind
	reason string
}

// sent is what the caller was told of one sending.
type sent struct {
	id, send  string
	outcome   caller.Outcome
	told      bool
	duplicate bool
	once      bool
}

// ask sends a request, and again to other daemons where it may not have run
// and the plan says so.
func (r *Runner) ask(ctx context.Context, q *request) ending {
	key := uuid.Must(uuid.NewV7()).String()
	deadline := time.Now().Add(deadlineOf(r.plan))
	for n := uint32(0); ; n++ {
		e := r.send(ctx, q, key, n, deadline)
		final := e.kind == served || e.kind == limited || n >= r.plan.GetResends()
		if final || !q.mayResend(e.kind) || time.Until(deadline) < resendAfter {
			return e
		}
		if !sleepUntil(ctx, time.Now().Add(resendAfter)) {
			return e
		}
	}
}

// mayResend says whether a caller in its senses sends the request again.
func (q *request) mayResend(k kind) bool {
	safe := methodOf(q.stream) == http.MethodGet || q.stream.GetOnce()
	return safe || k == refused
}

func (r *Runner) send(ctx context.Context, q *request, key string, n uint32, deadline time.Time) ending {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	targets := r.plan.GetTargets()
	target := targets[(q.first+int(n))%len(targets)]
	body := q.body()
	req, err := http.NewRequestWithContext(ctx, methodOf(q.stream), "http://"+target+q.stream.GetPath(), bytes.NewReader(body))
	if err != nil {
		return ending{kind: failed, reason: "request"}
	}
	send := fmt.Sprintf("%d", n)
	q.head(req, send, key, time.Until(deadline))
	s := sent{id: q.id, send: send, once: methodOf(q.stream) == http.MethodPost}
	resp, err := r.client.Do(req)
	if err != nil {
		r.keep(s)
		return ending{kind: failed, reason: failure(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	e := r.judge(&s, resp, string(text), err, q, body)
	r.keep(s)
	return e
}

func (q *request) head(req *http.Request, send, key string, left time.Duration) {
	if q.stream.GetKey() != "" {
		req.Header.Set(callerhttp.KeyHeader, q.stream.GetKey())
	}
	if q.stream.GetOnce() {
		req.Header[strings.ToLower(callerhttp.IdempotencyHeader)] = []string{key}
	}
	req.Header.Set(callerhttp.TimeoutHeader, left.String())
	req.Header.Set(standin.RequestIDHeader, q.id)
	req.Header.Set(standin.AttemptHeader, send)
	req.GetBody = nil
}

// body returns the same bytes for each sending.
func (q *request) body() []byte {
	body := make([]byte, q.stream.GetBody())
	source := rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%s %d", q.id, q.seed)))
	_, _ = source.Read(body)
	return body
}

// judge says what a caller makes of an answer.
func (r *Runner) judge(s *sent, resp *http.Response, text string, err error, q *request, body []byte) ending {
	outcome := resp.Header.Get(callerhttp.OutcomeHeader)
	reason := resp.Header.Get(callerhttp.ReasonHeader)
	s.told = true
	s.duplicate = reason == string(caller.ReasonDuplicate)
	switch {
	case err != nil:
		s.told = false
		return ending{kind: failed, reason: "cut"}
	case r.plan.GetDirect() && resp.StatusCode == http.StatusOK:
		return ending{kind: served}
	case outcome == caller.OutcomeRan.String():
		s.outcome = caller.OutcomeRan
	case outcome == caller.OutcomeNotRun.String():
		s.outcome = caller.OutcomeNotRun
	}
	switch {
	case s.duplicate && s.outcome == caller.OutcomeRan:
		// The request ran by an earlier sending: the caller has what it needs.
		return ending{kind: served, reason: reason}
	case s.outcome == caller.OutcomeRan && resp.StatusCode == http.StatusOK:
		r.whole(resp, text, q, body)
		return ending{kind: served}
	case resp.StatusCode == http.StatusTooManyRequests && s.outcome == caller.OutcomeNotRun:
		return ending{kind: limited, reason: reason}
	case s.outcome == caller.OutcomeNotRun:
		return ending{kind: refused, reason: reason}
	case s.outcome == caller.OutcomeRan:
		return ending{kind: failed, reason: resp.Status}
	}
	return ending{kind: unknown, reason: reason}
}

// whole checks that an answer is the request's own and complete.
func (r *Runner) whole(resp *http.Response, text string, q *request, body []byte) {
	digest := sha256.Sum256(body)
	want := "ran " + q.id + " for " + q.stream.GetCustomer() + "\n"
	if resp.Header.Get(standin.BodyDigestHeader) == hex.EncodeToString(digest[:]) && text == want {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crossed++
}

func failure(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "cut"
	}
	return "no connection"
}

func (r *Runner) keep(s sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends = append(r.sends, s)
}
