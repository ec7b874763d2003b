// Package boottime reads the clock that also counts the time in which the
// machine was suspended. Leases, ages and deadlines are measured on it, so
// that a suspended process does not take old knowledge for fresh.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. Only differences mean
// anything.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
