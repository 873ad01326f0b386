package operator

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lycheehead/lycheehead/pkg/customer"
)

// Position is where an entry begins in the file that it was read from.
type Position struct {
	line, column int
}

// NewPosition returns a position. Lines and columns are counted from 1.
func NewPosition(line, column int) Position { return Position{line: line, column: column} }

// Line returns the line.
func (p Position) Line() int { return p.line }

// Column returns the column.
func (p Position) Column() int { return p.column }

// String returns line and column, separated by a colon.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.line, p.column) }

// Severity states what a finding means for the version.
type Severity uint8

// The severities.
const (
	// Error findings make daemons reject the version.
	Error Severity = iota
	// Warning findings are in versions that daemons accept, but a part of which has no
	// effect or contradicts another part.
	Warning
)

// String returns the severity in lower case.
func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// Finding is one result of a check of a version.
type Finding struct {
	position Position
	severity Severity
	text     string
}

// Position returns where the entry begins.
func (f Finding) Position() Position { return f.position }

// Severity returns the severity.
func (f Finding) Severity() Severity { return f.severity }

// Text describes the finding. It contains no API keys.
func (f Finding) Text() string { return f.text }

// String returns the finding as LINE:COLUMN: SEVERITY: TEXT.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.position, f.severity, f.text) }

// entry is a part of a version with its position.
type entry[T any] struct {
	value    T
	position Position
}

// Draft is the content of a version that has not been published, with the position of each
// entry. It addresses versions that daemons reject as a whole, so that a fleet stays at the
// version before, and versions that daemons accept although a part of them has no effect: a
// route, key or limit that its operators believe to be in force is not. Unlike a Builder, a
// Draft keeps entries in their order, also those that another one replaces. It is not safe for
// concurrent use. Use NewDraft to create one.
type Draft struct {
	version   entry[uint64]
	routes    []entry[Route]
	services  []entry[Service]
	customers []entry[Customer]
	limits    []entry[Limits]
	findings  []Finding
	// incomplete is whether an entry could not be decoded.
	incomplete bool
	// quota is the bound of customers' limits, which are split over centres data centres, or
	// nil if unknown.
	quota   *customer.RateBound
	centres int
	// openBytes and keyedBytes are the largest headers of requests for routes that accept
	// anonymous callers and for others, without the API key, and keyBytes the largest header
	// field with an API key.
	openBytes, keyedBytes, keyBytes int
}

// NewDraft returns an empty draft for a version number.
func NewDraft(version uint64, at Position) *Draft {
	return &Draft{version: entry[uint64]{value: version, position: at}}
}

// Version returns the version number.
func (d *Draft) Version() uint64 { return d.version.value }

// RouteCount returns the number of routes.
func (d *Draft) RouteCount() int { return len(d.routes) }

// ServiceCount returns the number of services.
func (d *Draft) ServiceCount() int { return len(d.services) }

// CustomerCount returns the number of customers.
func (d *Draft) CustomerCount() int { return len(d.customers) }

// AddRoute adds a route. headerBytes is the size of the smallest header of a request for it,
// without an API key.
func (d *Draft) AddRoute(at Position, r Route, headerBytes int) {
	d.routes = append(d.routes, entry[Route]{value: r, position: at})
	if r.anonymous {
		d.openBytes = max(d.openBytes, headerBytes)
	} else {
		d.keyedBytes = max(d.keyedBytes, headerBytes)
	}
}

// AddService adds a service.
func (d *Draft) AddService(at Position, s Service) {
	d.services = append(d.services, entry[Service]{value: s, position: at})
}

// AddCustomer adds a customer. headerBytes is the size of the header field with the longest of
// its API keys.
func (d *Draft) AddCustomer(at Position, c Customer, headerBytes int) {
	d.customers = append(d.customers, entry[Customer]{value: c, position: at})
	d.keyBytes = max(d.keyBytes, headerBytes)
}

// SetLimits sets the limits on callers' requests. The last ones apply.
func (d *Draft) SetLimits(at Position, l Limits) {
	d.limits = append(d.limits, entry[Limits]{value: l, position: at})
}

// SetQuota sets the bound that daemons enforce for each customer and the number of data centres
// over which they split it. Without it, Check does not examine what is left of a limit there.
func (d *Draft) SetQuota(b customer.RateBound, centres int) { d.quota, d.centres = &b, centres }

// AddError records that an entry could not be decoded.
func (d *Draft) AddError(at Position, format string, args ...any) {
	d.incomplete = true
	d.add(Error, at, format, args...)
}

// AddWarning records an entry that was decoded, but has no effect.
func (d *Draft) AddWarning(at Position, format string, args ...any) {
	d.add(Warning, at, format, args...)
}

