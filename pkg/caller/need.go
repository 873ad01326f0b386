package caller

import (
	"cmp"
	"time"
)

// Priority is the priority of a request among those that compete for one resource.
type Priority struct {
	nested          bool
	customer, route int
	// ranked states that customer and route are those of the request that made the call, and call
	// is then the rank of the call's own route.
	ranked bool
	call   int
}

// NewPriority returns the priority of a request. The customer's rank comes first, then the route's.
// Lower ranks are more urgent; operators use 0 for the most urgent. A nested request, which a backend
// server makes while it runs another one, precedes all others: it is not known how urgent that one
// is, which occupies a slot in the meantime.
func NewPriority(nested bool, customer, route int) Priority {
	return Priority{nested: nested, customer: customer, route: route}
}

// Call returns the priority of a call that a backend server makes while it runs a request of
// priority p, on a route with the given rank. The call is as urgent as that request, and precedes
// requests of that urgency that have not been started. Among calls of the same urgency, their own
// ranks decide.
func (p Priority) Call(route int) Priority {
	return Priority{nested: true, customer: p.customer, route: p.route, ranked: !p.nested || p.ranked, call: route}
}

// Compare returns a negative number if p is more urgent than o, a positive number if
// it is less urgent, and 0 if they are equal.
func (p Priority) Compare(o Priority) int {
	return cmp.Or(
		trueFirst(p.nested && !p.ranked, o.nested && !o.ranked),
		cmp.Compare(p.customer, o.customer), cmp.Compare(p.route, o.route),
		trueFirst(p.nested, o.nested), cmp.Compare(p.call, o.call),
	)
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Nested reports whether a backend server makes the request while it runs another one.
func (p Priority) Nested() bool { return p.nested }

// Components returns the arguments of NewPriority. For a priority that Call returned, the ranks
// are those of the request that made the call.
func (p Priority) Components() (nested bool, customer, route int) {
	return p.nested, p.customer, p.route
}

// CallRank returns the argument of Call. ok is false if it is not known how urgent the request is
// on whose behalf this one is made, or if this one is not a call.
func (p Priority) CallRank() (rank int, ok bool) { return p.call, p.ranked }

const (
	// redirectWaitShare is the fraction of the time until its objective that a request may be
	// expected to wait for a resource if another server may still take it.
	redirectWaitShare = 0.25
	// LateWaitShare is the fraction of the time until its deadline that a request may be expected
	// to wait for a resource if it cannot meet its objective.
	LateWaitShare = 0.15
)

// MaxRedirectWait returns how long a request that another server may take may be expected to wait
// for a resource, given the time until its objective.
func MaxRedirectWait(untilObjective time.Duration) time.Duration {
	return max(0, time.Duration(float64(untilObjective)*redirectWaitShare))
}

// Need is what a request needs of a resource that is short, such as the slots of a backend
// server or the link of a machine, and by when. All components that delay or refuse requests for
// lack of capacity order them by their needs, so that a request which one of them has let pass is
// not refused by the next one in favour of others.
type Need struct {
	priority            Priority
	objective, deadline time.Time
	work                time.Duration
	spent               time.Duration
}

// NewNeed returns the need of a request that occupies the resource for work. The objective is the
// time by which the request should be answered, the deadline the time after which an answer is of
// no use to its caller. What the request takes after it has left the resource must have been
// subtracted from both.
func NewNeed(p Priority, objective, deadline time.Time, work time.Duration) Need {
	return Need{priority: p, objective: objective, deadline: deadline, work: work}
}

// WithSpent returns a copy of the need of a request on which time has been spent already, or on
// the one that made it as a call.
func (n Need) WithSpent(spent time.Duration) Need {
	n.spent = spent
	return n
}

// Spent returns the time already spent on the request.
func (n Need) Spent() time.Duration { return n.spent }

// Urgent reports whether the request is to be finished rather than repeated by its caller: it is a
// call, whose failure loses the request that made it, or as much time has been spent on it as it
// still needs.
func (n Need) Urgent() bool { return n.priority.Nested() || n.spent > 0 && n.spent >= n.work }

// Priority returns the priority of the request.
func (n Need) Priority() Priority { return n.priority }

// Objective returns the time by which the resource should have been used.
func (n Need) Objective() time.Time { return n.objective }

// Deadline returns the time after which using the resource is of no use.
func (n Need) Deadline() time.Time { return n.deadline }

// Work returns the time for which the request occupies the resource.
func (n Need) Work() time.Duration { return n.work }

// MeetsObjective reports whether a request that gets the resource at start meets its objective.
func (n Need) MeetsObjective(start time.Time) bool { return !start.Add(n.work).After(n.objective) }

// MeetsDeadline reports whether a request that gets the resource at start ends before its
// deadline.
func (n Need) MeetsDeadline(start time.Time) bool { return start.Add(n.work).Before(n.deadline) }

// Compare returns a negative number if n is served before o, and a positive number if it is
// served after o: the more urgent one first, and of two that are equally urgent the one with
// the earlier objective. It returns 0 if neither precedes the other.
func (n Need) Compare(o Need) int {
	return cmp.Or(n.priority.Compare(o.priority), n.objective.Compare(o.objective))
}

// Victim returns the index of the request to refuse if the resource cannot serve all of them in
// time, or -1 if there are none. need returns the need of a request. The victim is one of the
// least urgent, and among these the one that needs the most work, since its refusal makes room
// for the most others; of several such requests it is the last one. For requests of the same
// urgency, in the order of their objectives, refusing a victim each time that one would be late
// leaves the fewest refused (Moore and Hodgson).
func Victim[T any](requests []T, need func(T) Need) int {
	victim := -1
	var least Need
	for i, r := range requests {
		n := need(r)
		if victim >= 0 {
			if c := n.priority.Compare(least.priority); c < 0 || c == 0 && n.work < least.work {
				continue
			}
		}
		victim, least = i, n
	}
	return victim
}
