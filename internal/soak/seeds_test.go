//go:build soak

package soak

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestMain runs the test binary as a fake daemon if it is started under the name of a fault.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "sidecar" {
		if err := runFake(filepath.Base(os.Args[0])); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "fake:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

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
