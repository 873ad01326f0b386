package bundle

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Diff lists the differences between two bundles, one line per entry. A line
// starts with + for an added, - for a removed and ~ for a changed entry.
func Diff(from, to *schema.Bundle) []string {
	var lines []string
	if from.GetVersion() != to.GetVersion() {
		lines = append(lines, fmt.Sprintf("~ version %d -> %d", from.GetVersion(), to.GetVersion()))
	}
	if !proto.Equal(from.GetPolicy(), to.GetPolicy()) {
		lines = append(lines, "~ policy")
	}
	lines = append(lines, diffEntries("centre", from.GetCentres(), to.GetCentres(), (*schema.DataCentre).GetName)...)
	lines = append(lines, diffEntries("backend", from.GetBackends(), to.GetBackends(), (*schema.Backend).GetName)...)
	lines = append(lines, diffEntries("route", from.GetRoutes(), to.GetRoutes(), (*schema.Route).GetPrefix)...)
	lines = append(lines, diffEntries("customer", from.GetCustomers(), to.GetCustomers(), (*schema.Customer).GetName)...)
	return lines
}

func diffEntries[M proto.Message](kind string, from, to []M, name func(M) string) []string {
	oldEntries := indexByName(from, name)
	newEntries := indexByName(to, name)
	all := maps.Clone(oldEntries)
	maps.Copy(all, newEntries)
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(all)) {
		oldEntry, inOld := oldEntries[key]
		newEntry, inNew := newEntries[key]
		switch {
		case !inOld:
			lines = append(lines, fmt.Sprintf("+ %s %s", kind, key))
		case !inNew:
			lines = append(lines, fmt.Sprintf("- %s %s", kind, key))
		case !proto.Equal(oldEntry, newEntry):
			lines = append(lines, fmt.Sprintf("~ %s %s", kind, key))
		}
	}
	return lines
}

func indexByName[M proto.Message](entries []M, name func(M) string) map[string]M {
	index := make(map[string]M, len(entries))
	for _, m := range entries {
		index[name(m)] = m
	}
	return index
}
