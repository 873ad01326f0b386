package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// maxBufferBytes is the maximum size of the buffer.
	maxBufferBytes = 256 << 10
	// maxWriteBytes is the maximum size of a write. Writes to a pipe are atomic up to this
	// size, so that readers get whole lines.
	maxWriteBytes = 4 << 10
	flushInterval = 250 * time.Millisecond
	// Rate limits of the classes.
	successLinesPerSecond     = 150
	attemptLinesPerSecond     = 150
	refusalLinesPerSecond     = 300
	stateChangeLinesPerSecond = 300
)

// Class is the class of a line. Each class has a rate limit of its own, so that many
// lines of one class do not crowd out those of another.
type Class uint8

// The classes.
const (
	// Success: a decision on a request that succeeded.
	Success Class = iota
	// Attempt: an attempt that was refused or failed, and is followed by another attempt
	// or by a refusal of the request.
	Attempt
	// Refusal: a request that was refused, or answered with a failure.
	Refusal
	// StateChange: a start or stop of the process, or a change in its state or in its view
	// of other components.
	StateChange
	numClasses
)

// DroppedMessage is the message of the line that reports the number of dropped lines.
const DroppedMessage = "log lines dropped"

// Writer is a log output of bounded rate and size that does not block. Use NewWriter to
// create one.
type Writer struct {
	out io.Writer
	// mu has rank lock.Logs and guards the fields below, up to unreported.
	mu     *lock.Mutex
	buffer []byte
	// spare is the previous buffer, which is reused after it has been written.
	spare   []byte
	buckets [numClasses]tokenBucket
	// unreported is the number of dropped lines since the last DroppedMessage line.
	unreported int
	// dropped is the total number of dropped lines.
	dropped atomic.Int64
	// stop is closed by Close, and stopped when the goroutine has ended.
	stop, stopped chan struct{}
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
		out:     out,
		mu:      lock.New(lock.Logs),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	for class, rate := range [numClasses]float64{Success: successLinesPerSecond, Attempt: attemptLinesPerSecond, Refusal: refusalLinesPerSecond, StateChange: stateChangeLinesPerSecond} {
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
	if w.buckets[c].take(time.Now()) {
		return true
	}
	w.countDropped()
	return false
}

func (w *Writer) countDropped() {
	w.unreported++
	w.dropped.Add(1)
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write implements io.Writer. p must consist of whole lines.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > maxBufferBytes {
		w.countDropped()
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
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
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes out the buffer. A reader that does not read blocks only the goroutine of
// the Writer.
func (w *Writer) flush() {
	w.mu.Lock()
	if w.unreported > 0 {
		w.buffer = fmt.Appendf(w.buffer, `{"@level":"warn","@message":%q,"@timestamp":%q,"lines":%d}`+"\n",
			DroppedMessage, time.Now().Format(time.RFC3339Nano), w.unreported)
		w.unreported = 0
	}
	out := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	for rest := out; len(rest) > 0; {
		n := min(maxWriteBytes, len(rest))
		if i := bytes.LastIndexByte(rest[:n], '\n'); i >= 0 {
			n = i + 1
		}
		// The error is ignored because it cannot be logged.
		_, _ = w.out.Write(rest[:n])
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = out[:0]
	w.mu.Unlock()
}

// closeTimeout bounds the time that Close waits for the buffer to be written.
const closeTimeout = 200 * time.Millisecond

// Close writes out the buffer and stops the Writer. If the reader is slow, it returns
// after closeTimeout.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
	}
}
