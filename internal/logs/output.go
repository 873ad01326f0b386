package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxWriteBytes is the maximum size of a write. Writes to a pipe are atomic up to this
	// size, so that readers get whole lines.
	maxWriteBytes = 4 << 10
	// stallTimeout is the duration from which a write counts as a failure.
	stallTimeout = time.Second
)

// Messages of the lines that report dropped lines.
const (
	// DroppedMessage is the message if the output has worked.
	DroppedMessage = "log lines dropped"
	// FailedMessage is the message if the output has failed and works again.
	FailedMessage = "log output failed"
)

var errStalled = eris.New("write blocked")

// reportLine is a line that reports dropped lines. Took is the time since the first line was
// dropped or the output failed, and Error the first error.
type reportLine struct {
	Level   string `json:"@level"`
	Message string `json:"@message"`
	Time    string `json:"@timestamp"`
	Lines   int    `json:"lines"`
	Took    string `json:"took"`
	Error   string `json:"error,omitempty"`
}

// output is the destination of a Writer. Only the Writer's goroutine writes to it.
type output struct {
	out io.Writer
	// inLine is set if the last write ended within a line.
	inLine bool
	// failure is the first failure that has not been reported.
	failure failure
	// failingSince is the time of the first failure since the last report, as Unix time in
	// nanoseconds, or zero if there was none.
	failingSince atomic.Int64
	failures     atomic.Int64
	// writeStart is the start of the current write as Unix time in nanoseconds, or zero.
	writeStart atomic.Int64
}

// failure is an error of a write, nil for none, and when that write began.
type failure struct {
	err   error
	since time.Time
}

// failingFor returns how long the output has been failing, or zero. A write that is blocked is
// a failure before it returns.
func (o *output) failingFor(now time.Time) time.Duration {
	if since := o.failingSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since))
	}
	if start := o.writeStart.Load(); start != 0 {
		if blocked := now.Sub(time.Unix(0, start)); blocked >= stallTimeout {
			return blocked
		}
	}
	return 0
}

// write writes p and returns the number of bytes written.
func (o *output) write(p []byte) int {
	begin := time.Now()
	o.writeStart.Store(begin.UnixNano())
	n, err := o.out.Write(p)
	o.writeStart.Store(0)
	if n > 0 {
		o.inLine = p[n-1] != '\n'
	}
	switch {
	case n < len(p) && err == nil:
		err = io.ErrShortWrite
	case n == len(p) && time.Since(begin) >= stallTimeout:
		err = errStalled
	case n == len(p):
		return n
	}
	if o.failure.err == nil {
		o.failure = failure{err: err, since: begin}
	}
	if o.failingSince.CompareAndSwap(0, begin.UnixNano()) {
		o.failures.Add(1)
	}
	return n
}

// report writes a line on dropped lines and on a failure, if there are any. It reports
// whether it succeeded, and nothing else should be written before it has.
func (o *output) report(d drops) bool {
	before := o.failure
	if before.err == nil && d.lines == 0 {
		return true
	}
	now := time.Now()
	line := reportLine{Level: "warn", Message: DroppedMessage, Time: now.Format(time.RFC3339Nano), Lines: d.lines}
	since := d.since
	if before.err != nil {
		line.Level, line.Message, line.Error = "error", FailedMessage, before.err.Error()
		since = before.since
	}
	line.Took = now.Sub(since).Round(time.Millisecond).String()
	text, err := json.Marshal(line)
	if err != nil {
		return false
	}
	text = append(text, '\n')
	if o.inLine {
		// The failure has cut off a line.
		text = append([]byte{'\n'}, text...)
	}
	o.failure = failure{}
	if o.write(text) < len(text) {
		if before.err != nil {
			o.failure = before
		}
		return false
	}
	if o.failure.err == nil {
		o.failingSince.Store(0)
	}
	return true
}

// writeLines writes whole lines up to the first error and returns the number of lines that
// were not written.
func (o *output) writeLines(lines []byte) int {
	for rest := lines; len(rest) > 0; {
		n := min(maxWriteBytes, len(rest))
		if i := bytes.LastIndexByte(rest[:n], '\n'); i >= 0 {
			n = i + 1
		}
		if written := o.write(rest[:n]); written < n {
			return countLines(rest[written:])
		}
		rest = rest[n:]
	}
	return 0
}

func countLines(p []byte) int { return bytes.Count(p, []byte{'\n'}) }
