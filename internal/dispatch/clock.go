package dispatch

import "time"

const (
	// workerDrift is how much slower or faster a worker's clock may run.
	workerDrift = 0.02
	// settleMargin covers timers that fire late and the rounding to
	// milliseconds.
	settleMargin = 30 * time.Millisecond
)

// workerClock estimates a worker's clock from the readings in its answers. The
// worker's clock was at least the reading when the answer arrived.
type workerClock struct {
	known   bool
	reading int64 // milliseconds
	at      time.Duration
}

// observe takes in a reading that arrived at a time. Readings that were delayed
// tell less than what is known and are dropped.
func (c *workerClock) observe(reading int64, at time.Duration) {
	if c.known && reading < c.atLeast(at) {
		return
	}
	c.known, c.reading, c.at = true, reading, at
}

// atLeast returns what the worker's clock certainly shows at a time.
func (c *workerClock) atLeast(now time.Duration) int64 {
	return c.reading + int64(float64((now-c.at).Milliseconds())*(1-workerDrift))
}

// estimate returns what the worker's clock shows at a time, if it runs true.
func (c *workerClock) estimate(now time.Duration) int64 {
	return c.reading + (now - c.at).Milliseconds()
}

// passed returns when the worker's clock has certainly passed a deadline.
func (c *workerClock) passed(deadline int64) time.Duration {
	left := float64(deadline-c.reading) / (1 - workerDrift)
	return c.at + time.Duration(left*float64(time.Millisecond)) + settleMargin
}