func (d *Draft) add(s Severity, at Position, format string, args ...any) {
	d.findings = append(d.findings, Finding{position: at, severity: s, text: fmt.Sprintf(format, args...)})
}

// Check returns the errors for which Build would reject the version, and warnings, in the order
// of their positions.
func (d *Draft) Check() []Finding {
	decoded := slices.Clone(d.findings)
	d.checkBuild()
	d.checkRoutes()
	d.checkServices()
	d.checkCustomers()
	d.checkLimits()
	found := d.findings
	d.findings = decoded
	slices.SortStableFunc(found, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.position.line, b.position.line), cmp.Compare(a.position.column, b.position.column))
	})
	return found
}

// checkBuild reports what Build rejects.
func (d *Draft) checkBuild() {
	b := NewBuilder(d.version.value)
	// origins holds the label and the position of each entry by the path that Build reports.
	origins := make(map[string]entry[string])
	for i, r := range d.routes {
		b.AddRoute(r.value)
		origins[elementPath("routes", i)("")] = entry[string]{value: routeLabel(r.value), position: r.position}
	}
	for i, s := range d.services {
		b.AddService(s.value)
		origins[elementPath("services", i)("")] = entry[string]{value: serviceLabel(s.value), position: s.position}
	}
	for i, c := range d.customers {
		b.AddCustomer(c.value)
		origins[elementPath("customers", i)("")] = entry[string]{value: customerLabel(c.value), position: c.position}
	}
	if len(d.limits) > 0 {
		last := d.limits[len(d.limits)-1]
		b.SetLimits(last.value)
		origins["limits"] = entry[string]{value: "limits", position: last.position}
	}
	_, err := b.Build()
	var ps Problems
	if !errors.As(err, &ps) {
		return
	}
	for _, p := range ps {
		element, field, _ := strings.Cut(p.path, ".")
		if origin, ok := origins[element]; ok {
			d.add(Error, origin.position, "%s: %s: %s", origin.value, field, p.text)
			continue
		}
		d.add(Error, d.version.position, "%s: %s", p.path, p.text)
	}
}

func routeLabel(r Route) string       { return fmt.Sprintf("route %q", r.name) }
func serviceLabel(s Service) string   { return fmt.Sprintf("service %q", s.name) }
func customerLabel(c Customer) string { return fmt.Sprintf("customer %q", c.name) }

// pathBytes are the bytes other than letters and digits that the path of a request may contain.
// Clients encode all others. hostBytes are those in the host of a request; daemons reject others.
// They accept an asterisk, but no host has one, and it does not match other hosts.
const (
	pathBytes = "/%-_.~!$&'()*+,;=:@[]"
	hostBytes = "%-_.~!$&'()+,;=:[]"
)

// never returns a function that reports whether a character is neither a letter or digit of ASCII
// nor among others.
func never(others string) func(c rune) bool {
	return func(c rune) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && !strings.ContainsRune(others, c)
	}
}

// malformedEscape returns the index of the first percent sign that two hexadecimal digits do not
// follow, or -1. Daemons reject requests with one.
func malformedEscape(path string) int {
	for i := range len(path) {
		if path[i] != '%' {
			continue
		}
		if _, err := hex.DecodeString(path[i+1 : min(i+3, len(path))]); err != nil || i+3 > len(path) {
			return i
		}
	}
	return -1
}

func (d *Draft) checkRoutes() {
	for _, e := range d.routes {
		r, label := e.value, routeLabel(e.value)
		switch {
		case r.host == "":
			d.add(Warning, e.position, "%s never matches: the host is empty", label)
		case strings.IndexFunc(r.host, never(hostBytes)) >= 0:
			d.add(Warning, e.position, "%s never matches: no request has the character at byte %d of host %q", label, strings.IndexFunc(r.host, never(hostBytes))+1, r.host)
		case matchedHost(r.host) != r.host:
			d.add(Warning, e.position, "%s never matches: hosts are compared without a port, and %q has one", label, r.host)
		}
		if i := strings.IndexFunc(r.prefix, never(pathBytes)); i >= 0 {
			d.add(Warning, e.position, "%s never matches: no path contains the character at byte %d of prefix %q", label, i+1, r.prefix)
		} else if i := malformedEscape(r.prefix); i >= 0 {
			d.add(Warning, e.position, "%s never matches: prefix %q has a malformed escape at byte %d", label, r.prefix, i+1)
		}
		d.checkWeights(e)
		if r.timeout > 0 && r.timeout < r.latencyObjective {
			d.add(Warning, e.position, "%s: timeout %s is shorter than the latency objective %s", label, r.timeout, r.latencyObjective)
		}
		if r.maxAttempts < 1 {
			d.add(Warning, e.position, "%s: max attempts %d is taken as 1", label, r.maxAttempts)
		}
	}
}

