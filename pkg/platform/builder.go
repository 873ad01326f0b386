package platform

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Bounds of the values in a version.
const (
	maxSlots      = 10_000
	maxBurst      = 1_000_000
	maxRate       = 10_000_000
	maxNameLength = 63
	// minUnconfirmed is the shortest bound on the time since the last contact with
	// the platform that a healthy fleet does not exceed.
	minUnconfirmed = 30 * time.Second
	// keyDigestLength is the length of a key's digest in hex digits.
	keyDigestLength = 64
)

// The characters of digests and of names. A daemon checks thousands of names for
// each version, for which regular expressions are too slow.
const (
	hexDigits = "0123456789abcdef"
	nameChars = "abcdefghijklmnopqrstuvwxyz0123456789.-"
)

// Builder collects the content of a version before validation. It is not safe for
// concurrent use. Use NewBuilder to create one.
type Builder struct {
	number    uint64
	policy    Policy
	centres   []Centre
	backends  []Backend
	routes    []Route
	customers []Customer
}

// NewBuilder returns an empty builder for a version number, which must be at least 1.
// Without SetPolicy, the default policy applies.
func NewBuilder(number uint64) *Builder {
	return &Builder{number: number, policy: NewPolicy(0, 0, 0, 0)}
}

// SetPolicy sets the policy.
func (b *Builder) SetPolicy(p Policy) { b.policy = p }

// AddCentre adds a data centre.
func (b *Builder) AddCentre(c Centre) { b.centres = append(b.centres, c) }

// AddBackend adds a backend server.
func (b *Builder) AddBackend(v Backend) { b.backends = append(b.backends, v) }

// AddRoute adds a route.
func (b *Builder) AddRoute(r Route) { b.routes = append(b.routes, r) }

// AddCustomer adds a customer.
func (b *Builder) AddCustomer(c Customer) { b.customers = append(b.customers, c) }

// Build validates the content and returns the configuration. The error is of
// type Problems and lists all validation errors, in the order of the fields. The
// result depends on the content alone, so all daemons accept or reject the same
// versions. The builder must not be used afterwards, since the configuration retains
// its content.
func (b *Builder) Build() (*Config, error) {
	c := &Config{
		number:            b.number,
		policy:            b.policy,
		centres:           b.centres,
		backends:          b.backends,
		routes:            b.routes,
		customers:         b.customers,
		centreByName:      make(map[string]Centre, len(b.centres)),
		backendByName:     make(map[string]Backend, len(b.backends)),
		backendsByService: make(map[string][]Backend),
		routeByPrefix:     make(map[string]Route, len(b.routes)),
		customerByName:    make(map[string]Customer, len(b.customers)),
		customerByKey:     make(map[string]string),
	}
	var ps Problems
	if b.number == 0 {
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
	c.buildTopology()
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

// checkUnconfirmed rejects bounds that a healthy fleet would exceed: the time of the
// last contact with the platform takes some seconds to reach all daemons.
func checkUnconfirmed(ps *Problems, path string, bound time.Duration) {
	if bound != 0 && bound < minUnconfirmed {
		ps.Add(path, "must be 0 or at least %s", minUnconfirmed)
	}
}

func (c *Config) checkCentres(ps *Problems) {
	if len(c.centres) == 0 {
		ps.Add("centres", "must contain at least one data centre")
	}
	for i, v := range c.centres {
		path := fmt.Sprintf("centres[%d].name", i)
		checkName(ps, path, v.name)
		if _, exists := c.centreByName[v.name]; exists {
			ps.Add(path, "data centre %q is defined more than once", v.name)
		}
		c.centreByName[v.name] = v
	}
}

func (c *Config) checkBackends(ps *Problems) {
	for i, v := range c.backends {
		path := fmt.Sprintf("backends[%d]", i)
		checkName(ps, path+".name", v.name)
		checkName(ps, path+".service", v.service)
		if _, exists := c.backendByName[v.name]; exists {
			ps.Add(path+".name", "backend server %q is defined more than once", v.name)
		}
		if _, ok := c.centreByName[v.centre]; !ok {
			ps.Add(path+".centre", "there is no data centre %q", v.centre)
		}
		if v.slots < 1 || v.slots > maxSlots {
			ps.Add(path+".slots", "must be from 1 to %d", maxSlots)
		}
		c.backendByName[v.name] = v
		c.backendsByService[v.service] = append(c.backendsByService[v.service], v)
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
		if _, exists := c.routeByPrefix[v.prefix]; exists {
			ps.Add(path+".prefix", "route %q is defined more than once", v.prefix)
		}
		if len(c.backendsByService[v.service]) == 0 {
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
		if _, exists := c.customerByName[v.name]; exists {
			ps.Add(path+".name", "customer %q is defined more than once", v.name)
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
		keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
		if len(key) != keyDigestLength || strings.Trim(key, hexDigits) != "" {
			ps.Add(keyPath, "must be a SHA-256 in lower-case hex")
		}
		if owner, exists := c.customerByKey[key]; exists {
			ps.Add(keyPath, "key already belongs to customer %q", owner)
			continue
		}
		c.customerByKey[key] = v.name
	}
}

func isName(name string) bool {
	return name != "" && len(name) <= maxNameLength && strings.Trim(name, nameChars) == "" &&
		!strings.ContainsAny(name[:1]+name[len(name)-1:], ".-")
}

func checkName(ps *Problems, path, name string) {
	if !isName(name) {
		ps.Add(path, "%q is not a name: use 1 to 63 of a-z, 0-9, dot and dash", name)
	}
}
