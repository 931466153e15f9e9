// Package clock reads the machine's monotonic clock, by which processes of one machine order what each of them was told.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic is the time since some moment before the process began (clock_gettime(2), CLOCK_MONOTONIC): no step moves it, and all
// processes of the machine read it alike. It is 0 where the clock can't be read.
func Monotonic() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
