package caller

// Outcome states whether a request ran.
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

// String returns the outcome as it is reported to callers: "unknown", "ran" or
// "not-run". It panics if o is none of the constants.
func (o Outcome) String() string {
	return [...]string{"unknown", "ran", "not-run"}[o]
}

// Reason is the machine-readable cause of a refused or failed request. Its text is
// reported to callers.
type Reason string

// The possible reasons.
const (
	// ReasonNone: the request was neither refused nor did it fail.
	ReasonNone Reason = ""
	// ReasonInvalidKey: the API key matches no customer, or a nested call names no
	// running request.
	ReasonInvalidKey Reason = "key"
	// ReasonNoRoute: no route matches the request.
	ReasonNoRoute Reason = "route"
	// ReasonRateLimited: the customer has exceeded its rate limit.
	ReasonRateLimited Reason = "limit"
	// ReasonLimitUnknown: the daemons that hold the customer's limit did not answer.
	ReasonLimitUnknown Reason = "limit-unknown"
	// ReasonOverload: there was not enough capacity to run the request in time.
	ReasonOverload Reason = "overload"
	// ReasonDeadlineExceeded: the deadline passed or could not be met.
	ReasonDeadlineExceeded Reason = "deadline"
	// ReasonCancelled: the caller cancelled the request.
	ReasonCancelled Reason = "cancelled"
	// ReasonNoBackend: no backend server was reachable.
	ReasonNoBackend Reason = "backend"
	// ReasonLeaving: the backend server or its daemon is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonStarting: the daemon is still starting.
	ReasonStarting Reason = "starting"
	// ReasonConfigUnconfirmed: the platform has not confirmed the version of the
	// configuration in force for longer than the policy allows.
	ReasonConfigUnconfirmed Reason = "unconfirmed"
	// ReasonDuplicate: another attempt has claimed the idempotency key.
	ReasonDuplicate Reason = "duplicate"
	// ReasonNoQuorum: too few holders of the idempotency key granted the claim.
	ReasonNoQuorum Reason = "holders"
	// ReasonNoIdempotencyKey: the route requires an idempotency key and the request
	// has none.
	ReasonNoIdempotencyKey Reason = "idempotency-key"
	// ReasonQuarantined: equal requests have crashed backend servers.
	ReasonQuarantined Reason = "quarantined"
	// ReasonDepthExceeded: the calls are nested too deeply; see MaxDepth.
	ReasonDepthExceeded Reason = "depth"
	// ReasonResponseLost: the connection broke after the request was sent.
	ReasonResponseLost Reason = "lost-answer"
	// ReasonBadRequest: the request is malformed.
	ReasonBadRequest Reason = "request"
	// ReasonOutOfService: the backend server or its data centre is out of service.
	ReasonOutOfService Reason = "out-of-service"
	// ReasonTooLarge: the request exceeds the size limits.
	ReasonTooLarge Reason = "too-large"
)
