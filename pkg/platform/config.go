package platform

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Centre is a data centre: a zone with its own backend servers.
type Centre struct {
	name, region       string
	outOfService, lost bool
}

// NewCentre returns a data centre. Data centres with the same region name are near
// each other. One that is out of service gets no new work. For one that is lost,
// operators guarantee that nothing runs there at all.
func NewCentre(name, region string, outOfService, lost bool) Centre {
	return Centre{name: name, region: region, outOfService: outOfService, lost: lost}
}

// Name returns the name.
func (c Centre) Name() string { return c.name }

// Region returns the region's name.
func (c Centre) Region() string { return c.region }

// OutOfService reports whether the data centre gets no new work, because
// operators took it out of service or declared it lost.
func (c Centre) OutOfService() bool { return c.outOfService || c.lost }

// Lost reports whether operators guarantee that nothing runs there.
func (c Centre) Lost() bool { return c.lost }

// Backend is a backend server as configured, independent of the process that
// currently runs it. A daemon runs beside each backend server and has its name.
type Backend struct {
	name, service, centre string
	slots                 int
	outOfService          bool
}

// NewBackend returns a backend server of a service in the data centre named centre. It
// processes up to slots requests concurrently, from 1 to 10,000.
func NewBackend(name, service, centre string, slots int, outOfService bool) Backend {
	return Backend{name: name, service: service, centre: centre, slots: slots, outOfService: outOfService}
}

// Name returns the name.
func (b Backend) Name() string { return b.name }

// Service returns the name of the service that the backend server belongs to.
func (b Backend) Service() string { return b.service }

// Centre returns the name of its data centre.
func (b Backend) Centre() string { return b.centre }

// Slots returns the number of requests that it processes concurrently.
func (b Backend) Slots() int { return b.slots }

// OutOfService reports whether operators took the backend server itself out of
// service. See Config.InService for its data centre.
func (b Backend) OutOfService() bool { return b.outOfService }

// Safety states whether requests on a route may be executed more than once.
type Safety uint8

// The kinds of safety.
const (
	// ByMethod derives the safety from the HTTP method; see Route.AtMostOnce.
	ByMethod Safety = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// AtMostOnce requests must not be executed more than once.
	AtMostOnce
)

// Route maps a path prefix to a service.
type Route struct {
	prefix, service        string
	anonymous, requiresKey bool
	safety                 Safety
	timeout                time.Duration
}

// NewRoute returns a route for the paths that begin with the segments of prefix. A
// prefix starts with a slash and, except for "/" itself, does not end with one. An
// anonymous route accepts callers without an API key. One that requires an idempotency
// key rejects at-most-once requests without such a key. A timeout of zero means the
// default.
func NewRoute(prefix, service string, anonymous, requiresKey bool, safety Safety, timeout time.Duration) Route {
	return Route{prefix: prefix, service: service, anonymous: anonymous, requiresKey: requiresKey, safety: safety, timeout: timeout}
}

// Prefix returns the path prefix, which identifies the route.
func (r Route) Prefix() string { return r.prefix }

// Service returns the name of the service.
func (r Route) Service() string { return r.service }

// AllowsAnonymous reports whether callers need no API key.
func (r Route) AllowsAnonymous() bool { return r.anonymous }

// RequiresIdempotencyKey reports whether at-most-once requests must carry an
// idempotency key.
func (r Route) RequiresIdempotencyKey() bool { return r.requiresKey }

// Timeout returns the request timeout, or zero for the default.
func (r Route) Timeout() time.Duration { return r.timeout }

// AtMostOnce reports whether a request with the given HTTP method must not be
// executed more than once. On a ByMethod route, this holds for all methods except
// GET, HEAD, OPTIONS, PUT and DELETE.
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

// Customer is a tenant, with its API keys and its rate limit.
type Customer struct {
	name   string
	keys   []string
	rate   float64
	burst  int
	weight int
}

// NewCustomer returns a customer with the SHA-256 digests of its API keys in lower-case
// hex, its rate limit in requests per second, above 0, its burst in requests, at least
// 1, and its weight. The slice is retained.
func NewCustomer(name string, keys []string, rate float64, burst, weight int) Customer {
	return Customer{name: name, keys: keys, rate: rate, burst: burst, weight: weight}
}

// Name returns the name.
func (c Customer) Name() string { return c.name }

// Rate returns the fleet-wide rate limit in requests per second.
func (c Customer) Rate() float64 { return c.rate }

// Burst returns the fleet-wide burst in requests.
func (c Customer) Burst() int { return c.burst }

// Weight returns the customer's share of a backend server at full load, relative to
// other customers. It is at least 1.
func (c Customer) Weight() int { return max(c.weight, 1) }

// Policy holds the fleet-wide settings of operators. Use NewPolicy to create one.
type Policy struct {
	readUnconfirmed, writeUnconfirmed, retention, distrust time.Duration
}

// The defaults of a policy.
const (
	defaultRetention = time.Hour
	defaultDistrust  = 30 * time.Second
)

