package caller

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// MaxRetries is how many further tries a request may take over all the calls
	// that it leads to.
	MaxRetries = 3
	// MaxDepth is how many calls may follow from one another.
	MaxDepth = 8
	// retryShare is the part of a service's requests that may be retries.
	retryShare = 0.2
	// retryBurst is how many retries a service may take at once.
	retryBurst = 10
)

// RetryBudget bounds retries twice: a request has a number of further tries that it
// hands down to the calls it leads to, so that tries add up over the depth and
// do not multiply; and a daemon's retries to a service stay a fixed part of its
// requests, so that a failing service is not held down. Make one with
// NewBudget.
type RetryBudget struct {
	services *table.Table[string, float64]
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{services: table.New[string, float64](lock.Budgets)}
}

// RecordRequest notes a request to a service.
func (b *RetryBudget) RecordRequest(service string) {
	b.services.Update(service, func(v float64, ok bool) (float64, bool) {
		if !ok {
			v = retryBurst
		}
		return min(v+retryShare, retryBurst), true
	})
}

// AllowRetry takes one retry of a service out of the budget if there is one left.
func (b *RetryBudget) AllowRetry(service string) bool {
	allowed := false
	b.services.Update(service, func(v float64, ok bool) (float64, bool) {
		if !ok {
			v = retryBurst
		}
		if v >= 1 {
			allowed = true
			v--
		}
		return v, true
	})
	return allowed
}

// Context is what a request hands down to the calls that it leads to.
type Context struct {
	customer string
	open     bool
	deadline time.Time
	depth    int
	retries  int
}

// NewContext returns the context of a request at a depth, with the retries
// left to it.
func NewContext(customer string, open bool, deadline time.Time, depth, retries int) Context {
	return Context{customer: customer, open: open, deadline: deadline, depth: depth, retries: retries}
}

// Customer returns the customer that the request runs for.
func (c Context) Customer() string { return c.customer }

// Anonymous says whether the request runs without a key on a route open to all.
func (c Context) Anonymous() bool { return c.open }

// Deadline returns when the caller stops waiting.
func (c Context) Deadline() time.Time { return c.deadline }

// Depth returns how many calls led to the request.
func (c Context) Depth() int { return c.depth }

// Retries returns how many further tries are left.
func (c Context) Retries() int { return c.retries }
