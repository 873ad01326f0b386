package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// maxBufferBytes is the maximum size of the buffer.
	maxBufferBytes = 256 << 10
	// maxRestBytes is the size up to which the buffer may be left to the next flush. Half of the
	// buffer stays free for a burst.
	maxRestBytes  = maxBufferBytes / 8
	flushInterval = 250 * time.Millisecond
	// Rate limits of the classes.
	successLinesPerSecond     = 150
	attemptLinesPerSecond     = 150
	refusalLinesPerSecond     = 300
	unknownLinesPerSecond     = 300
	stateChangeLinesPerSecond = 300
	libraryLinesPerSecond     = 20
)

// Class is the class of a line. Each class has a rate limit of its own, so that many
// lines of one class do not crowd out those of another.
type Class uint8

// The classes.
const (
	// Success: a decision on a request that succeeded.
	Success Class = iota
	// Attempt: an attempt that has not run, and is followed by another attempt or by a
	// refusal of the request.
	Attempt
	// Refusal: a request that was refused and has not run.
	Refusal
	// Unknown: an attempt or a request whose outcome is unknown, or what led to that.
	Unknown
	// StateChange: a start or stop of the process, or a change in its state or in its view
	// of other components.
	StateChange
	// Library: a line that a library wrote to the standard logger.
	Library
	numClasses
)

// Writer is a log output of bounded rate and size that does not block. Use NewWriter to
// create one.
type Writer struct {
	// mu has rank lock.Logs and guards the fields below, up to unreported.
	mu     *lock.Mutex
	buffer []byte
	// spare is the previous buffer, which is reused after it has been written.
	spare   []byte
	buckets [numClasses]tokenBucket
	// unreported counts the dropped lines that no line in the output has reported.
	unreported drops
	// dropped is the total number of dropped lines.
	dropped atomic.Int64
	// halfFull wakes the goroutine before lines have to be dropped.
	halfFull chan struct{}
	// stop is closed by Close, and stopped when the goroutine has ended.
	stop, stopped chan struct{}
	output        output
}

// drops is a number of dropped lines and when the first of them was dropped.
type drops struct {
	lines int
	since time.Time
}

// tokenBucket limits the rate of lines. It allows a burst of the lines of one second.
type tokenBucket struct {
	rate, tokens float64
	refilled     time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.refilled).Seconds()*b.rate)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewWriter returns a Writer to out and starts its goroutine, which runs until Close.
func NewWriter(out io.Writer) *Writer {
	now := time.Now()
	w := &Writer{
		mu:       lock.New(lock.Logs),
		halfFull: make(chan struct{}, 1),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
		output:   output{out: out},
	}
	for class, rate := range [numClasses]float64{
		Success:     successLinesPerSecond,
		Attempt:     attemptLinesPerSecond,
		Refusal:     refusalLinesPerSecond,
		Unknown:     unknownLinesPerSecond,
		StateChange: stateChangeLinesPerSecond,
		Library:     libraryLinesPerSecond,
	} {
		w.buckets[class] = tokenBucket{rate: rate, tokens: rate, refilled: now}
	}
	go w.run()
	return w
}

// Allow reports whether a line of a class may be logged now, and otherwise counts it as
// dropped. Callers check this before they format a line, which is more expensive than the
// check.
func (w *Writer) Allow(c Class) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.buckets[c].take(now) {
		return true
	}
	w.countDropped(now, 1)
	return false
}

// countDropped counts dropped lines. The caller holds mu.
func (w *Writer) countDropped(now time.Time, lines int) {
	if w.unreported.lines == 0 {
		w.unreported.since = now
	}
	w.unreported.lines += lines
	w.dropped.Add(int64(lines))
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Failures returns how often the output has failed: a write returned an error or was blocked.
// It counts failures once until the output works again.
func (w *Writer) Failures() int64 { return w.output.failures.Load() }

// FailingFor returns how long the output has not worked, or zero if it works.
func (w *Writer) FailingFor(now time.Time) time.Duration { return w.output.failingFor(now) }

// SetGauges passes the gauges of the log to set: the lines that were dropped, the failures of the
// output, and for how long it has failed.
func (w *Writer) SetGauges(now time.Time, set func(name string, value float64)) {
	set("log_lines_dropped", float64(w.Dropped()))
	set("log_output_failures", float64(w.Failures()))
	set("log_output_failing_seconds", w.FailingFor(now).Seconds())
}

// Write implements io.Writer. p must consist of whole lines.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > maxBufferBytes {
		w.countDropped(time.Now(), countLines(p))
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
	if len(w.buffer) > maxBufferBytes/2 {
		select {
		case w.halfFull <- struct{}{}:
		default:
		}
	}
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.stopped)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-w.halfFull:
			w.flush()
			// Lines that arrived during a long write may nearly fill the buffer again.
			for w.buffered() > maxRestBytes {
				w.flush()
			}
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// buffered returns the size of the lines that have not been written.
func (w *Writer) buffered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffer)
}

// flush writes out the buffer. A reader that does not read blocks only the goroutine of
// the Writer. If the output has failed, the lines are dropped until it accepts a report.
func (w *Writer) flush() {
	begin := time.Now()
	w.mu.Lock()
	reported, lines := w.unreported, w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	lost := countLines(lines)
	if w.output.report(reported) {
		lost = w.output.writeLines(lines)
	} else {
		reported.lines = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spare = lines[:0]
	if reported.lines > 0 {
		w.unreported = drops{lines: w.unreported.lines - reported.lines, since: begin}
	}
	if lost > 0 {
		w.countDropped(begin, lost)
	}
}

// Close writes out the buffer and stops the Writer. If the output does not accept it within
// the timeout, the rest is lost.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.stopped:
	case <-time.After(timeout):
	}
}
