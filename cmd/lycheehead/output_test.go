package main

import (
	"io"
	stdlog "log"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/hashicorp/go-hclog"

	"github.com/lycheehead/lycheehead/internal/logs"
)

// TestLibraryLog prints the lines of the log for what a library writes to the standard logger,
// without their timestamps.
func TestLibraryLog(t *testing.T) {
	defer stdlog.SetOutput(os.Stderr)
	defer stdlog.SetFlags(stdlog.Flags())
	datadriven.RunTest(t, "testdata/library", func(t *testing.T, d *datadriven.TestData) string {
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = r.Close() }()
		out := logs.NewWriter(w)
		captureLibraryLog(out, logs.NewLogger(out, hclog.Info, "slot", "doku-1"))
		for line := range strings.Lines(d.Input) {
			stdlog.Print(line)
		}
		out.Close(processTimeout)
		_ = w.Close()
		text, err := io.ReadAll(r)
		if err != nil {
			t.Fatal(err)
		}
		var result strings.Builder
		for line := range strings.Lines(string(text)) {
			before, rest, _ := strings.Cut(line, `"@timestamp":"`)
			_, after, _ := strings.Cut(rest, `",`)
			result.WriteString(before + after)
		}
		return result.String()
	})
}

// TestLibraryLogBlocked writes to the standard logger while nobody reads the log.
func TestLibraryLogBlocked(t *testing.T) {
	defer stdlog.SetOutput(os.Stderr)
	defer stdlog.SetFlags(stdlog.Flags())
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = r.Close(), w.Close() }()
	out := logs.NewWriter(w)
	captureLibraryLog(out, logs.NewLogger(out, hclog.Info))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10_000 {
			stdlog.Print("http: Accept error: too many open files; retrying in 1s")
		}
	}()
	select {
	case <-done:
	case <-time.After(processTimeout):
		t.Fatal("the standard logger is blocked")
	}
	if out.Dropped() == 0 {
		t.Error("the rate of lines is not bounded")
	}
}
