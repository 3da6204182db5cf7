package grant

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart replaces the boot time if the system does not provide a boot clock.
var processStart = time.Now()

// SinceBoot returns the time since boot, including the time that the host was suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
