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
// meantime. The customer's rank comes next, then the route's; 0 is the most urgent.
func NewPriority(nested bool, customer, route int) Priority {
	return Priority{nested: nested, customer: customer, route: route}
}

// Compare orders priorities, the most urgent first.
func (p Priority) Compare(o Priority) int {
	if p.nested != o.nested {
		if p.nested {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(p.customer, o.customer), cmp.Compare(p.route, o.route))
}

// Request describes a request to the backend server.
type Request struct {
	priority  Priority
	class     string
	objective time.Time
	deadline  time.Time
}

// NewRequest returns a request. Requests of the same class take about the same
// time. An answer by the objective earns full credit; an answer after the deadline
// is useless.
func NewRequest(priority Priority, class string, objective, deadline time.Time) Request {
	return Request{priority: priority, class: class, objective: objective, deadline: deadline}
}

// Components returns the arguments that the priority was created from.
func (p Priority) Components() (nested bool, customer, route int) {
	return p.nested, p.customer, p.route
}
