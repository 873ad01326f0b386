package workers

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrClosed says that the pool has been closed.
var ErrClosed = eris.New("pool is closed")

// Pool is a fixed number of workers over one bounded queue.
type Pool struct {
	queue  chan func()
	closed chan struct{}
	once   sync.Once
	group  sync.WaitGroup
}

// New starts size workers over a queue of depth tasks.
func New(size, depth int) *Pool {
	p := &Pool{
		queue:  make(chan func(), depth),
		closed: make(chan struct{}),
	}
	for range size {
		p.group.Go(p.work)
	}
	return p
}

// Close lets the workers finish their tasks and ends them. Tasks still in the
// queue are not run; their callers get ErrClosed.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.closed) })
	p.group.Wait()
}

func (p *Pool) work() {
	for {
		select {
		case task := <-p.queue:
			task()
		case <-p.closed:
			return
		}
	}
}

// The states of a task: whoever moves it from waiting decides its fate.
const (
	waiting int32 = iota
	taken
	abandoned
)

// Do runs decide on a worker and returns its verdict. An error says that
// decide has not run and never will.
func Do[T any](ctx context.Context, p *Pool, decide func() T) (T, error) {
	var state atomic.Int32
	done := make(chan T, 1)
	task := func() {
		if state.CompareAndSwap(waiting, taken) {
			done <- decide()
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
	case v := <-done:
		return v, nil
	case <-ctx.Done():
		return abandon(&state, done, context.Cause(ctx))
	case <-p.closed:
		return abandon(&state, done, ErrClosed)
	}
}

// abandon gives the task up unless a worker has taken it: a decision that has
// begun is waited for, so that its verdict is never lost.
func abandon[T any](state *atomic.Int32, done <-chan T, cause error) (T, error) {
	if state.CompareAndSwap(waiting, abandoned) {
		var zero T
		return zero, fmt.Errorf("wait for a worker: %w", cause)
	}
	return <-done, nil
}
