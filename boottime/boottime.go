// Package boottime reads the clock that beliefs expire by.
//
// Go's monotonic clock stands still while a machine is suspended. A lease, a
// ticket or a proof of freshness read off it would outlive its truth by the
// length of the suspension, and a woken host would act on it. CLOCK_BOOTTIME
// goes on counting, and no step of the time of day moves it.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux since 2.6.39; without it no belief
		// could be trusted.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Sleep waits and reports whether ctx still goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
