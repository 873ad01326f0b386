// Package suspend tells for how long the machine stood still. The runtime's
// clock does not count that time, so deadlines seem not to have passed after it.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since it started, or
// zero where the system cannot tell.
func Total() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return max(0, time.Duration(boot.Nano()-steady.Nano()))
}

// Meter measures suspension from an instant on.
type Meter struct {
	begin time.Duration
}

// Start begins to measure.
func Start() Meter { return Meter{begin: Total()} }

// noise is the difference between two readings of the clocks that is not a
// suspension.
const noise = 5 * time.Millisecond

// Elapsed returns how long the machine was suspended since the start.
func (m Meter) Elapsed() time.Duration {
	if d := Total() - m.begin; d > noise {
		return d
	}
	return 0
}
