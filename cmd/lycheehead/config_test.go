package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestConfig runs the command "config check" as a process. It guards against an exit code by which
// scripts send a version that daemons reject, and against API keys in the output. The directive
// file writes a file, check prints both output streams and the exit status.
func TestConfig(t *testing.T) {
	bin := buildPrograms(t)
	dir := t.TempDir()
	datadriven.RunTest(t, "testdata/config", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "file":
			if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input+"\n"), fileMode); err != nil {
				t.Fatal(err)
			}
			return "written\n"
		case "check":
			return runCheck(t, bin, dir, strings.Fields(d.Input))
		}
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	})
}

func runCheck(t *testing.T, bin, dir string, args []string) string {
	t.Helper()
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(filepath.Join(bin, "lycheehead"), append([]string{"config", "check"}, args...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	out := stdout.String() + stderr.String() + cmd.ProcessState.String() + "\n"
	if strings.Contains(out, "secret") {
		t.Fatalf("an API key was printed:\n%s", out)
	}
	return strings.ReplaceAll(out, dir+"/", "")
}
