// Package ticks provides a monotonic clock that includes the time in which the machine is suspended, and a cancellable
// sleep.
package ticks

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspended time. The Go runtime's monotonic clock stops
// during a suspension, so it can't bound the age of data.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux version that Go supports; without it, data of unknown age could be served.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d and reports whether it passed before ctx ended.
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
