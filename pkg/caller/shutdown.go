package caller

import "time"

// The multiples of its mean run time that a request may take at most, for the purposes of Shutdown:
// acceptMargin with the time for which it waits, startMargin without.
const (
	acceptMargin = 4
	startMargin  = 2
)

// Shutdown decides which requests a process accepts during a planned stop. A request that is
// still running when the process exits is lost, and its caller cannot tell whether it ran. A
// request is therefore accepted only if it is given up or answered before that, and otherwise
// refused at once. Refusing all requests from the beginning would be safe as well, but would
// turn away callers that cannot know yet that they should use another process.
//
// A Shutdown is immutable. The zero value refuses all requests. Use NewShutdown to create
// one.
type Shutdown struct {
	noticed, end time.Time
}

// NewShutdown returns the decisions of a process that begins to stop at begin and gives its
// last response at end. notice is the time that callers need to detect that they should not
// send it any more requests.
func NewShutdown(begin, end time.Time, notice time.Duration) Shutdown {
	return Shutdown{noticed: begin.Add(notice), end: end}
}

// Accepts reports whether a request that arrives at now is accepted. runTime is the mean run
// time of such requests, or zero if it is unknown.
//
// A request whose deadline is before the end is always accepted. One with a later deadline is
// accepted only while callers cannot have noticed the stop, and if it most likely ends in time.
func (s Shutdown) Accepts(now, deadline time.Time, runTime time.Duration) bool {
	if !deadline.After(s.end) {
		return true
	}
	return now.Before(s.noticed) && now.Add(acceptMargin*runTime).Before(s.end)
}

// MayStart reports whether a request that was accepted may still be sent to a backend server at now,
// or wait to be sent. It may if it is given up before the end, or most likely ends in time.
// Otherwise it is refused while that is certain, rather than cut off with an unknown outcome.
func (s Shutdown) MayStart(now, deadline time.Time, runTime time.Duration) bool {
	return !deadline.After(s.end) || now.Add(startMargin*runTime).Before(s.end)
}
