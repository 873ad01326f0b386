package emulate_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/emulate"
)

// TestShort simulates half a second of a fleet, short enough for the lock order check.
func TestShort(t *testing.T) { runPlans(t, "testdata/short") }

// runPlans runs the plans of a script and prints the scores.
func runPlans(t *testing.T, script string) {
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		text, err := os.ReadFile("testdata/" + d.CmdArgs[0].Key + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		p, err := emulate.ReadPlan(d.CmdArgs[0].Key, append(text, "\n"+d.Input...))
		if err != nil {
			t.Fatal(err)
		}
		scores := emulate.NewSimulation(p).Run()
		var out strings.Builder
		for _, name := range slices.Sorted(maps.Keys(scores)) {
			fmt.Fprintln(&out, scores[name])
		}
		fmt.Fprintf(&out, "worth %.3f\n", emulate.TotalUtility(scores))
		return out.String()
	})
}
