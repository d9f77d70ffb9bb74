package port

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a monotonic clock that also counts the time for which the VM was
// suspended, so that a lease does not outlast a suspension.
type BootClock struct{ origin int64 }

// NewBootClock returns a clock whose origin is now.
func NewBootClock() *BootClock { return &BootClock{origin: bootTime()} }

// Now implements Clock.
func (c *BootClock) Now() time.Duration { return time.Duration(bootTime() - c.origin) }

// bootTime returns the time since the VM was started, in nanoseconds.
func bootTime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has it
	}
	return t.Nano()
}
