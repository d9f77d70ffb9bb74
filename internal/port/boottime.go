package port

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a monotonic clock that also advances while the VM is suspended, so
// that a lease expires on time during a suspension.
type BootClock struct{ origin int64 }

// NewBootClock returns a clock that starts at zero.
func NewBootClock() *BootClock { return &BootClock{origin: bootTime()} }

// Now implements Clock.
func (c *BootClock) Now() time.Duration { return time.Duration(bootTime() - c.origin) }

// bootTime returns the time since the VM booted, suspensions included, in
// nanoseconds.
func bootTime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock CLOCK_BOOTTIME: " + err.Error()) // every supported kernel provides this clock
	}
	return t.Nano()
}
