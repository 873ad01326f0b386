package caller

import (
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// MaxRetries is the number of retries that a request has at first, for itself and
	// the nested calls that it leads to.
	MaxRetries = 3
	// MaxDepth bounds the length of a chain of nested calls: a request whose
	// Context.Depth would reach it is refused.
	MaxDepth = 8
	// retryRatio is the number of retries that each request to a service allows.
	retryRatio = 0.2
	// retryBurst is the capacity of a service's token bucket for retries.
	retryBurst = 10
)

// RetryBudget limits a daemon's retries to each service to a fixed ratio of its
// requests to that service, so that retries do not keep a failing service
// overloaded. A second limit travels with the request: Context carries the
// retries that it has left to nested calls, so that retries add up over the
// depth of the call chain instead of multiplying. A RetryBudget is safe for
// concurrent use. Create one with NewRetryBudget.
type RetryBudget struct {
	services *table.Table[string, float64]
}

// NewRetryBudget returns a budget with a full token bucket for every service.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{services: table.New[string, float64](lock.Budgets)}
}

// RecordRequest records a request to a service, which adds to its retry tokens.
func (b *RetryBudget) RecordRequest(service string) {
	b.services.Update(service, func(tokens float64, ok bool) (float64, bool) {
		if !ok {
			tokens = retryBurst
		}
		return min(tokens+retryRatio, retryBurst), true
	})
}

// AllowRetry takes one retry token of a service and reports whether there was
// one.
func (b *RetryBudget) AllowRetry(service string) bool {
	allowed := false
	b.services.Update(service, func(tokens float64, ok bool) (float64, bool) {
		if !ok {
			tokens = retryBurst
		}
		if tokens >= 1 {
			allowed = true
			tokens--
		}
		return tokens, true
	})
	return allowed
}

// Context is the part of a request's state that is propagated to the nested
// calls that it leads to.
type Context struct {
	customer  string
	anonymous bool
	deadline  time.Time
	depth     int
	retries   int
}

// NewContext returns the context of a request that is nested depth calls deep, 0 for
// one from outside, and has the given number of retries left. anonymous marks a
// request on a route that allows access without an API key.
func NewContext(customer string, anonymous bool, deadline time.Time, depth, retries int) Context {
	return Context{customer: customer, anonymous: anonymous, deadline: deadline, depth: depth, retries: retries}
}

// Customer returns the customer on whose behalf the request runs.
func (c Context) Customer() string { return c.customer }

// Anonymous reports whether the request uses a route that allows access without an
// API key.
func (c Context) Anonymous() bool { return c.anonymous }

// Deadline returns the time at which the caller stops waiting for the response.
func (c Context) Deadline() time.Time { return c.deadline }

// Depth returns the number of calls in the chain that led to the request, 0 for a
// request from outside.
func (c Context) Depth() int { return c.depth }

// Retries returns the number of retries left.
func (c Context) Retries() int { return c.retries }