// checkWeights reports targets that are never chosen. Build reports routes without any other.
func (d *Draft) checkWeights(e entry[Route]) {
	if !slices.ContainsFunc(e.value.targets, func(t Target) bool { return t.weight > 0 }) {
		return
	}
	for _, t := range e.value.targets {
		if t.weight == 0 {
			d.add(Warning, e.position, "%s never chooses service %q: its weight is 0", routeLabel(e.value), t.service)
		}
	}
}

func (d *Draft) checkServices() {
	used := make(map[string]bool)
	for _, e := range d.routes {
		for _, t := range e.value.targets {
			used[t.service] = true
		}
	}
	for _, e := range d.services {
		s, label := e.value, serviceLabel(e.value)
		// A route that could not be decoded may use the service.
		if !used[s.name] && !d.incomplete {
			d.add(Warning, e.position, "%s gets no requests: no route uses it", label)
		}
		switch {
		case s.warmupDuration > 0 && s.warmupRate == 0:
			d.add(Warning, e.position, "%s: warm-up of %s has no rate, so requests are not limited", label, s.warmupDuration)
		case s.warmupDuration == 0 && s.warmupRate > 0:
			d.add(Warning, e.position, "%s: warm-up rate of %g/s has no duration, so it never applies", label, s.warmupRate)
		}
		if s.healthPath != "" && !strings.HasPrefix(s.healthPath, "/") {
			d.add(Warning, e.position, "%s: health path %q does not begin with a slash", label, s.healthPath)
		}
		if s.maxConnections < 0 {
			d.add(Warning, e.position, "%s: max connections %d is negative", label, s.maxConnections)
		}
	}
}

func (d *Draft) checkCustomers() {
	empty := DigestKey("")
	for _, e := range d.customers {
		c, label := e.value, customerLabel(e.value)
		if len(c.keys) == 0 {
			d.add(Warning, e.position, "%s never matches: it has no API key", label)
		}
		for i, key := range c.keys {
			if key == empty {
				d.add(Warning, e.position, "%s: keys[%d] never matches: it is empty", label, i)
			}
			if first := slices.Index(c.keys, key); first < i {
				d.add(Warning, e.position, "%s: keys[%d] is the same as keys[%d]", label, i, first)
			}
		}
		switch {
		case c.rate > 0 && c.burst >= 0 && c.burst < 1:
			d.add(Warning, e.position, "%s: burst %g is below one request, with a rate of %g/s", label, c.burst, c.rate)
		case c.rate == 0 && c.burst > 0:
			d.add(Warning, e.position, "%s: burst %g has no rate, so requests are not limited", label, c.burst)
		}
		d.checkQuota(e)
	}
}

// checkQuota reports a limit that daemons do not enforce, and one of which no part has room for a
// whole request, so that requests are refused although the customer does not exceed it.
func (d *Draft) checkQuota(e entry[Customer]) {
	c, label := e.value, customerLabel(e.value)
	if d.quota == nil || c.rate <= 0 || c.burst < 0 {
		return
	}
	if d.quota.Unlimited() {
		d.add(Warning, e.position, "%s: rate %g/s is not enforced: the settings have no quota window", label, c.rate)
		return
	}
	limit := fmt.Sprintf("%s: rate %g/s with burst %g", label, c.rate, c.burst)
	switch least, most := d.quota.Room(customer.NewLimit(c.name, c.rate, c.burst, d.centres)); {
	case most < 1:
		d.add(Warning, e.position, "%s is never handed out: with %d data centres, its largest part has room for %.2f requests", limit, d.centres, most)
	case least < 1:
		d.add(Warning, e.position, "%s is not handed out under load: with %d data centres, its largest part then has room for %.2f requests", limit, d.centres, least)
	}
}

func (d *Draft) checkLimits() {
	for i, e := range d.limits {
		if i < len(d.limits)-1 {
			d.add(Warning, e.position, "limits never apply: those at %s replace them", d.limits[len(d.limits)-1].position)
			continue
		}
		l := e.value
		need := d.openBytes
		if d.keyedBytes > 0 {
			need = max(need, d.keyedBytes+d.keyBytes)
		}
		if l.maxHeaderBytes > 0 && l.maxHeaderBytes < int64(need) {
			d.add(Warning, e.position, "limits: header bytes %d are fewer than the %d that a request needs for host and API key", l.maxHeaderBytes, need)
		}
	}
}
