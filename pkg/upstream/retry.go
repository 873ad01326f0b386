package upstream

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

const (
	// maxRefusals is how many instances may refuse a request before it reaches a
	// backend server, the last of them after it has waited there. Under load each
	// refusal costs both daemons the time to handle the request.
	maxRefusals = 2
	// maxNestedRefusals applies to a request that a running request waits for.
	maxNestedRefusals = 8
	// minResendTime is the least time before the deadline at which a request is sent
	// to a second backend server.
	minResendTime = 20 * time.Millisecond
)

// Attempt describes how an attempt to run a request at one instance ended.
type Attempt struct {
	outcome    caller.Outcome
	reason     caller.Reason
	delivered  bool
	failed     bool
	retryAfter time.Duration
}

// NewAttempt returns an attempt with an outcome and a reason. delivered states that
// the backend server received the request, and failed that it ran the request and
// answered with a failure. retryAfter is the time after which the instance expects
// to have capacity; it is used only with caller.ReasonOverload.
func NewAttempt(o caller.Outcome, r caller.Reason, delivered, failed bool, retryAfter time.Duration) Attempt {
	return Attempt{outcome: o, reason: r, delivered: delivered, failed: failed, retryAfter: retryAfter}
}

// RetryState records the attempts of one request and decides whether and where it
// may be sent next. It is not safe for concurrent use. Use NewRetryState to create
// one.
type RetryState struct {
	atMostOnce  bool
	replayable  bool
	maxRefusals int
	maxSends    int
	tried       []string
	// bodySent is set once the body, or a part of it, may have been read to be sent.
	bodySent bool
	// sends counts the attempts that reached a backend server, or may have.
	sends int
	// mayHaveRun is set once an instance ran the request or may have run it, and
	// serverFailed once one ran it and answered with a failure.
	mayHaveRun, serverFailed bool
	last                     Attempt
	// retryAfter is the shortest time after which a refusing instance expects to
	// have capacity, and fallback is that instance.
	retryAfter time.Duration
	fallback   string
}

// NewRetryState returns the state of a new request, which may reach up to maxSends
// backend servers, at least one. atMostOnce states that the request must not run
// twice, nested that a running request waits for it, and replayable that its body
// can be sent more than once.
func NewRetryState(maxSends int, atMostOnce, nested, replayable bool) *RetryState {
	s := &RetryState{atMostOnce: atMostOnce, replayable: replayable, maxRefusals: maxRefusals, maxSends: maxSends}
	if nested {
		s.maxRefusals = maxNestedRefusals
	}
	return s
}

// Tried returns the ids of the instances that were tried. The caller must not
// modify the slice.
func (s *RetryState) Tried() []string { return s.tried }

// RetryAfter returns the shortest time after which a refusing instance expects to
// have capacity, or zero if none refused for overload.
func (s *RetryState) RetryAfter() time.Duration { return s.retryAfter }

// Reached reports whether the request has reached a backend server, or may have.
func (s *RetryState) Reached() bool { return s.sends > 0 }

// MayHaveRun reports whether an instance ran the request or may have run it.
func (s *RetryState) MayHaveRun() bool { return s.mayHaveRun }

// NextAttempt reports whether the request may be sent to an instance that has not
// been tried. If resend is set, an earlier attempt may have reached a backend
// server, and a caller.ResendBudget must allow the attempt as well.
func (s *RetryState) NextAttempt(now, deadline time.Time) (allowed, resend bool) {
	if s.refusals() >= s.maxRefusals {
		return false, false
	}
	return s.allowed(now, deadline)
}

func (s *RetryState) allowed(now, deadline time.Time) (allowed, resend bool) {
	switch {
	case s.final(), s.bodySent && !s.replayable:
		return false, false
	case s.sends == 0:
		return true, false
	case s.sends >= s.maxSends, s.mayHaveRun && s.atMostOnce, !s.replayable, deadline.Sub(now) < minResendTime:
		return false, false
	}
	return true, true
}

// FailFast reports whether the next instance should refuse the request rather than
// queue it for long, given whether there are other instances to try.
func (s *RetryState) FailFast(others bool) bool { return others && s.refusals()+1 < s.maxRefusals }

// refusals returns how many instances refused the request before it reached their
// backend server.
func (s *RetryState) refusals() int { return len(s.tried) - s.sends }

// Fallback returns the id of the instance at which the request should be queued
// once NextAttempt allows no further one: the instance that refused it for overload
// and expects to have capacity first. It returns the empty string if there is none.
// resend has the same meaning as for NextAttempt.
func (s *RetryState) Fallback(now, deadline time.Time) (instance string, resend bool) {
	if s.fallback == "" || s.last.outcome != caller.OutcomeNotRun || !now.Add(s.retryAfter).Before(deadline) {
		return "", false
	}
	allowed, resend := s.allowed(now, deadline)
	if !allowed {
		return "", false
	}
	return s.fallback, resend
}

// Record records an attempt at the instance with the given id.
func (s *RetryState) Record(instance string, a Attempt) {
	if !slices.Contains(s.tried, instance) {
		s.tried = append(s.tried, instance)
	}
	s.last = a
	if a.delivered || a.outcome == caller.OutcomeUnknown {
		s.sends++
	}
	if a.outcome != caller.OutcomeNotRun {
		s.mayHaveRun = true
	}
	if a.failed {
		s.serverFailed = true
	}
	if a.reason == caller.ReasonOverload && !a.delivered && (s.fallback == "" || a.retryAfter < s.retryAfter) {
		s.retryAfter, s.fallback = a.retryAfter, instance
	}
}

// RecordBodySent records that a part of the body may have been sent, so that a body that is
// not replayable is no longer available.
func (s *RetryState) RecordBodySent() { s.bodySent = true }

// ServerFailed reports whether an instance ran the request and answered with a
// failure.
func (s *RetryState) ServerFailed() bool { return s.serverFailed }

// final reports whether the outcome of the last attempt rules out another one.
func (s *RetryState) final() bool {
	if len(s.tried) == 0 {
		return false
	}
	switch s.last.outcome {
	case caller.OutcomeRan:
		return s.atMostOnce || !s.last.failed
	case caller.OutcomeUnknown:
		return s.atMostOnce || s.last.reason != caller.ReasonResponseLost && s.last.reason != caller.ReasonLeaving
	}
	switch s.last.reason {
	case caller.ReasonDeadlineExceeded, caller.ReasonCancelled, caller.ReasonQuarantined, caller.ReasonBadRequest:
		return true
	}
	return false
}

// Outcome states whether the request ran.
func (a Attempt) Outcome() caller.Outcome { return a.outcome }

// Result returns the result to pass to Balancer.Done.
func (a Attempt) Result() AttemptResult {
	switch {
	case a.outcome == caller.OutcomeRan && a.failed:
		return Failed
	case a.outcome == caller.OutcomeRan:
		return Succeeded
	case a.reason == caller.ReasonDeadlineExceeded, a.reason == caller.ReasonCancelled, a.reason == caller.ReasonQuarantined, a.reason == caller.ReasonBadRequest:
		return Inconclusive
	case a.outcome == caller.OutcomeNotRun && a.delivered:
		return Shed
	case a.reason == caller.ReasonOverload:
		return Overloaded
	case a.reason == caller.ReasonResponseLost && a.delivered:
		return Failed
	}
	return Unavailable
}
