package platform

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Centre is a data centre, a zone with its own backend servers.
type Centre struct {
	name, region string
	out, lost    bool
}

// NewCentre returns a data centre. One that is out gets no new work; one that
// is lost is vouched by operators to run nothing at all.
func NewCentre(name, region string, out, lost bool) Centre {
	return Centre{name: name, region: region, out: out, lost: lost}
}

// Name returns the name.
func (c Centre) Name() string { return c.name }

// Region returns the region's name.
func (c Centre) Region() string { return c.region }

// OutOfService says whether operators took the data centre out of service.
func (c Centre) OutOfService() bool { return c.out || c.lost }

// Lost says whether operators vouch that nothing runs there.
func (c Centre) Lost() bool { return c.lost }

// Backend is one backend server's slot.
type Backend struct {
	name, service, centre string
	slots                 int
	out                   bool
}

// NewBackend returns the slot of a backend server that runs slots requests at
// once.
func NewBackend(name, service, centre string, slots int, out bool) Backend {
	return Backend{name: name, service: service, centre: centre, slots: slots, out: out}
}

// Name returns the name.
func (b Backend) Name() string { return b.name }

// Service returns the name of the service that the backend server belongs to.
func (b Backend) Service() string { return b.service }

// Centre returns the name of its data centre.
func (b Backend) Centre() string { return b.centre }

// Slots returns how many requests it runs at once.
func (b Backend) Slots() int { return b.slots }

// OutOfService says whether operators took it out of service.
func (b Backend) OutOfService() bool { return b.out }

// Safety says whether requests on a route may run more than once.
type Safety uint8

// The kinds of safety.
const (
	// ByMethod goes by the HTTP method.
	ByMethod Safety = iota
	// Idempotent requests may run again.
	Idempotent
	// AtMostOnce is for requests that run at most once.
	AtMostOnce
)

// Route sends a path prefix to a service.
type Route struct {
	prefix, service string
	open, keyed     bool
	safety          Safety
	timeout         time.Duration
}

// NewRoute returns a route. An open route lets callers in without a key; a
// keyed one refuses requests that run once and name no idempotency key.
func NewRoute(prefix, service string, open, keyed bool, safety Safety, timeout time.Duration) Route {
	return Route{prefix: prefix, service: service, open: open, keyed: keyed, safety: safety, timeout: timeout}
}

// Prefix returns the path prefix, which is the route's name.
func (r Route) Prefix() string { return r.prefix }

// Service returns the name of the service.
func (r Route) Service() string { return r.service }

// AllowsAnonymous says whether callers need no key.
func (r Route) AllowsAnonymous() bool { return r.open }

// RequiresIdempotencyKey says whether requests that run once must name an idempotency key.
func (r Route) RequiresIdempotencyKey() bool { return r.keyed }

// Timeout returns the longest time a request may take, zero for the default.
func (r Route) Timeout() time.Duration { return r.timeout }

// AtMostOnce says whether a request with the method runs at most once.
func (r Route) AtMostOnce(method string) bool {
	switch r.safety {
	case Idempotent:
		return false
	case AtMostOnce:
		return true
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return false
	}
	return true
}

// Customer is a tenant.
type Customer struct {
	name   string
	keys   []string
	rate   float64
	burst  int
	weight int
}

// NewCustomer returns a tenant with the digests of its keys, its rate in
// requests per second, its burst in requests and its weight.
func NewCustomer(name string, keys []string, rate float64, burst, weight int) Customer {
	return Customer{name: name, keys: keys, rate: rate, burst: burst, weight: weight}
}

// Name returns the name.
func (c Customer) Name() string { return c.name }

// Rate returns the rate in requests per second over the whole fleet.
func (c Customer) Rate() float64 { return c.rate }

// Burst returns the burst in requests over the whole fleet.
func (c Customer) Burst() int { return c.burst }

// Weight returns the share where backend servers are scarce, at least one.
func (c Customer) Weight() int { return max(c.weight, 1) }

// Policy holds what operators choose for the whole fleet.
type Policy struct {
	readUnconfirmed, writeUnconfirmed, retention, distrust time.Duration
}

// The defaults of a policy.
const (
	defaultRetention = time.Hour
	defaultDistrust  = 30 * time.Second
)

// NewPolicy returns a policy; zero retention and distrust take the defaults.
func NewPolicy(readUnconfirmed, writeUnconfirmed, retention, distrust time.Duration) Policy {
	if retention == 0 {
		retention = defaultRetention
	}
	if distrust == 0 {
		distrust = defaultDistrust
	}
	return Policy{
		readUnconfirmed:  readUnconfirmed,
		writeUnconfirmed: writeUnconfirmed,
		retention:        retention,
		distrust:         distrust,
	}
}

