package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lycheehead/lycheehead/pkg/diff"
)

// Diff lists the differences from another version, one line per entry. A line starts with + for
// an added, - for a removed, and ~ for a changed entry with its fields, and with ! for a version
// number for which daemons keep the other version. Entries are compared by name. Two drafts
// with the same number and content have no differences. API keys are counted, not printed.
func (d *Draft) Diff(from *Draft) []string {
	lines := diffEntries("route", from.routes, d.routes, routeName, routeFields)
	lines = append(lines, diffEntries("service", from.services, d.services, Service.Name, serviceFields)...)
	lines = append(lines, diffEntries("customer", from.customers, d.customers, Customer.Name, customerFields)...)
	if changes := changedFields(from.effectiveLimits(), d.effectiveLimits(), limitsFields); changes != "" {
		lines = append(lines, "~ limits: "+changes)
	}
	before, after := from.Version(), d.Version()
	switch {
	case after > before:
		return slices.Insert(lines, 0, fmt.Sprintf("~ version %d -> %d", before, after))
	case after < before || len(lines) > 0:
		return slices.Insert(lines, 0, fmt.Sprintf("! version %d is not higher than %d, so daemons keep the latter", after, before))
	}
	return lines
}

// effectiveLimits returns the limits that apply.
func (d *Draft) effectiveLimits() Limits {
	if len(d.limits) == 0 {
		return Limits{}
	}
	return d.limits[len(d.limits)-1].value
}

// routeName returns the name of a route, or its host and prefix if it has none.
func routeName(r Route) string {
	if r.name == "" {
		return r.host + r.prefix
	}
	return r.name
}

// fieldDiff describes how a field of two entries differs, or returns an empty string.
type fieldDiff[T any] func(from, to T) string

// newFieldDiff returns a fieldDiff for a field with a value that may be printed.
func newFieldDiff[T any, V comparable](name string, value func(T) V) fieldDiff[T] {
	return func(from, to T) string {
		before, after := value(from), value(to)
		if before == after {
			return ""
		}
		return fmt.Sprintf("%s %v -> %v", name, before, after)
	}
}

var (
	routeFields = []fieldDiff[Route]{
		newFieldDiff("host", Route.Host),
		newFieldDiff("prefix", Route.Prefix),
		newFieldDiff("kind", Route.Kind),
		newFieldDiff("services", targetsText),
		newFieldDiff("timeout", Route.Timeout),
		newFieldDiff("latency objective", Route.LatencyObjective),
		newFieldDiff("max attempts", Route.MaxAttempts),
		newFieldDiff("priority", Route.Priority),
		newFieldDiff("anonymous access", Route.AllowsAnonymous),
	}
	serviceFields = []fieldDiff[Service]{
		newFieldDiff("health path", Service.HealthPath),
		newFieldDiff("max connections", Service.MaxConnections),
		newFieldDiff("warm-up duration", Service.WarmupDuration),
		newFieldDiff("warm-up rate", Service.WarmupRate),
	}
	customerFields = []fieldDiff[Customer]{
		newFieldDiff("priority", Customer.Priority),
		newFieldDiff("rate", Customer.Rate),
		newFieldDiff("burst", Customer.Burst),
		diffKeys,
	}
	limitsFields = []fieldDiff[Limits]{
		newFieldDiff("header bytes", Limits.MaxHeaderBytes),
		newFieldDiff("body bytes", Limits.MaxBodyBytes),
		newFieldDiff("header timeout", Limits.HeaderTimeout),
		newFieldDiff("idle timeout", Limits.IdleTimeout),
	}
)

// targetsText returns the services of a route with their weights, as in a*9 b*1.
func targetsText(r Route) string {
	if len(r.targets) == 1 {
		return r.targets[0].service
	}
	texts := make([]string, len(r.targets))
	for i, t := range r.targets {
		texts[i] = fmt.Sprintf("%s*%g", t.service, t.weight)
	}
	return strings.Join(texts, " ")
}

// diffKeys counts the API keys that differ.
func diffKeys(from, to Customer) string {
	added, removed := countMissing(to.keys, from.keys), countMissing(from.keys, to.keys)
	if added == 0 && removed == 0 {
		return ""
	}
	return fmt.Sprintf("keys: %d added, %d removed", added, removed)
}

// countMissing returns how many different keys are not in a list.
func countMissing(keys, list []KeyDigest) int {
	missing := make(map[KeyDigest]bool)
	for _, key := range keys {
		if !slices.Contains(list, key) {
			missing[key] = true
		}
	}
	return len(missing)
}

func diffEntries[T any](kind string, from, to []entry[T], name func(T) string, fields []fieldDiff[T]) []string {
	return diff.Lines(kind, from, to,
		func(e entry[T]) string { return name(e.value) },
		func(from, to entry[T]) (string, bool) {
			changes := changedFields(from.value, to.value, fields)
			return changes, changes != ""
		})
}

// changedFields describes the fields that differ, separated by commas.
func changedFields[T any](from, to T, fields []fieldDiff[T]) string {
	var changes []string
	for _, f := range fields {
		if text := f(from, to); text != "" {
			changes = append(changes, text)
		}
	}
	return strings.Join(changes, ", ")
}
