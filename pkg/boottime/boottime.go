// Package boottime reads a clock that goes on while the machine is suspended.
// Leases are judged by it: the steady clock of package time stands still then.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, as a time.Time without a
// monotonic reading. Only differences are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0) // kernels without the clock
	}
	return time.Unix(ts.Unix())
}
