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
	// bufferMost is how many bytes wait to be written.
	bufferMost = 256 << 10
	// chunkMost is how many bytes are written at once; readers of a pipe take
	// lines whole up to its size.
	chunkMost = 4 << 10
	// flushEvery is the time between two writes.
	flushEvery = 250 * time.Millisecond
	// The rates of the classes, in lines per second.
	successRate = 150
	attemptRate = 150
	refusalRate = 300
	beliefRate  = 300
)

// Class says what a line tells. Each class has an allowance of its own, so that
// the many lines of one never take the place of those of another.
type Class uint8

// The numClasses.
const (
	// Success: a decision on a request that went well.
	Success Class = iota
	// Attempt: a try of a request that was refused or failed, and is made again or
	// followed by a refusal.
	Attempt
	// Refusal: a caller that was refused, or told of a failure.
	Refusal
	// StateChange: a change of the state that the process holds of the system, a start
	// or a stop.
	StateChange
	numClasses
)

// DroppedMessage is the text of the line that tells how many lines were dropped.
const DroppedMessage = "log lines dropped"

// Writer is a bounded log output. Make one with NewWriter.
type Writer struct {
	out io.Writer
	// mu, of rank lock.Logs, guards what follows.
	mu      *lock.Mutex
	buffer  []byte
	spare   []byte
	allowed [numClasses]allowance
	dropped int
	// total counts all lines that were dropped.
	total atomic.Int64
	done  chan struct{}
	ended chan struct{}
}

// allowance is a rate of lines with a burst of one second.
type allowance struct {
	rate, left float64
	last       time.Time
}

func (a *allowance) take(now time.Time) bool {
	a.left = min(a.rate, a.left+now.Sub(a.last).Seconds()*a.rate)
	a.last = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// NewWriter returns a writer to out that runs until Close.
func NewWriter(out io.Writer) *Writer {
	now := time.Now()
	w := &Writer{
		out:   out,
		mu:    lock.New(lock.Logs),
		done:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	for class, rate := range [numClasses]float64{Success: successRate, Attempt: attemptRate, Refusal: refusalRate, StateChange: beliefRate} {
		w.allowed[class] = allowance{rate: rate, left: rate, last: now}
	}
	go w.run()
	return w
}

// Allow says whether a line of a class may be logged now, and counts it as dropped
// if not. It is asked before a line is built, which costs more than the answer.
func (w *Writer) Allow(c Class) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.allowed[c].take(time.Now()) {
		return true
	}
	w.drop()
	return false
}

func (w *Writer) drop() {
	w.dropped++
	w.total.Add(1)
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Write implements io.Writer for whole lines.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > bufferMost {
		w.drop()
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.ended)
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-w.done:
			w.flush()
			return
		}
	}
}

// flush writes what is buffered. A reader that does not read holds up this
// goroutine alone.
func (w *Writer) flush() {
	w.mu.Lock()
	if w.dropped > 0 {
		w.buffer = fmt.Appendf(w.buffer, `{"@level":"warn","@message":%q,"@timestamp":%q,"lines":%d}`+"\n",
			DroppedMessage, time.Now().Format(time.RFC3339Nano), w.dropped)
		w.dropped = 0
	}
	out := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	for rest := out; len(rest) > 0; {
		n := min(chunkMost, len(rest))
		if i := bytes.LastIndexByte(rest[:n], '\n'); i >= 0 {
			n = i + 1
		}
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.out.Write(rest[:n])
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = out[:0]
	w.mu.Unlock()
}

// closeTimeout bounds how long Close waits for a reader.
const closeTimeout = 200 * time.Millisecond

// Close writes what is buffered, if the reader takes it in time.
func (w *Writer) Close() {
	close(w.done)
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}
