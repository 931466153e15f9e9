// Package clock reads the machine's monotonic clock. Processes on one machine use it to order the updates that each of
// them received.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic returns the time since an unspecified point before the process started (clock_gettime(2), CLOCK_MONOTONIC).
// Steps of the wall clock don't affect it, and its values are comparable between all processes of the machine. It
// returns 0 if the clock can't be read.
func Monotonic() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
