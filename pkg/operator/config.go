package operator

import (
	"strings"
	"time"
)

// Service is what operators say of the backend servers of one service.
type Service struct {
	name        string
	health      string
	connections int
	warmup      time.Duration
	warmupRate  float64
}

// NewService returns a service with the path of its health check and the
// connections that each of its backend servers takes.
func NewService(name, health string, connections int) Service {
	return Service{name: name, health: health, connections: connections}
}

// WithWarmup returns the service with how long its backend servers stay cold
// after a start and the requests per second that a cold one bears.
func (s Service) WithWarmup(d time.Duration, perSecond float64) Service {
	s.warmup, s.warmupRate = d, perSecond
	return s
}

// Name returns the name.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.health }

// MaxConnections returns how many connections one backend server takes, or zero.
func (s Service) MaxConnections() int { return s.connections }

// WarmupDuration returns how long a backend server stays cold after its start.
func (s Service) WarmupDuration() time.Duration { return s.warmup }

// WarmupRate returns the requests per second that a cold backend server bears.
func (s Service) WarmupRate() float64 { return s.warmupRate }

// Limits bound what callers may send.
type Limits struct {
	headerBytes, bodyBytes int64
	headerTimeout, idle    time.Duration
}

// NewLimits returns limits on the bytes of a request's head and body, on the
// time that a head may take and on how long a connection may stay idle. Zero
// leaves a limit open.
func NewLimits(headerBytes, bodyBytes int64, headerTimeout, idle time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idle: idle}
}

// MaxHeaderBytes returns the most bytes of a request's head.
func (l Limits) MaxHeaderBytes() int64 { return l.headerBytes }

// MaxBodyBytes returns the most bytes of a request's body.
func (l Limits) MaxBodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns how long a request's head may take.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idle }

// place is where a route applies.
type place struct {
	host, prefix string
}

// Config is the checked content of one version. It does not change once made.
type Config struct {
	version   uint64
	routes    map[place]Route
	services  map[string]Service
	customers map[string]Customer
	owners    map[KeyDigest]string
	limits    Limits
}

// Version returns the version's number.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the bounds on what callers may send.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the service of the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Customer returns the customer of the given name.
func (c *Config) Customer(name string) (Customer, bool) {
	v, ok := c.customers[name]
	return v, ok
}

// CustomerCount returns how many customers there are.
func (c *Config) CustomerCount() int { return len(c.customers) }

// RouteCount returns how many routes there are.
func (c *Config) RouteCount() int { return len(c.routes) }

// CustomerByKey returns the customer that holds a key.
func (c *Config) CustomerByKey(key KeyDigest) (Customer, bool) {
	name, ok := c.owners[key]
	if !ok {
		return Customer{}, false
	}
	return c.Customer(name)
}

// Route returns the route of a host with the longest prefix that begins path.
// A port in host is ignored.
func (c *Config) Route(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r, ok := c.routes[place{host: host, prefix: path[:i+1]}]; ok {
			return r, true
		}
	}
	return Route{}, false
}
