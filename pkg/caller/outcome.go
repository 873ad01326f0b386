package caller

// Outcome tells whether a request ran.
type Outcome uint8

// The possible outcomes.
const (
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeRan: a backend server ran the request.
	OutcomeRan
	// OutcomeNotRun: no backend server has run the request or will run it.
	OutcomeNotRun
)

// String returns the outcome as it is reported to callers.
func (o Outcome) String() string {
	return [...]string{"unknown", "ran", "not-run"}[o]
}

// Reason is the machine-readable cause of a refused or failed request.
type Reason string

// The possible reasons.
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
