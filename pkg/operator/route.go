package operator

import (
	"strconv"
	"strings"
	"time"
)

// RouteKind states how often a request on a route may be executed.
type RouteKind uint8

// The kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests must not be executed more than once.
	AtMostOnce
	// Upload requests have large bodies and must not be executed more than once.
	Upload
)

// String returns the name of the kind.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at most once"
	case Upload:
		return "upload"
	}
	return strconv.Itoa(int(k))
}

// Target is one of a route's services with its share of the requests.
type Target struct {
	service string
	weight  float64
}

// NewTarget returns a target. Its share of the requests is its weight divided by the
// sum of the weights of the route's targets. The weight must not be negative.
func NewTarget(service string, weight float64) Target {
	return Target{service: service, weight: weight}
}

// Service returns the service's name.
func (t Target) Service() string { return t.service }

// Weight returns the weight.
func (t Target) Weight() float64 { return t.weight }

// Route maps requests for a host and path prefix to services. Use NewRoute to create
// one.
type Route struct {
	name, host, prefix        string
	kind                      RouteKind
	targets                   []Target
	timeout, latencyObjective time.Duration
	maxAttempts               int
	priority                  int
	anonymous                 bool
}

// NewRoute returns a route for a host, without a port, and a path prefix that begins
// and ends with a slash. At least one target must have a weight above 0. The name
// appears in messages to operators. The route has no timeout and no latency
// objective, allows one attempt, has priority 0 and rejects anonymous callers; the
// methods whose names begin with With change this. The targets are retained.
func NewRoute(name, host, prefix string, kind RouteKind, targets ...Target) Route {
	return Route{name: name, host: strings.ToLower(host), prefix: prefix, kind: kind, targets: targets, maxAttempts: 1}
}

// WithTimes returns a copy of the route with a request timeout and a latency
// objective. Zero means no timeout or no objective.
func (r Route) WithTimes(timeout, latencyObjective time.Duration) Route {
	r.timeout, r.latencyObjective = timeout, latencyObjective
	return r
}

// WithMaxAttempts returns a copy of the route with the maximum number of backend
// servers that a request may be sent to. A number below 1 is taken as 1.
func (r Route) WithMaxAttempts(n int) Route {
	r.maxAttempts = n
	return r
}

// WithPriority returns a copy of the route with a priority; 0 is the most urgent.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithAnonymousAccess returns a copy of the route that accepts or rejects callers
// without an API key.
func (r Route) WithAnonymousAccess(allowed bool) Route {
	r.anonymous = allowed
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host in lower case.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Kind returns the kind, which states how often a request may be executed.
func (r Route) Kind() RouteKind { return r.kind }

// AtMostOnce reports whether a request must not be executed more than once.
func (r Route) AtMostOnce() bool { return r.kind != Idempotent }

// Targets returns the services. The caller must not modify the slice.
func (r Route) Targets() []Target { return r.targets }

// Timeout returns the request timeout, or zero for none.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the target latency of responses, or zero for none.
func (r Route) LatencyObjective() time.Duration { return r.latencyObjective }

// MaxAttempts returns the maximum number of backend servers that a request may
// be sent to, which is at least 1.
func (r Route) MaxAttempts() int { return max(r.maxAttempts, 1) }

// Priority returns the priority; 0 is the most urgent.
func (r Route) Priority() int { return r.priority }

// AllowsAnonymous reports whether callers need no API key.
func (r Route) AllowsAnonymous() bool { return r.anonymous }

// ChooseService returns the service for a request by the targets' weights, given
// a random number with uniform distribution in [0, 1). It panics if the route has no
// target, which Build rejects.
func (r Route) ChooseService(random float64) string {
	if len(r.targets) == 1 {
		return r.targets[0].service
	}
	var sum float64
	for _, t := range r.targets {
		sum += t.weight
	}
	remaining := random * sum
	for _, t := range r.targets {
		if remaining < t.weight {
			return t.service
		}
		remaining -= t.weight
	}
	return r.targets[len(r.targets)-1].service
}
