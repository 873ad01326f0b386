package backend

import (
	"cmp"
	"time"
)

// Priority orders requests that compete for a backend server.
type Priority struct {
	nested          bool
	customer, route int
}

// NewPriority returns the rank of a request. Requests that a backend server makes
// while it runs another go first, since the other holds a slot meanwhile; then
// the customer's rank counts, then the route's, 0 the most urgent.
func NewPriority(nested bool, customer, route int) Priority {
	return Priority{nested: nested, customer: customer, route: route}
}

// Compare orders ranks, the most urgent first.
func (r Priority) Compare(o Priority) int {
	if r.nested != o.nested {
		if r.nested {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.customer, o.customer), cmp.Compare(r.route, o.route))
}

// Request is what a request asks of the backend server.
type Request struct {
	rank      Priority
	class     string
	objective time.Time
	deadline  time.Time
}

// NewRequest returns a request of a class, whose requests take about the same
// time, with the instant by which an answer earns full credit and the one after
// which it is of no use.
func NewRequest(rank Priority, class string, objective, deadline time.Time) Request {
	return Request{rank: rank, class: class, objective: objective, deadline: deadline}
}

// Components returns what the rank was made of.
func (r Priority) Components() (nested bool, customer, route int) {
	return r.nested, r.customer, r.route
}
