// Package suspend measures for how long the machine was suspended. The runtime's
// monotonic clock does not advance during that time, so that deadlines which have passed
// meanwhile appear to lie in the future.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since it booted, or zero if the
// operating system does not provide the clocks.
func Total() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return max(0, time.Duration(boot.Nano()-monotonic.Nano()))
}

// Meter measures the time of suspension from its start. Use Start to create one.
type Meter struct {
	start time.Duration
}

// Start returns a Meter that starts now.
func Start() Meter { return Meter{start: Total()} }

// minSuspension is the difference that Elapsed ignores. The two clocks are not read at the
// same instant, so small differences occur without a suspension.
const minSuspension = 5 * time.Millisecond

// Elapsed returns how long the machine has been suspended since Start.
func (m Meter) Elapsed() time.Duration {
	if d := Total() - m.start; d > minSuspension {
		return d
	}
	return 0
}
