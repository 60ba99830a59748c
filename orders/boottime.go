package orders

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the instance has started, suspensions included. The monotonic clock of the Go runtime does not
// count a suspension, so that a lease would seem to last after it.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // Without that clock, the monotonic one alone decides.
	}
	return time.Duration(ts.Nano())
}
