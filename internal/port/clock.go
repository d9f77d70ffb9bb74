package port

import "time"

// SystemClock is the monotonic clock of the process.
type SystemClock struct{ origin time.Time }

// NewSystemClock returns a clock whose origin is now.
func NewSystemClock() *SystemClock { return &SystemClock{origin: time.Now()} }

// Now implements Clock.
func (c *SystemClock) Now() time.Duration { return time.Since(c.origin) }
