package port

import "time"

// SystemClock is the monotonic clock of the Go runtime. It does not count the time
// for which the VM is suspended.
type SystemClock struct{ origin time.Time }

// NewSystemClock returns a clock that starts at zero.
func NewSystemClock() *SystemClock { return &SystemClock{origin: time.Now()} }

// Now implements Clock.
func (c *SystemClock) Now() time.Duration { return time.Since(c.origin) }
