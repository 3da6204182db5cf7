package grant

import (
	"time"

	"golang.org/x/sys/unix"
)

// started stands in for the time since boot where the system does not tell it.
var started = time.Now()

// Boot reads the time since boot, suspended time included.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}
