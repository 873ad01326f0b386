//go:build soak

package soak

import (
	"bytes"
	"maps"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestShort plays short soaks of the program, calm enough for a busy machine.
func TestShort(t *testing.T) { playSeeds(t, "testdata/short") }

// TestSeeds plays the soaks that once broke a rule.
func TestSeeds(t *testing.T) { playSeeds(t, "testdata/seeds") }

// playSeeds plays the soaks of a data file and prints the rules that were broken.
func playSeeds(t *testing.T, path string) {
	program := filepath.Join(t.TempDir(), "lycheehead")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/lycheehead").CombinedOutput(); err != nil {
		t.Fatalf("build program: %v\n%s", err, out)
	}
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		var out bytes.Buffer
		broken, err := Run(options(t, d, program), &out)
		if err != nil {
			t.Fatalf("%v\n%s", err, out.String())
		}
		if len(broken) == 0 {
			return "none\n"
		}
		t.Log(out.String())
		return strings.Join(slices.Sorted(maps.Keys(broken)), " ") + "\n"
	})
}
