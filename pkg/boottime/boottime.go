// Package boottime reads a clock that continues while the VM is suspended.
// The expiry of leases is checked against it, because the monotonic clock of
// package time stops during a suspend.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, as a time.Time without a monotonic
// reading, or the wall clock if the kernel lacks CLOCK_BOOTTIME. Only the difference
// of two such times is meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0) // the kernel doesn't have the clock
	}
	return time.Unix(ts.Unix())
}
