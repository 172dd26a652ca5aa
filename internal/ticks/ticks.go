// Package ticks reads a clock that never jumps and goes on while the machine is suspended, and waits.
package ticks

import (
	"context"
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

// Sleep waits and reports whether the time passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
