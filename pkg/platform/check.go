package platform

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Bounds of a bundle's values.
const (
	maxSlots = 10_000
	maxBurst = 1_000_000
	maxRate  = 10_000_000
	maxName  = 63
	// leastUnconfirmed is the least time without word of the platform that can
	// be told from a healthy fleet's.
	leastUnconfirmed = 30 * time.Second
	// keyDigits is the length of a key's digest in hex.
	keyDigits = 64
)

// The characters of names, and of digests. A daemon checks thousands of names
// with each version, which rules out regular expressions.
const (
	hexDigits  = "0123456789abcdef"
	nameInside = "abcdefghijklmnopqrstuvwxyz0123456789.-"
)

// Builder gathers the content of a version that is not yet checked.
type Builder struct {
	number    uint64
	policy    Policy
	centres   []Centre
	backends  []Backend
	routes    []Route
	customers []Customer
}

// NewBuilder returns an empty draft with a version number.
func NewBuilder(number uint64) *Builder {
	return &Builder{number: number, policy: NewPolicy(0, 0, 0, 0)}
}

// SetPolicy sets the policy.
func (d *Builder) SetPolicy(p Policy) { d.policy = p }

// AddCentre adds a data centre.
func (d *Builder) AddCentre(c Centre) { d.centres = append(d.centres, c) }

// AddBackend adds a backend server.
func (d *Builder) AddBackend(b Backend) { d.backends = append(d.backends, b) }

// AddRoute adds a route.
func (d *Builder) AddRoute(r Route) { d.routes = append(d.routes, r) }

// AddCustomer adds a customer.
func (d *Builder) AddCustomer(c Customer) { d.customers = append(d.customers, c) }

// Build checks the draft and returns it ready for use. The error is of type
// Problems and lists every fault. The verdict depends on the draft alone, so
// all daemons come to the same one.
func (d *Builder) Build() (*Config, error) {
	c := &Config{
		number:         d.number,
		policy:         d.policy,
		centres:        d.centres,
		backends:       d.backends,
		routes:         d.routes,
		customers:      d.customers,
		centreByName:   make(map[string]Centre, len(d.centres)),
		backendByName:  make(map[string]Backend, len(d.backends)),
		byService:      make(map[string][]Backend),
		routeByPrefix:  make(map[string]Route, len(d.routes)),
		customerByName: make(map[string]Customer, len(d.customers)),
		customerByKey:  make(map[string]string),
	}
	var ps Problems
	if d.number == 0 {
		ps.Add("version", "must be at least 1")
	}
	c.checkPolicy(&ps)
	c.checkCentres(&ps)
	c.checkBackends(&ps)
	c.checkRoutes(&ps)
	c.checkCustomers(&ps)
	if len(ps) > 0 {
		return nil, ps
	}
	c.gather()
	return c, nil
}

func (c *Config) checkPolicy(ps *Problems) {
	checkUnconfirmed(ps, "policy.read_unconfirmed", c.policy.readUnconfirmed)
	checkUnconfirmed(ps, "policy.write_unconfirmed", c.policy.writeUnconfirmed)
	if c.policy.retention < 0 {
		ps.Add("policy.retention", "must not be negative")
	}
	if c.policy.distrust < 0 {
		ps.Add("policy.distrust", "must not be negative")
	}
}

// checkUnconfirmed refuses bounds that a healthy fleet would not keep: word of
// the platform takes some seconds to come around.
func checkUnconfirmed(ps *Problems, path string, bound time.Duration) {
	if bound != 0 && bound < leastUnconfirmed {
		ps.Add(path, "must be 0 or at least %s", leastUnconfirmed)
	}
}

func (c *Config) checkCentres(ps *Problems) {
	if len(c.centres) == 0 {
		ps.Add("centres", "names no data centre")
	}
	for i, v := range c.centres {
		path := fmt.Sprintf("centres[%d].name", i)
		checkName(ps, path, v.name)
		if _, twice := c.centreByName[v.name]; twice {
			ps.Add(path, "data centre %q stands twice", v.name)
		}
		c.centreByName[v.name] = v
	}
}

func (c *Config) checkBackends(ps *Problems) {
	for i, v := range c.backends {
		path := fmt.Sprintf("backends[%d]", i)
		checkName(ps, path+".name", v.name)
		checkName(ps, path+".service", v.service)
		if _, twice := c.backendByName[v.name]; twice {
			ps.Add(path+".name", "backend server %q stands twice", v.name)
		}
		if _, ok := c.centreByName[v.centre]; !ok {
			ps.Add(path+".centre", "there is no data centre %q", v.centre)
		}
		if v.slots < 1 || v.slots > maxSlots {
			ps.Add(path+".slots", "must be from 1 to %d", maxSlots)
		}
		c.backendByName[v.name] = v
		c.byService[v.service] = append(c.byService[v.service], v)
	}
}

func (c *Config) checkRoutes(ps *Problems) {
	for i, v := range c.routes {
		path := fmt.Sprintf("routes[%d]", i)
		switch {
		case !strings.HasPrefix(v.prefix, "/"):
			ps.Add(path+".prefix", "must start with a slash")
		case v.prefix != "/" && strings.HasSuffix(v.prefix, "/"):
			ps.Add(path+".prefix", "must not end with a slash")
		}
		if _, twice := c.routeByPrefix[v.prefix]; twice {
			ps.Add(path+".prefix", "route %q stands twice", v.prefix)
		}
		if len(c.byService[v.service]) == 0 {
			ps.Add(path+".service", "no backend server belongs to service %q", v.service)
		}
		if v.timeout < 0 {
			ps.Add(path+".timeout", "must not be negative")
		}
		c.routeByPrefix[v.prefix] = v
	}
}

func (c *Config) checkCustomers(ps *Problems) {
	for i, v := range c.customers {
		path := fmt.Sprintf("customers[%d]", i)
		checkName(ps, path+".name", v.name)
		if _, twice := c.customerByName[v.name]; twice {
			ps.Add(path+".name", "customer %q stands twice", v.name)
		}
		if math.IsNaN(v.rate) || v.rate <= 0 || v.rate > maxRate {
			ps.Add(path+".rate", "must be above 0 and at most %d", maxRate)
		}
		if v.burst < 1 || v.burst > maxBurst {
			ps.Add(path+".burst", "must be from 1 to %d", maxBurst)
		}
		c.customerByName[v.name] = v
		c.checkKeys(ps, path, v)
	}
}

func (c *Config) checkKeys(ps *Problems, path string, v Customer) {
	for j, key := range v.keys {
		at := fmt.Sprintf("%s.keys[%d]", path, j)
		if len(key) != keyDigits || strings.Trim(key, hexDigits) != "" {
			ps.Add(at, "must be a SHA-256 in lower-case hex")
		}
		if owner, twice := c.customerByKey[key]; twice {
			ps.Add(at, "key belongs to customer %q already", owner)
			continue
		}
		c.customerByKey[key] = v.name
	}
}

func isName(name string) bool {
	return name != "" && len(name) <= maxName && strings.Trim(name, nameInside) == "" &&
		!strings.ContainsAny(name[:1]+name[len(name)-1:], ".-")
}

func checkName(ps *Problems, path, name string) {
	if !isName(name) {
		ps.Add(path, "%q is not a name: use 1 to 63 of a-z, 0-9, dot and dash", name)
	}
}
