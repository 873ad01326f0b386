package workers

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrClosed is wrapped by the error that Do returns when the pool has been closed.
var ErrClosed = eris.New("pool is closed")

// Pool is a fixed number of workers that serve one bounded queue. It is safe for
// concurrent use. Use New to create one.
type Pool struct {
	queue     chan func()
	closed    chan struct{}
	closeOnce sync.Once
	workers   sync.WaitGroup
}

// New starts size workers, at least one, that serve a queue with room for depth tasks,
// which may be zero. Close stops them.
func New(size, depth int) *Pool {
	p := &Pool{
		queue:  make(chan func(), depth),
		closed: make(chan struct{}),
	}
	for range size {
		p.workers.Go(p.runTasks)
	}
	return p
}

// Close stops the workers after their current tasks and waits for them. The callers of
// tasks that were in the queue and are not run receive ErrClosed. Close may be called
// more than once, but not from a task.
func (p *Pool) Close() {
	p.closeOnce.Do(func() { close(p.closed) })
	p.workers.Wait()
}

func (p *Pool) runTasks() {
	for {
		select {
		case task := <-p.queue:
			task()
		case <-p.closed:
			return
		}
	}
}

// The states of a task. A worker moves it from queued to started, or its caller moves
// it from queued to abandoned, whichever comes first.
const (
	queued int32 = iota
	started
	abandoned
)

// Panic is the value with which Do panics if the decision panicked.
type Panic struct {
	value any
	stack []byte
}

// Value returns the value with which the decision panicked.
func (p Panic) Value() any { return p.value }

// Stack returns the stack trace of the decision.
func (p Panic) Stack() []byte { return p.stack }

// String describes the panic.
func (p Panic) String() string { return fmt.Sprintf("decision panicked: %v\n%s", p.value, p.stack) }

// outcome is the result of a decision, or its panic.
type outcome[T any] struct {
	value    T
	panicked *Panic
}

// run calls decide and recovers from a panic, which would otherwise end the process.
func run[T any](decide func() T) (o outcome[T]) {
	defer func() {
		if v := recover(); v != nil {
			o.panicked = &Panic{value: v, stack: debug.Stack()}
		}
	}()
	o.value = decide()
	return o
}

// result returns the value, or panics in the goroutine that asked for the decision.
func (o outcome[T]) result() T {
	if o.panicked != nil {
		panic(*o.panicked)
	}
	return o.value
}

// Do runs decide on a worker of p and returns its result. If it returns an error,
// decide has not run and will not run; the error wraps the cause of ctx or ErrClosed.
// If ctx ends while decide runs, Do waits for the result and returns it. If decide panics,
// Do panics with a value of type Panic, and the worker continues. decide must neither block
// nor call Do on the same pool.
func Do[T any](ctx context.Context, p *Pool, decide func() T) (T, error) {
	var state atomic.Int32
	done := make(chan outcome[T], 1)
	task := func() {
		if state.CompareAndSwap(queued, started) {
			done <- run(decide)
		}
	}
	var zero T
	select {
	case p.queue <- task:
	case <-ctx.Done():
		return zero, fmt.Errorf("wait for a worker: %w", context.Cause(ctx))
	case <-p.closed:
		return zero, fmt.Errorf("wait for a worker: %w", ErrClosed)
	}
	select {
	case o := <-done:
		return o.result(), nil
	case <-ctx.Done():
		return abandon(&state, done, context.Cause(ctx))
	case <-p.closed:
		return abandon(&state, done, ErrClosed)
	}
}

// abandon abandons the task unless a worker has started it. It waits for a decision
// that has been started, so that its result is never lost.
func abandon[T any](state *atomic.Int32, done <-chan outcome[T], cause error) (T, error) {
	if state.CompareAndSwap(queued, abandoned) {
		var zero T
		return zero, fmt.Errorf("wait for a worker: %w", cause)
	}
	o := <-done
	return o.result(), nil
}
