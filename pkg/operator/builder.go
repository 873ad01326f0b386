package operator

import (
	"fmt"
	"strings"
	"time"
)

// Problem is one validation error of a version.
type Problem struct {
	path, text string
}

// Path returns the path of the invalid field, as in routes[3].prefix.
func (p Problem) Path() string { return p.path }

// Text describes the error.
func (p Problem) Text() string { return p.text }

// Problems lists all validation errors of a version: those that AddProblem recorded,
// then those that Build found, in the order of the fields. It is the error that Build
// returns.
type Problems []Problem

// Error returns the problems, separated by semicolons.
func (ps Problems) Error() string {
	texts := make([]string, len(ps))
	for i, p := range ps {
		texts[i] = p.path + ": " + p.text
	}
	return strings.Join(texts, "; ")
}

// Add appends a problem of the field at path.
func (ps *Problems) Add(path, format string, args ...any) {
	*ps = append(*ps, Problem{path: path, text: fmt.Sprintf(format, args...)})
}

// Builder collects the content of a version before validation. It is not safe for
// concurrent use. Use NewBuilder to create one.
type Builder struct {
	version   uint64
	routes    []Route
	services  []Service
	customers []Customer
	limits    Limits
	problems  Problems
}

// NewBuilder returns an empty builder for a version number, which must be at least 1.
// Without SetLimits, callers' requests are not limited.
func NewBuilder(version uint64) *Builder { return &Builder{version: version} }

// AddRoute adds a route.
func (b *Builder) AddRoute(r Route) { b.routes = append(b.routes, r) }

// AddService adds a service.
func (b *Builder) AddService(s Service) { b.services = append(b.services, s) }

// AddCustomer adds a customer.
func (b *Builder) AddCustomer(c Customer) { b.customers = append(b.customers, c) }

// SetLimits sets the limits on callers' requests.
func (b *Builder) SetLimits(l Limits) { b.limits = l }

// AddProblem records an error found while the content was decoded. Build then
// fails and reports it with the validation errors.
func (b *Builder) AddProblem(path, format string, args ...any) {
	b.problems.Add(path, format, args...)
}

// Build validates the content and returns the configuration. The error is of
// type Problems and lists all errors. The builder must not be used afterwards, since
// the configuration retains its content.
func (b *Builder) Build() (*Config, error) {
	c := &Config{
		version:       b.version,
		limits:        b.limits,
		routes:        make(map[routeKey]Route, len(b.routes)),
		services:      make(map[string]Service, len(b.services)),
		customers:     make(map[string]Customer, len(b.customers)),
		customerByKey: make(map[KeyDigest]string),
	}
	ps := b.problems
	if b.version == 0 {
		ps.Add("version", "must be at least 1")
	}
	b.checkServices(c, &ps)
	b.checkRoutes(c, &ps)
	b.checkCustomers(c, &ps)
	b.checkLimits(&ps)
	if len(ps) > 0 {
		return nil, ps
	}
	return c, nil
}

// elementPath returns a function that returns the path of a field of the element at an
// index. Paths are needed only for problems.
func elementPath(list string, index int) func(field string) string {
	return func(field string) string { return fmt.Sprintf("%s[%d]%s", list, index, field) }
}

// rejectNegative reports a field that must not be negative, or that is not a number.
func rejectNegative[T int64 | float64 | time.Duration](ps *Problems, path func(string) string, field string, v T) {
	if !(v >= 0) { // NaN is invalid as well
		ps.Add(path(field), "must not be negative")
	}
}

// checkLimits rejects negative limits. Zero means no limit, and where a limit is applied, a negative
// one would end connections at once or be no limit, depending on the field.
func (b *Builder) checkLimits(ps *Problems) {
	path := func(field string) string { return "limits" + field }
	rejectNegative(ps, path, ".max-header-bytes", b.limits.maxHeaderBytes)
	rejectNegative(ps, path, ".max-body-bytes", b.limits.maxBodyBytes)
	rejectNegative(ps, path, ".header-timeout", b.limits.headerTimeout)
	rejectNegative(ps, path, ".idle-timeout", b.limits.idleTimeout)
}

func (b *Builder) checkServices(c *Config, ps *Problems) {
	for i, s := range b.services {
		path := elementPath("services", i)
		if s.name == "" {
			ps.Add(path(".name"), "must not be empty")
		}
		if _, exists := c.services[s.name]; exists {
			ps.Add(path(".name"), "service %q is defined more than once", s.name)
		}
		rejectNegative(ps, path, ".warmup", s.warmupDuration)
		rejectNegative(ps, path, ".warmup-rate", s.warmupRate)
		c.services[s.name] = s
	}
}

func (b *Builder) checkRoutes(c *Config, ps *Problems) {
	for i, r := range b.routes {
		path := elementPath("routes", i)
		if !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
			ps.Add(path(".prefix"), "%q must begin and end with a slash", r.prefix)
		}
		key := routeKey{host: r.host, prefix: r.prefix}
		if other, exists := c.routes[key]; exists {
			ps.Add(path(".prefix"), "host and prefix are already used by route %q", other.name)
		}
		rejectNegative(ps, path, ".timeout", r.timeout)
		rejectNegative(ps, path, ".latency-objective", r.latencyObjective)
		b.checkTargets(c, ps, path, r)
		c.routes[key] = r
	}
}

func (b *Builder) checkTargets(c *Config, ps *Problems, path func(string) string, r Route) {
	var sum float64
	for _, t := range r.targets {
		if _, ok := c.services[t.service]; !ok {
			ps.Add(path(".service"), "service %q is not defined", t.service)
		}
		if t.weight < 0 {
			ps.Add(path(".weight"), "must not be negative")
		}
		sum += t.weight
	}
	if len(r.targets) == 0 || sum <= 0 {
		ps.Add(path(".service"), "must name a service with a weight above 0")
	}
}

func (b *Builder) checkCustomers(c *Config, ps *Problems) {
	for i, v := range b.customers {
		path := elementPath("customers", i)
		if v.name == "" {
			ps.Add(path(".name"), "must not be empty")
		}
		if _, exists := c.customers[v.name]; exists {
			ps.Add(path(".name"), "customer %q is defined more than once", v.name)
		}
		rejectNegative(ps, path, ".rate", v.rate)
		rejectNegative(ps, path, ".burst", v.burst)
		c.customers[v.name] = v
		for j, key := range v.keys {
			if owner, exists := c.customerByKey[key]; exists && owner != v.name {
				ps.Add(path(fmt.Sprintf(".keys[%d]", j)), "key already belongs to customer %q", owner)
			}
			c.customerByKey[key] = v.name
		}
	}
}
