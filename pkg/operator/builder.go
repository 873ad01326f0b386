package operator

import (
	"fmt"
	"strings"
)

// Problem is one fault of a version.
type Problem struct {
	path, text string
}

// Path names the faulty field, as in routes[3].prefix.
func (p Problem) Path() string { return p.path }

// Text says what is wrong with it.
func (p Problem) Text() string { return p.text }

// Problems lists all faults of a version, in the version's order.
type Problems []Problem

// Error joins the problems with semicolons.
func (ps Problems) Error() string {
	texts := make([]string, len(ps))
	for i, p := range ps {
		texts[i] = p.path + ": " + p.text
	}
	return strings.Join(texts, "; ")
}

// Add notes a problem at a path.
func (ps *Problems) Add(path, format string, args ...any) {
	*ps = append(*ps, Problem{path: path, text: fmt.Sprintf(format, args...)})
}

// Builder gathers the content of a version that is not yet checked.
type Builder struct {
	version   uint64
	routes    []Route
	services  []Service
	customers []Customer
	limits    Limits
	problems  Problems
}

// NewBuilder returns an empty draft of a version.
func NewBuilder(version uint64) *Builder { return &Builder{version: version} }

// AddRoute adds a route.
func (d *Builder) AddRoute(r Route) { d.routes = append(d.routes, r) }

// AddService adds a service.
func (d *Builder) AddService(s Service) { d.services = append(d.services, s) }

// AddCustomer adds a customer.
func (d *Builder) AddCustomer(c Customer) { d.customers = append(d.customers, c) }

// SetLimits sets the bounds on what callers may send.
func (d *Builder) SetLimits(l Limits) { d.limits = l }

// AddProblem notes a fault that was found while the draft was decoded.
func (d *Builder) AddProblem(path, format string, args ...any) { d.problems.Add(path, format, args...) }

// Build checks the draft and returns it ready for use. The error is of type
// Problems and lists every fault.
func (d *Builder) Build() (*Config, error) {
	c := &Config{
		version:   d.version,
		limits:    d.limits,
		routes:    make(map[place]Route, len(d.routes)),
		services:  make(map[string]Service, len(d.services)),
		customers: make(map[string]Customer, len(d.customers)),
		owners:    make(map[KeyDigest]string),
	}
	ps := d.problems
	if d.version == 0 {
		ps.Add("version", "must be at least 1")
	}
	d.checkServices(c, &ps)
	d.checkRoutes(c, &ps)
	d.checkCustomers(c, &ps)
	if len(ps) > 0 {
		return nil, ps
	}
	return c, nil
}

func (d *Builder) checkServices(c *Config, ps *Problems) {
	for i, s := range d.services {
		path := fmt.Sprintf("services[%d]", i)
		if s.name == "" {
			ps.Add(path+".name", "is empty")
		}
		if _, twice := c.services[s.name]; twice {
			ps.Add(path+".name", "service %q stands twice", s.name)
		}
		if s.warmupRate < 0 || s.warmup < 0 {
			ps.Add(path+".warmup", "must not be negative")
		}
		c.services[s.name] = s
	}
}

func (d *Builder) checkRoutes(c *Config, ps *Problems) {
	for i, r := range d.routes {
		path := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
			ps.Add(path+".prefix", "%q must begin and end with a slash", r.prefix)
		}
		at := place{host: r.host, prefix: r.prefix}
		if other, twice := c.routes[at]; twice {
			ps.Add(path+".prefix", "host and prefix belong to route %q already", other.name)
		}
		if r.timeout < 0 || r.objective < 0 {
			ps.Add(path+".timeout", "must not be negative")
		}
		d.checkTargets(c, ps, path, r)
		c.routes[at] = r
	}
}

func (d *Builder) checkTargets(c *Config, ps *Problems, path string, r Route) {
	var sum float64
	for _, t := range r.targets {
		if _, ok := c.services[t.service]; !ok {
			ps.Add(path+".service", "there is no service %q", t.service)
		}
		if t.weight < 0 {
			ps.Add(path+".weight", "must not be negative")
		}
		sum += t.weight
	}
	if len(r.targets) == 0 || sum <= 0 {
		ps.Add(path+".service", "names no service with a weight above 0")
	}
}

func (d *Builder) checkCustomers(c *Config, ps *Problems) {
	for i, v := range d.customers {
		path := fmt.Sprintf("customers[%d]", i)
		if v.name == "" {
			ps.Add(path+".name", "is empty")
		}
		if _, twice := c.customers[v.name]; twice {
			ps.Add(path+".name", "customer %q stands twice", v.name)
		}
		if v.rate < 0 || v.burst < 0 {
			ps.Add(path+".rate", "must not be negative")
		}
		c.customers[v.name] = v
		for j, key := range v.keys {
			if owner, twice := c.owners[key]; twice && owner != v.name {
				ps.Add(fmt.Sprintf("%s.keys[%d]", path, j), "key belongs to customer %q already", owner)
			}
			c.owners[key] = v.name
		}
	}
}
