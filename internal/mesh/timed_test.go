//go:build timed

package mesh_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTimed runs the scripts in timed, which check how many requests are served during
// failures. Their results depend on the speed of the machine, so only make faults runs them.
func TestTimed(t *testing.T) {
	datadriven.Walk(t, "timed", func(t *testing.T, path string) {
		r := &scriptRunner{}
		t.Cleanup(r.close)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return r.runCommand(t, d)
		})
	})
}
