package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lycheehead/lycheehead/internal/logs"
)

// sink records what is written to it.
type sink struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestRateLimits logs about ten times the allowed rate for ten seconds and counts the
// lines. Neither successes nor refusals may crowd out state changes, since each class has
// a rate limit of its own.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		w := logs.NewWriter(out)
		for range 1000 {
			for range 20 {
				if w.Allow(logs.Success) {
					_, _ = io.WriteString(w, "success\n")
				}
			}
			for range 30 {
				if w.Allow(logs.Refusal) {
					_, _ = io.WriteString(w, "refusal\n")
				}
			}
			if w.Allow(logs.StateChange) {
				_, _ = io.WriteString(w, "state change\n")
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.Close(time.Second)
		count := func(line string) int { return strings.Count(out.text.String(), line) }
		successes, refusals, changes := count("success"), count("refusal"), count("state change")
		if successes > 11*150 || refusals > 11*300 || changes != 1000 || w.Dropped() != int64(20_000+30_000-successes-refusals) {
			t.Fatalf("got %d successes, %d refusals, %d state changes and %d dropped lines", successes, refusals, changes, w.Dropped())
		}
		if !strings.Contains(out.text.String(), "log lines dropped") {
			t.Fatal("dropped lines were not reported")
		}
	})
}

// TestBlockedReader logs to a pipe that is never read. No call may block.
func TestBlockedReader(t *testing.T) {
	r, pipe, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = r.Close(), pipe.Close() }()
	w := logs.NewWriter(pipe)
	line := bytes.Repeat([]byte("x"), 1023)
	line = append(line, '\n')
	slowest := time.Duration(0)
	for range 2000 {
		start := time.Now()
		_, _ = w.Write(line)
		slowest = max(slowest, time.Since(start))
		time.Sleep(200 * time.Microsecond)
	}
	if slowest > 200*time.Millisecond {
		t.Fatalf("Write blocked for %s", slowest)
	}
	if w.Dropped() == 0 {
		t.Fatal("no lines were dropped")
	}
}

func ExampleWriter() {
	w := logs.NewWriter(os.Stdout)
	if w.Allow(logs.StateChange) {
		_, _ = fmt.Fprintln(w, `{"@message":"start"}`)
	}
	w.Close(time.Second)
	// Output: {"@message":"start"}
}
