package handover

import "sync/atomic"

// The states of an Offer.
const (
	open int32 = iota
	committed
	withdrawn
)

// Offer is the sender's side of a handover. The zero value is an open offer. It is safe for
// concurrent use.
type Offer struct {
	state atomic.Int32
}

// Commit reports whether the sender may send what lets the receiver begin, and must be called
// before its first byte is sent. From then on the request may run.
func (o *Offer) Commit() bool {
	return o.state.CompareAndSwap(open, committed) || o.Committed()
}

// Committed reports whether the sender has committed.
func (o *Offer) Committed() bool { return o.state.Load() == committed }

// Withdraw gives the request up unless the sender has committed. It reports whether the
// receiver can never begin the request, which has not run then.
func (o *Offer) Withdraw() bool {
	return o.state.CompareAndSwap(open, withdrawn) || o.state.Load() == withdrawn
}
