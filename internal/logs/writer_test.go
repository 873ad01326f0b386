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

// sink keeps what is written.
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

// TestBound logs ten times what is let through, for ten seconds, and counts the
// lines. Each class has a rate of its own: neither successes nor refusals take
// the place of beliefs.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		w := logs.NewWriter(out)
		for range 1000 {
			for range 20 {
				if w.Allow(logs.Success) {
					_, _ = io.WriteString(w, "ordinary\n")
				}
			}
			for range 30 {
				if w.Allow(logs.Refusal) {
					_, _ = io.WriteString(w, "refused\n")
				}
			}
			if w.Allow(logs.StateChange) {
				_, _ = io.WriteString(w, "important\n")
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.Close()
		count := func(line string) int { return strings.Count(out.text.String(), line) }
		ordinary, refused, important := count("ordinary"), count("refused"), count("important")
		if ordinary > 11*150 || refused > 11*300 || important != 1000 || w.Dropped() != int64(20_000+30_000-ordinary-refused) {
			t.Fatalf("%d ordinary lines, %d refusals, %d important ones, %d dropped", ordinary, refused, important, w.Dropped())
		}
		if !strings.Contains(out.text.String(), "log lines dropped") {
			t.Fatal("nothing tells of dropped lines")
		}
	})
}

// TestBlocked logs to a pipe that nobody reads: no call may wait for it.
func TestBlocked(t *testing.T) {
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
		begin := time.Now()
		_, _ = w.Write(line)
		slowest = max(slowest, time.Since(begin))
		time.Sleep(200 * time.Microsecond)
	}
	if slowest > 200*time.Millisecond {
		t.Fatalf("a line waited for %s", slowest)
	}
	if w.Dropped() == 0 {
		t.Fatal("no line was dropped")
	}
}

func ExampleWriter() {
	w := logs.NewWriter(os.Stdout)
	if w.Allow(logs.StateChange) {
		_, _ = fmt.Fprintln(w, `{"@message":"start"}`)
	}
	w.Close()
	// Output: {"@message":"start"}
}
