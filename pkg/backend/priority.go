package backend

import (
	"cmp"
	"time"
)

// Priority is the priority of a request among those that compete for one backend
// server.
type Priority struct {
	nested          bool
	customer, route int
}

// NewPriority returns the priority of a request. Requests that a backend server makes
// while it runs another one go first, because the other one occupies a slot in the
// meantime. The customer's rank comes next, then the route's. Lower ranks are more
// urgent; operators use 0 for the most urgent.
func NewPriority(nested bool, customer, route int) Priority {
	return Priority{nested: nested, customer: customer, route: route}
}

// Compare returns a negative number if p is more urgent than o, a positive number if
// it is less urgent, and 0 if they are equal.
func (p Priority) Compare(o Priority) int {
	if p.nested != o.nested {
		if p.nested {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(p.customer, o.customer), cmp.Compare(p.route, o.route))
}

// Request describes a request to a Queue.
type Request struct {
	priority  Priority
	class     string
	objective time.Time
	deadline  time.Time
}

// NewRequest returns a request. The class groups requests that take about the same
// time, such as those on one route. The objective is the time by which the request
// should be answered, the deadline the time after which an answer is of no use to
// the caller.
func NewRequest(priority Priority, class string, objective, deadline time.Time) Request {
	return Request{priority: priority, class: class, objective: objective, deadline: deadline}
}

// Components returns the arguments that the priority was created from.
func (p Priority) Components() (nested bool, customer, route int) {
	return p.nested, p.customer, p.route
}
