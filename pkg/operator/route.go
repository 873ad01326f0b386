package operator

import (
	"strings"
	"time"
)

// RouteKind says how often a request on a route may run.
type RouteKind uint8

// The kinds of routes.
const (
	// Idempotent requests may run again.
	Idempotent RouteKind = iota
	// AtMostOnce is for requests that run at most once.
	AtMostOnce
	// Upload is for requests with large bodies that run at most once.
	Upload
)

// Target is one service of a route with its share of the route's requests.
type Target struct {
	service string
	weight  float64
}

// NewTarget returns a target whose share is its weight over the sum of weights.
func NewTarget(service string, weight float64) Target {
	return Target{service: service, weight: weight}
}

// Service returns the service's name.
func (t Target) Service() string { return t.service }

// Weight returns the weight.
func (t Target) Weight() float64 { return t.weight }

// Route sends requests for a host and path prefix to services.
type Route struct {
	name, host, prefix string
	kind               RouteKind
	targets            []Target
	timeout, objective time.Duration
	attempts           int
	priority           int
	open               bool
}

// NewRoute returns a route for a host and a path prefix that begins and ends
// with a slash.
func NewRoute(name, host, prefix string, kind RouteKind, targets ...Target) Route {
	return Route{name: name, host: strings.ToLower(host), prefix: prefix, kind: kind, targets: targets, attempts: 1}
}

// WithTimes returns the route with the longest time a request may take and the
// latency that it should keep. Zero leaves either open.
func (r Route) WithTimes(timeout, objective time.Duration) Route {
	r.timeout, r.objective = timeout, objective
	return r
}

// WithMaxAttempts returns the route with the number of backend servers that one
// request may be sent to.
func (r Route) WithMaxAttempts(n int) Route {
	r.attempts = max(n, 1)
	return r
}

// WithPriority returns the route with its rank, 0 the most urgent.
func (r Route) WithPriority(rank int) Route {
	r.priority = rank
	return r
}

// WithAnonymousAccess returns the route open to callers without a key, or not.
func (r Route) WithAnonymousAccess(open bool) Route {
	r.open = open
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host in lower case.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Kind says how often a request may run.
func (r Route) Kind() RouteKind { return r.kind }

// AtMostOnce says whether a request runs at most once.
func (r Route) AtMostOnce() bool { return r.kind != Idempotent }

// Targets returns the services. The slice is not to be changed.
func (r Route) Targets() []Target { return r.targets }

// Timeout returns the longest time a request may take, or zero.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the latency that an answer should keep, or zero.
func (r Route) LatencyObjective() time.Duration { return r.objective }

// MaxAttempts returns how many backend servers one request may be sent to.
func (r Route) MaxAttempts() int { return r.attempts }

// Priority returns the rank, 0 the most urgent.
func (r Route) Priority() int { return r.priority }

// AllowsAnonymous says whether callers need no key.
func (r Route) AllowsAnonymous() bool { return r.open }

// ChooseService returns the service for a request by the targets' weights, given a
// number drawn evenly from [0, 1).
func (r Route) ChooseService(draw float64) string {
	if len(r.targets) == 1 {
		return r.targets[0].service
	}
	var sum float64
	for _, t := range r.targets {
		sum += t.weight
	}
	left := draw * sum
	for _, t := range r.targets {
		if left < t.weight {
			return t.service
		}
		left -= t.weight
	}
	return r.targets[len(r.targets)-1].service
}
