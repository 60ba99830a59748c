package orders

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the instance booted, including suspensions. The monotonic clock of the Go runtime
// stops during a suspension, so by that clock alone an expired lease would still look valid afterwards.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // Without that clock, only the monotonic clock decides.
	}
	return time.Duration(ts.Nano())
}
