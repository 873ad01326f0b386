package caller

// Outcome says what became of a request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeUnknown: it may have run or not.
	OutcomeUnknown Outcome = iota
	// OutcomeRan: the backend server ran it.
	OutcomeRan
	// OutcomeNotRun: no backend server ran it or ever will.
	OutcomeNotRun
)

// String returns the outcome as callers read it.
func (o Outcome) String() string {
	return [...]string{"unknown", "ran", "not-run"}[o]
}

// Reason says in one word why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNone              Reason = ""
	ReasonInvalidKey        Reason = "key"
	ReasonNoRoute           Reason = "route"
	ReasonRateLimited       Reason = "limit"
	ReasonLimitUnknown      Reason = "limit-unknown"
	ReasonOverload          Reason = "overload"
	ReasonDeadlineExceeded  Reason = "deadline"
	ReasonCancelled         Reason = "cancelled"
	ReasonNoBackend         Reason = "backend"
	ReasonLeaving           Reason = "leaving"
	ReasonStarting          Reason = "starting"
	ReasonConfigUnconfirmed Reason = "unconfirmed"
	ReasonDuplicate         Reason = "duplicate"
	ReasonNoQuorum          Reason = "holders"
	ReasonNoIdempotencyKey  Reason = "idempotency-key"
	ReasonQuarantined       Reason = "quarantined"
	ReasonDepthExceeded     Reason = "depth"
	ReasonResponseLost      Reason = "lost-answer"
	ReasonBadRequest        Reason = "request"
	ReasonOutOfService      Reason = "out-of-service"
	ReasonTooLarge          Reason = "too-large"
)