// NewPolicy returns a policy. readUnconfirmed and writeUnconfirmed bound the time
// since the last contact with the platform within which requests that may be executed
// more than once, and at-most-once requests, are served; zero means no limit, and
// other values must be at least 30 s. For retention and distrust, see the methods of
// the same names; if one is zero, its default of 1 h or 30 s applies.
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

// AllowsStaleness reports whether a request with an API key may be served, given
// whether it is an at-most-once request, the time since the last contact with the
// platform, directly or through peers, and whether there has been any contact.
func (p Policy) AllowsStaleness(atMostOnce bool, age time.Duration, contacted bool) bool {
	bound := p.readUnconfirmed
	if atMostOnce {
		bound = p.writeUnconfirmed
	}
	return bound == 0 || contacted && age <= bound
}

// Retention returns how long records of idempotency keys are kept.
func (p Policy) Retention() time.Duration { return p.retention }

// Distrust returns how long after its start a daemon abstains on idempotency keys
// that have neither a record nor a creation time, since it may have lost the record.
// See caller.ClaimStore.
func (p Policy) Distrust() time.Duration { return p.distrust }

// Config is the validated content of one version. It is immutable.
type Config struct {
	number    uint64
	policy    Policy
	centres   []Centre
	backends  []Backend
	routes    []Route
	customers []Customer

	centreByName      map[string]Centre
	backendByName     map[string]Backend
	backendsByService map[string][]Backend
	routeByPrefix     map[string]Route
	customerByName    map[string]Customer
	customerByKey     map[string]string

	topology topology
}

// topology holds the names of the backend servers whose daemons may keep records
// and allotments, by data centre. It excludes lost data centres.
type topology struct {
	digest           Digest
	centres          []string
	backendsByCentre map[string][]string
}

// Number returns the version's number, which is at least 1.
func (c *Config) Number() uint64 { return c.number }

// Policy returns the fleet-wide settings.
func (c *Config) Policy() Policy { return c.policy }

// Centres returns the data centres. The caller must not modify the slice.
func (c *Config) Centres() []Centre { return c.centres }

// Backends returns the backend servers. The caller must not modify the slice.
func (c *Config) Backends() []Backend { return c.backends }

// Routes returns the routes. The caller must not modify the slice.
func (c *Config) Routes() []Route { return c.routes }

// Customers returns the customers. The caller must not modify the slice.
func (c *Config) Customers() []Customer { return c.customers }

// TopologyDigest returns a digest that is equal for versions with the same
// topology, so that data derived from the topology alone can be reused.
func (c *Config) TopologyDigest() Digest { return c.topology.digest }

// TopologyCentres returns the sorted names of the data centres that have backend
// servers and are not lost. The caller must not modify the slice.
func (c *Config) TopologyCentres() []string { return c.topology.centres }

// TopologyBackends returns the sorted names of the backend servers of a data
// centre, or nil if it is lost. The caller must not modify the slice.
func (c *Config) TopologyBackends(centre string) []string { return c.topology.backendsByCentre[centre] }

func (c *Config) buildTopology() {
	c.topology.backendsByCentre = make(map[string][]string)
	for _, b := range c.backends {
		if !c.centreByName[b.centre].lost {
			c.topology.backendsByCentre[b.centre] = append(c.topology.backendsByCentre[b.centre], b.name)
		}
	}
	c.topology.centres = slices.Sorted(maps.Keys(c.topology.backendsByCentre))
	h := sha256.New()
	for _, centre := range c.topology.centres {
		names := c.topology.backendsByCentre[centre]
		slices.Sort(names)
		fmt.Fprintf(h, "%q %q\n", centre, names)
	}
	c.topology.digest = Digest(h.Sum(nil))
}

// Centre returns the data centre with the given name.
func (c *Config) Centre(name string) (Centre, bool) {
	v, ok := c.centreByName[name]
	return v, ok
}

// Backend returns the backend server with the given name.
func (c *Config) Backend(name string) (Backend, bool) {
	v, ok := c.backendByName[name]
	return v, ok
}

// BackendsOf returns the backend servers of a service, including those out of
// service. The caller must not modify the slice.
func (c *Config) BackendsOf(service string) []Backend { return c.backendsByService[service] }

// Customer returns the customer with the given name.
func (c *Config) Customer(name string) (Customer, bool) {
	v, ok := c.customerByName[name]
	return v, ok
}

// CustomerByKey returns the customer that owns the API key with the given SHA-256
// digest in lower-case hex.
func (c *Config) CustomerByKey(digest string) (Customer, bool) {
	name, ok := c.customerByKey[digest]
	if !ok {
		return Customer{}, false
	}
	return c.Customer(name)
}

// Route returns the route with the longest prefix of path that ends at a segment
// boundary, or false if there is none. The path must not include a query.
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

// InService reports whether the backend server with the given name exists and may get
// new work: neither it nor its data centre is out of service.
func (c *Config) InService(name string) bool {
	b, ok := c.backendByName[name]
	if !ok || b.outOfService {
		return false
	}
	return !c.centreByName[b.centre].OutOfService()
}
