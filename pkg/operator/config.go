package operator

import (
	"iter"
	"maps"
	"strings"
	"time"
)

// Service holds the settings of the backend servers of one service.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
	warmupDuration time.Duration
	warmupRate     float64
}

// NewService returns a service with the HTTP path of its health check and the maximum
// number of connections to each of its backend servers, zero if not set. Its backend
// servers need no warm-up.
func NewService(name, healthPath string, maxConnections int) Service {
	return Service{name: name, healthPath: healthPath, maxConnections: maxConnections}
}

// WithWarmup returns a copy of the service whose backend servers, for the given
// duration after a start, handle only the given rate in requests per second. A rate of
// zero means that it is not limited. Neither value may be negative.
func (s Service) WithWarmup(d time.Duration, perSecond float64) Service {
	s.warmupDuration, s.warmupRate = d, perSecond
	return s
}

// Name returns the name.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns the maximum number of connections to one backend
// server, or zero if not set.
func (s Service) MaxConnections() int { return s.maxConnections }

// WarmupDuration returns how long a backend server warms up after its start, or zero
// if it need not.
func (s Service) WarmupDuration() time.Duration { return s.warmupDuration }

// WarmupRate returns the rate, in requests per second, that a backend server can
// handle while it warms up, or zero if the rate is not limited.
func (s Service) WarmupRate() float64 { return s.warmupRate }

// Limits bounds the size and duration of callers' requests. The zero value has no
// limits.
type Limits struct {
	maxHeaderBytes, maxBodyBytes int64
	headerTimeout, idleTimeout   time.Duration
}

// NewLimits returns limits on the size of a request's header and body in bytes,
// the time to receive the header, and the idle time of a connection. Zero means
// no limit. Build rejects negative values.
func NewLimits(maxHeaderBytes, maxBodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// MaxHeaderBytes returns the maximum size of a request's header in bytes, or zero for
// no limit.
func (l Limits) MaxHeaderBytes() int64 { return l.maxHeaderBytes }

// MaxBodyBytes returns the maximum size of a request's body in bytes, or zero for no
// limit.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// HeaderTimeout returns the timeout for receiving a request's header, or zero for
// none.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay idle, or zero for no limit.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// routeKey identifies a route in the routing table.
type routeKey struct {
	host, prefix string
}

// Config is the validated content of one version. It is immutable.
type Config struct {
	version       uint64
	routes        map[routeKey]Route
	services      map[string]Service
	customers     map[string]Customer
	customerByKey map[KeyDigest]string
	limits        Limits
}

// Version returns the version's number, which is at least 1.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ServiceNames returns the set of the services' names. The map is new.
func (c *Config) ServiceNames() map[string]bool {
	names := make(map[string]bool, len(c.services))
	for name := range c.services {
		names[name] = true
	}
	return names
}

// Customer returns the customer with the given name.
func (c *Config) Customer(name string) (Customer, bool) {
	v, ok := c.customers[name]
	return v, ok
}

// CustomerCount returns the number of customers.
func (c *Config) CustomerCount() int { return len(c.customers) }

// Customers returns the customers, in no particular order.
func (c *Config) Customers() iter.Seq[Customer] { return maps.Values(c.customers) }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return len(c.routes) }

// CustomerByKey returns the customer that owns the API key with the given digest.
func (c *Config) CustomerByKey(key KeyDigest) (Customer, bool) {
	name, ok := c.customerByKey[key]
	if !ok {
		return Customer{}, false
	}
	return c.Customer(name)
}

// Route returns the route of a host with the longest matching prefix of path, or false
// if there is none. The host may be in any case, and a port in it is ignored. The path
// must not include a query.
func (c *Config) Route(host, path string) (Route, bool) {
	host = matchedHost(host)
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r, ok := c.routes[routeKey{host: host, prefix: path[:i+1]}]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// matchedHost returns the part of a request's host by which routes are found: in lower case and
// without a port.
func matchedHost(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return host
}
