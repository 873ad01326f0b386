package suspend

import (
	"context"
	"time"

	"github.com/lycheehead/lycheehead/pkg/lock"
)

const (
	// beatInterval is the time between two records that the process runs.
	beatInterval = 125 * time.Millisecond
	// maxPause is the time without a record after which the process counts as stopped.
	maxPause = 2 * beatInterval
	// deadlineInterval is the time between two checks whether a context has ended.
	deadlineInterval = 20 * time.Millisecond
)

// Monitor notices that the process did not run for a while, since it was stopped by a signal
// or its machine was suspended, and has a clock that counts that time. Use NewMonitor to create
// one.
type Monitor struct {
	start     time.Time
	suspended func() time.Duration
	// mu has rank lock.Logs and guards the fields below, which are times since start.
	mu *lock.Mutex
	// last is when the process was last known to run.
	last time.Duration
	// stopped and resumed bound the last time during which it did not run, zero for none.
	stopped, resumed time.Duration
	// paused is for how long the process did not run in all, and reported how much of that has
	// been reported.
	paused, reported time.Duration
}

// NewMonitor returns a Monitor of a process that runs. suspended returns for how long the
// machine has been suspended, as Meter.Elapsed does.
func NewMonitor(suspended func() time.Duration) *Monitor {
	return &Monitor{start: time.Now(), suspended: suspended, mu: lock.New(lock.Logs)}
}

// Clock converts a time of the runtime's clock, which does not advance while the machine is
// suspended, to one of a clock that does.
func (m *Monitor) Clock(t time.Time) time.Time { return t.Add(m.suspended()) }

// Now returns the time by the clock that advances while the machine is suspended.
func (m *Monitor) Now() time.Time { return m.Clock(time.Now()) }

// WithDeadline returns a context that ends at a time by the clock that advances while the
// machine is suspended, with the cause context.DeadlineExceeded.
func (m *Monitor) WithDeadline(parent context.Context, end time.Time) (context.Context, context.CancelFunc) {
	parent, expire := context.WithCancelCause(parent)
	ctx, cancel := context.WithDeadline(parent, end.Add(-m.suspended()))
	go func() {
		defer expire(context.DeadlineExceeded)
		t := time.NewTicker(deadlineInterval)
		defer t.Stop()
		for m.Now().Before(end) {
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// Run records that the process runs, until ctx ends. It calls report after each time during which
// it did not run.
func (m *Monitor) Run(ctx context.Context, report func(paused time.Duration)) {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.Delay()
			if paused := m.takePaused(); paused > 0 {
				report(paused)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Delay returns how late a signal may be that the process receives now: if it has just begun
// to run again, the time since it was stopped, otherwise zero.
func (m *Monitor) Delay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now().Sub(m.start)
	if now-m.last > maxPause {
		m.stopped, m.resumed = m.last, now
		m.paused += now - m.last
	}
	m.last = now
	if m.resumed > 0 && now-m.resumed < maxPause {
		return now - m.stopped
	}
	return 0
}

// Paused returns for how long the process did not run in all.
func (m *Monitor) Paused() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paused
}

// takePaused returns the time during which the process did not run since the last call.
func (m *Monitor) takePaused() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.paused - m.reported
	m.reported = m.paused
	return d
}
