// Package boottime reads the clock that leases, tickets and other expiring state
// are measured with.
//
// Go's monotonic clock stops while a machine is suspended. A lease, a ticket or a
// proof of freshness measured with it would stay valid too long by the length of
// the suspension, and a resumed host would act on it. CLOCK_BOOTTIME keeps counting
// during a suspension and is not affected by changes of the wall clock.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it no expiry could be
		// checked.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until ctx ends, and reports whether d has passed.
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
