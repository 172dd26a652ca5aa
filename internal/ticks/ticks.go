// Package ticks reads a clock that never jumps and goes on while the machine is suspended.
package ticks

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, suspended time included.
// The Go runtime's monotonic clock stands still during a suspension, so it can't bound the age of a belief.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux that Go supports; a machine without it must not serve with a wrong age.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
