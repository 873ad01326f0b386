package bundle

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Diff lists what differs from one bundle to the next, a line an entry: a plus
// for a new one, a minus for a removed one, a tilde for a changed one.
func Diff(from, to *schema.Bundle) []string {
	var lines []string
	if from.GetVersion() != to.GetVersion() {
		lines = append(lines, fmt.Sprintf("~ version %d -> %d", from.GetVersion(), to.GetVersion()))
	}
	if !proto.Equal(from.GetPolicy(), to.GetPolicy()) {
		lines = append(lines, "~ policy")
	}
	lines = append(lines, diff("centre", from.GetCentres(), to.GetCentres(), (*schema.DataCentre).GetName)...)
	lines = append(lines, diff("backend", from.GetBackends(), to.GetBackends(), (*schema.Backend).GetName)...)
	lines = append(lines, diff("route", from.GetRoutes(), to.GetRoutes(), (*schema.Route).GetPrefix)...)
	lines = append(lines, diff("customer", from.GetCustomers(), to.GetCustomers(), (*schema.Customer).GetName)...)
	return lines
}

func diff[M proto.Message](kind string, from, to []M, name func(M) string) []string {
	before := byName(from, name)
	after := byName(to, name)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(all)) {
		old, had := before[key]
		now, has := after[key]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s %s", kind, key))
		case !has:
			lines = append(lines, fmt.Sprintf("- %s %s", kind, key))
		case !proto.Equal(old, now):
			lines = append(lines, fmt.Sprintf("~ %s %s", kind, key))
		}
	}
	return lines
}

func byName[M proto.Message](list []M, name func(M) string) map[string]M {
	out := make(map[string]M, len(list))
	for _, m := range list {
		out[name(m)] = m
	}
	return out
}
