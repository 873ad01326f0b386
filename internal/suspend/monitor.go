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
)

// Monitor notices that the process did not run for a while, since it was stopped by a signal
// or its machine was suspended. Use NewMonitor to create one.
type Monitor struct {
	start time.Time
	meter Meter
	// mu has rank lock.Logs and guards the fields below, which are times since start.
	mu *lock.Mutex
	// last is when the process was last known to run.
	last time.Duration
	// stopped and resumed bound the last time during which it did not run, zero for none.
	stopped, resumed time.Duration
}

// NewMonitor returns a Monitor of a process that runs.
func NewMonitor() *Monitor {
	return &Monitor{start: time.Now(), meter: Start(), mu: lock.New(lock.Logs)}
}

// Run records that the process runs, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.Delay()
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
	now := time.Since(m.start) + m.meter.Elapsed()
	if now-m.last > maxPause {
		m.stopped, m.resumed = m.last, now
	}
	m.last = now
	if m.resumed > 0 && now-m.resumed < maxPause {
		return now - m.stopped
	}
	return 0
}
