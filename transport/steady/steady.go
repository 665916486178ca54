// Package steady reads a clock that never jumps and keeps running while the VM is suspended. Go's
// monotonic clock stops during a suspension. With it, a daemon that is suspended longer than its
// lease lasts would still consider itself the holder afterwards, and a key that was revoked in the
// meantime would still be accepted.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it, leases and revocations would not be safe.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
