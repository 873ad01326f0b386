package logs_test

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/logs"
)

// disk is a log file that runs full, or whose writes block.
type disk struct {
	mu   sync.Mutex
	text strings.Builder
	// room is the free space in bytes, or negative if there is no bound.
	room int
	// blocked holds up writes until it is closed, if it is not nil.
	blocked chan struct{}
}

// Write implements io.Writer.
func (d *disk) Write(p []byte) (int, error) {
	d.mu.Lock()
	blocked := d.blocked
	d.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.room < 0 || len(p) <= d.room {
		if d.room >= 0 {
			d.room -= len(p)
		}
		return d.text.Write(p)
	}
	n, _ := d.text.Write(p[:d.room])
	d.room = 0
	return n, syscall.ENOSPC
}

// setRoom sets the free space in bytes.
func (d *disk) setRoom(room int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = room
}

// block makes writes block until unblock.
func (d *disk) block() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked = make(chan struct{})
}

func (d *disk) unblock() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.blocked != nil {
		close(d.blocked)
		d.blocked = nil
	}
}

// String returns the content.
func (d *disk) String() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text.String()
}

var timestamp = regexp.MustCompile(`"@timestamp":"[^"]*"`)

// TestOutput logs to an output that fails. The steps of a script are: log a number of lines,
// room left on the disk in bytes, block and unblock writes,
// flood with lines of 1 KB, write a burst of such lines at once, pass time, close the writer with a
// timeout, and print the state and the text of the output.
func TestOutput(t *testing.T) {
	datadriven.RunTest(t, "testdata/output", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		synctest.Test(t, func(t *testing.T) {
			f := &disk{room: -1}
			w := logs.NewWriter(f)
			closed := false
			for line := range strings.Lines(d.Input) {
				words := append(strings.Fields(line), "")
				synctest.Wait()
				switch words[0] {
				case "log":
					for i := range mustAtoi(t, words[1]) {
						_, _ = fmt.Fprintf(w, "line %d\n", i+1)
					}
				case "flood":
					for range mustAtoi(t, words[1]) {
						_, _ = fmt.Fprintln(w, strings.Repeat("x", 1023))
					}
				case "burst":
					_, _ = fmt.Fprint(w, strings.Repeat(strings.Repeat("x", 1023)+"\n", mustAtoi(t, words[1])))
				case "long":
					_, _ = fmt.Fprintln(w, strings.Repeat("x", mustAtoi(t, words[1])))
				case "lengths":
					for line := range strings.Lines(f.String()) {
						fmt.Fprintln(&out, len(line))
					}
				case "allow":
					for range mustAtoi(t, words[1]) {
						w.Allow(logs.Success)
					}
				case "room":
					f.setRoom(mustAtoi(t, words[1]))
				case "block":
					f.block()
				case "unblock":
					f.unblock()
				case "pass":
					time.Sleep(mustParse(t, words[1]))
				case "close":
					begin := time.Now()
					w.Close(mustParse(t, words[1]))
					closed = true
					fmt.Fprintf(&out, "closed after %s\n", time.Since(begin))
				case "state":
					fmt.Fprintf(&out, "%d dropped, %d failures, failing for %s\n", w.Dropped(), w.Failures(), w.FailingFor(time.Now()))
				case "text":
					out.WriteString(timestamp.ReplaceAllString(f.String(), `"@timestamp":""`))
				default:
					t.Fatal(errors.New("unknown step " + words[0]))
				}
			}
			f.unblock()
			if !closed {
				w.Close(time.Second)
			}
		})
		return out.String()
	})
}

func mustAtoi(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func mustParse(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
