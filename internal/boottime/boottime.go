// Package boottime reads CLOCK_BOOTTIME, the monotonic clock that also counts the
// time during which the machine was suspended. Leases, ages and deadlines are
// measured with it, so that a process does not treat stale data as fresh after a
// suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. Only differences between two
// values on the same machine are meaningful.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
