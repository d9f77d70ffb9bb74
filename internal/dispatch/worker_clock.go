package dispatch

import "time"

const (
	// maxClockDrift is the largest difference between the rate of a worker's clock
	// and that of this process, as a share.
	maxClockDrift = 0.02
	// timerMargin allows for timers that fire late and for rounding to
	// milliseconds.
	timerMargin = 30 * time.Millisecond
)

// workerClock estimates a worker's clock from the readings in its answers. When an
// answer arrives, the worker's clock shows at least the reading in it.
type workerClock struct {
	known   bool
	reading int64 // milliseconds
	// at is when the reading arrived.
	at time.Duration
}

// observe records a reading, in milliseconds, that arrived at a time. A delayed
// reading gives a lower bound than the recorded one and is dropped.
func (c *workerClock) observe(reading int64, at time.Duration) {
	if c.known && reading < c.atLeast(at) {
		return
	}
	c.known, c.reading, c.at = true, reading, at
}

// atLeast returns the least that the worker's clock can show now, in milliseconds.
func (c *workerClock) atLeast(now time.Duration) int64 {
	passed := now - c.at
	if passed < 0 { // the reading is of after now, so a slow clock shows more then
		return c.reading + passed.Milliseconds() - 1
	}
	return c.reading + int64(float64(passed.Milliseconds())*(1-maxClockDrift))
}

// estimate returns what the worker's clock shows now, in milliseconds, if it has
// no drift.
func (c *workerClock) estimate(now time.Duration) int64 {
	return c.reading + (now - c.at).Milliseconds()
}

// certainlyPassed returns the time from which the worker's clock has passed a
// deadline even if it runs as slowly as the drift allows.
func (c *workerClock) certainlyPassed(deadline int64) time.Duration {
	left := float64(deadline-c.reading) / (1 - maxClockDrift)
	return c.at + time.Duration(left*float64(time.Millisecond)) + timerMargin
}
