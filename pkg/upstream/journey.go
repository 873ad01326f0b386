package upstream

import (
	"slices"
	"time"

	"github.com/lycheehead/lycheehead/pkg/caller"
)

const (
	// placesMost is how many daemons may turn one request away, the last of them
	// after a wait, and placesNested for one that a running request waits for: under
	// load each costs both daemons the time to handle it.
	placesMost   = 2
	placesNested = 8
	// againLeast is the least time that must be left to send a request once
	// more.
	againLeast = 20 * time.Millisecond
)

// Attempt is what became of a request at one instance.
type Attempt struct {
	outcome caller.Outcome
	reason  caller.Reason
	offered bool
	failed  bool
	again   time.Duration
}

// NewAttempt returns the end of a try. offered says that the backend server got the
// request, failed that it ran it and failed, and again when it expects room.
func NewAttempt(o caller.Outcome, r caller.Reason, offered, failed bool, again time.Duration) Attempt {
	return Attempt{outcome: o, reason: r, offered: offered, failed: failed, again: again}
}

// RetryState decides where else a request may be tried. It belongs to one request.
type RetryState struct {
	once     bool
	whole    bool
	most     int
	attempts int
	tried    []string
	offered  int
	// ran says that an instance may have run the request, and failed that one has
	// and answered with a failure.
	ran, failed bool
	last        Attempt
	// again is the least time after which a daemon that refused expects room,
	// and room its instance.
	again time.Duration
	room  string
}

// NewRetryState returns the journey of a request that may be sent to a number of
// backend servers. once says that it runs at most once, nested that a running
// request waits for it, and whole that its body can be sent more than once.
func NewRetryState(attempts int, once, nested, whole bool) *RetryState {
	j := &RetryState{once: once, whole: whole, most: placesMost, attempts: attempts}
	if nested {
		j.most = placesNested
	}
	return j
}

// Tried returns the instances that were tried. The slice is not to be changed.
func (j *RetryState) Tried() []string { return j.tried }

// RetryAfter returns when a daemon that refused expects room, zero where none did.
func (j *RetryState) RetryAfter() time.Duration { return j.again }

// MayHaveRun says whether an instance may have run the request.
func (j *RetryState) MayHaveRun() bool { return j.ran }

// NextAttempt says whether the request may be placed at a further instance. resend says
// that this would be a second send, which the budget of sends has to allow.
func (j *RetryState) NextAttempt(now, deadline time.Time) (more, resend bool) {
	if j.turned() >= j.most {
		return false, false
	}
	return j.allowed(now, deadline)
}

func (j *RetryState) allowed(now, deadline time.Time) (allowed, resend bool) {
	switch {
	case j.settled():
		return false, false
	case j.offered == 0:
		return true, false
	case j.offered >= j.attempts, j.ran && j.once, !j.whole, deadline.Sub(now) < againLeast:
		return false, false
	}
	return true, true
}

// FailFast says whether an instance may refuse the request for having to wait,
// since there are others.
func (j *RetryState) FailFast(others bool) bool { return others && j.turned()+1 < j.most }

// turned returns how many instances turned the request away without its backend
// server having got it.
func (j *RetryState) turned() int { return len(j.tried) - j.offered }

// Fallback returns the instance at which a request may wait that nobody took at once,
// or nothing.
func (j *RetryState) Fallback(now, deadline time.Time) (instance string, resend bool) {
	if j.room == "" || j.last.outcome != caller.OutcomeNotRun || !now.Add(j.again).Before(deadline) {
		return "", false
	}
	allowed, resend := j.allowed(now, deadline)
	if !allowed {
		return "", false
	}
	return j.room, resend
}

// Record takes in the end of a try.
func (j *RetryState) Record(instance string, t Attempt) {
	if !slices.Contains(j.tried, instance) {
		j.tried = append(j.tried, instance)
	}
	j.last = t
	if t.offered || t.outcome == caller.OutcomeUnknown {
		j.offered++
	}
	if t.outcome != caller.OutcomeNotRun {
		j.ran = true
	}
	if t.failed {
		j.failed = true
	}
	if t.reason == caller.ReasonOverload && !t.offered && (j.room == "" || t.again < j.again) {
		j.again, j.room = t.again, instance
	}
}

// ServerFailed says whether an instance ran the request and answered with a failure.
func (j *RetryState) ServerFailed() bool { return j.failed }

// settled says whether the last try's end is what the caller gets.
func (j *RetryState) settled() bool {
	if len(j.tried) == 0 {
		return false
	}
	switch j.last.outcome {
	case caller.OutcomeRan:
		return j.once || !j.last.failed
	case caller.OutcomeUnknown:
		return j.once || j.last.reason != caller.ReasonResponseLost
	}
	switch j.last.reason {
	case caller.ReasonDeadlineExceeded, caller.ReasonCancelled, caller.ReasonQuarantined, caller.ReasonBadRequest:
		return true
	}
	return false
}

// Outcome returns what became of the request.
func (t Attempt) Outcome() caller.Outcome { return t.outcome }

// Result says what a try tells of its instance.
func (t Attempt) Result() AttemptResult {
	switch {
	case t.outcome == caller.OutcomeRan && t.failed:
		return Failed
	case t.outcome == caller.OutcomeRan:
		return Succeeded
	case t.reason == caller.ReasonDeadlineExceeded, t.reason == caller.ReasonCancelled, t.reason == caller.ReasonQuarantined, t.reason == caller.ReasonBadRequest:
		return Inconclusive
	case t.outcome == caller.OutcomeNotRun && t.offered:
		return Shed
	case t.reason == caller.ReasonOverload:
		return Overloaded
	case t.reason == caller.ReasonResponseLost && t.offered:
		return Failed
	}
	return Unavailable
}
