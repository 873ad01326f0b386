package bundle

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/diff"
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
	return diff.Lines(kind, from, to, name, func(from, to M) (string, bool) { return "", !proto.Equal(from, to) })
}
