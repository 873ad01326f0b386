package handover

// Rule decides when a receiver may begin a request whose sender withholds the body until the
// receiver asks for it.
type Rule interface {
	// MayBegin reports whether the receiver may begin, given whether a part of the body has
	// arrived.
	MayBegin(bodyArrived bool) bool
}

// FirstByte is the Rule that waits for the first byte of the body. It has been sent after the
// sender committed.
type FirstByte struct{}

// MayBegin implements Rule.
func (FirstByte) MayBegin(bodyArrived bool) bool { return bodyArrived }

// HeadOnly is the naive Rule, which begins without the body. A sender may have withdrawn then.
type HeadOnly struct{}

// MayBegin implements Rule.
func (HeadOnly) MayBegin(bool) bool { return true }

// Receipt is the receiver's side of a handover whose head has arrived: what the receiver knows
// of the sender.
type Receipt[R Rule] struct {
	withheld, bodyArrived bool
}

// NewReceipt returns the receipt of a request. withheld states that its sender withholds the
// body until it is asked for it. Any other sender commits before it sends the head.
func NewReceipt[R Rule](withheld bool) Receipt[R] { return Receipt[R]{withheld: withheld} }

// RecordBody records that a part of the body has arrived.
func (r *Receipt[R]) RecordBody() { r.bodyArrived = true }

// MayBegin reports whether the receiver may send the request to its backend server.
func (r Receipt[R]) MayBegin() bool {
	var rule R
	return !r.withheld || rule.MayBegin(r.bodyArrived)
}