// AllowsStaleness says whether a request with a key may be served, given how long ago
// the platform was last heard, by way of anyone, and whether it ever was. A
// bound of zero is without end.
func (p Policy) AllowsStaleness(once bool, age time.Duration, ever bool) bool {
	bound := p.readUnconfirmed
	if once {
		bound = p.writeUnconfirmed
	}
	return bound == 0 || ever && age <= bound
}

// Retention returns how long idempotency keys are remembered.
func (p Policy) Retention() time.Duration { return p.retention }

// Distrust returns how long after its start a daemon does not vouch that it
// has never seen an idempotency key.
func (p Policy) Distrust() time.Duration { return p.distrust }

// Config is the checked content of one version. It does not change once made.
type Config struct {
	number    uint64
	policy    Policy
	centres   []Centre
	backends  []Backend
	routes    []Route
	customers []Customer

	centreByName   map[string]Centre
	backendByName  map[string]Backend
	byService      map[string][]Backend
	routeByPrefix  map[string]Route
	customerByName map[string]Customer
	customerByKey  map[string]string

	slots slots
}

// slots are the names of the slots that may keep records and allotments, by data
// centre: all but those of data centres that are lost.
type slots struct {
	digest   Digest
	centres  []string
	byCentre map[string][]string
}

// Number returns the version's number.
func (c *Config) Number() uint64 { return c.number }

// Policy returns what operators chose for the whole fleet.
func (c *Config) Policy() Policy { return c.policy }

// Centres returns the data centres. The slice is not to be changed.
func (c *Config) Centres() []Centre { return c.centres }

// Backends returns the backend servers. The slice is not to be changed.
func (c *Config) Backends() []Backend { return c.backends }

// Routes returns the routes. The slice is not to be changed.
func (c *Config) Routes() []Route { return c.routes }

// Customers returns the customers. The slice is not to be changed.
func (c *Config) Customers() []Customer { return c.customers }

// TopologyDigest returns a digest that is the same for versions with the same slots
// in the same data centres, so that what follows from them alone can be kept.
func (c *Config) TopologyDigest() Digest { return c.slots.digest }

// TopologyCentres returns the names of the data centres that have slots and are not
// lost. The slice is not to be changed.
func (c *Config) TopologyCentres() []string { return c.slots.centres }

// TopologyBackends returns the names of the slots of a data centre that is not lost. The
// slice is not to be changed.
func (c *Config) TopologyBackends(centre string) []string { return c.slots.byCentre[centre] }

// gather works out the slots.
func (c *Config) gather() {
	c.slots.byCentre = make(map[string][]string)
	for _, b := range c.backends {
		if !c.centreByName[b.centre].lost {
			c.slots.byCentre[b.centre] = append(c.slots.byCentre[b.centre], b.name)
		}
	}
	c.slots.centres = slices.Sorted(maps.Keys(c.slots.byCentre))
	h := sha256.New()
	for _, centre := range c.slots.centres {
		names := c.slots.byCentre[centre]
		slices.Sort(names)
		fmt.Fprintf(h, "%q %q\n", centre, names)
	}
	c.slots.digest = Digest(h.Sum(nil))
}

// Centre returns the data centre of the given name.
func (c *Config) Centre(name string) (Centre, bool) {
	v, ok := c.centreByName[name]
	return v, ok
}

// Backend returns the backend server of the given name.
func (c *Config) Backend(name string) (Backend, bool) {
	v, ok := c.backendByName[name]
	return v, ok
}

// BackendsOf returns the backend servers of a service, those out of service
// included. The slice is not to be changed.
func (c *Config) BackendsOf(service string) []Backend { return c.byService[service] }

// Customer returns the customer of the given name.
func (c *Config) Customer(name string) (Customer, bool) {
	v, ok := c.customerByName[name]
	return v, ok
}

// CustomerByKey returns the customer whose key has the digest, in lower-case hex.
func (c *Config) CustomerByKey(digest string) (Customer, bool) {
	name, ok := c.customerByKey[digest]
	if !ok {
		return Customer{}, false
	}
	return c.Customer(name)
}

// Route returns the route with the longest prefix of path, by whole segments.
func (c *Config) Route(path string) (Route, bool) {
	for {
		if r, ok := c.routeByPrefix[path]; ok {
			return r, true
		}
		i := strings.LastIndexByte(path, '/')
		switch {
		case i > 0:
			path = path[:i]
		case path != "/" && path != "":
			path = "/"
		default:
			return Route{}, false
		}
	}
}

// InService says whether a backend server may get new work.
func (c *Config) InService(name string) bool {
	b, ok := c.backendByName[name]
	if !ok || b.out {
		return false
	}
	return !c.centreByName[b.centre].OutOfService()
}
