package peer

import "time"

// Failure is how a daemon failed to answer.
type Failure uint8

const (
	// Disconnected means that the machine refused or reset a connection, or that the network
	// reported it as unreachable. No busy link does that.
	Disconnected Failure = iota
	// TimedOut means that nothing has arrived within a time-out.
	TimedOut
)

// Patience decides whether a daemon that does not answer is unreachable or only slow, because
// bodies fill its link or that of the daemon that asks. Its load pattern is uploads that fill
// links of 10 Mbit/s: connects and pings with time-outs of 250 ms then failed between healthy
// machines, which marked each other as unreachable and refused 15,000 requests in a day.
//
// It extends time-outs by the time for which a link is known to be busy, up to a maximum. Where
// no link is busy, and where the failure is not a time-out, the verdict is immediate.
type Patience struct {
	maxExtra time.Duration
}

// NewPatience returns a patience that waits at most maxExtra longer than the usual time-out.
func NewPatience(maxExtra time.Duration) Patience { return Patience{maxExtra: maxExtra} }

// Extra returns how much longer than usual a daemon is waited for, given for how long the own
// link is busy, and for how long that of the other daemon is according to its last report.
func (p Patience) Extra(own, reported time.Duration) time.Duration {
	return min(max(own, 0)+max(reported, 0), p.maxExtra)
}

// Unreachable reports whether a daemon is unreachable that has failed to answer within the usual
// time-out and for waited after that. Otherwise it has to be pinged again.
func (p Patience) Unreachable(f Failure, waited, own, reported time.Duration) bool {
	return f == Disconnected || waited >= p.Extra(own, reported)
}
