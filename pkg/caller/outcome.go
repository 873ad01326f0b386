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
	NoReason     Reason = ""
	BadKey       Reason = "key"
	NoRoute      Reason = "route"
	OverLimit    Reason = "limit"
	LimitUnknown Reason = "limit-unknown"
	Overload     Reason = "overload"
	Deadline     Reason = "deadline"
	Cancelled    Reason = "cancelled"
	NoBackend    Reason = "backend"
	Leaving      Reason = "leaving"
	Starting     Reason = "starting"
	Unconfirmed  Reason = "unconfirmed"
	Duplicate    Reason = "duplicate"
	NoHolders    Reason = "holders"
	NeedsKey     Reason = "idempotency-key"
	Quarantined  Reason = "quarantined"
	Depth        Reason = "depth"
	LostAnswer   Reason = "lost-answer"
	BadRequest   Reason = "request"
	OutOfService Reason = "out-of-service"
	TooLarge     Reason = "too-large"
)
