// Package boottime reads the clock that beliefs expire by.
//
// Go's monotonic clock stands still while a machine is suspended. A lease, a
// ticket or a proof of freshness read off it would outlive its truth by the
// length of the suspension, and a woken host would act on it. CLOCK_BOOTTIME
// goes on counting, and no step of the time of day moves it.
package boottime

import (
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
