package overload

import (
	"math"
	"time"
)

const (
	// lateThreshold is the lateness of the leader's loop from which it counts as overloaded:
	// renewals of leases of 1.8 s and heartbeats bear some of it.
	lateThreshold = 100 * time.Millisecond
	// latenessWeight is the weight of a sample in the averages.
	latenessWeight = 0.1
	// minStartsPerSecond is the least rate that is assumed, so that a leader that was held up
	// for a moment does not refuse everything.
	minStartsPerSecond = 50
	// decrease and increase are the factors on the rate for each sample that is late, and for
	// each that is not.
	decrease = 0.98
	increase = 1.05
)

// StartRate estimates how many task starts a second the leader can bear, from how late its
// loop is. The zero value knows no limit.
type StartRate struct {
	lateness float64 // average in seconds
	starts   float64 // average for each second
	limit    float64 // 0 if none is known
}

// Observe records that a loop that should have run after interval ran late by some time, and
// how many tasks were started since the last call.
func (r *StartRate) Observe(interval, late time.Duration, starts int) {
	r.lateness += latenessWeight * (late.Seconds() - r.lateness)
	r.starts += latenessWeight * (float64(starts)/(interval+late).Seconds() - r.starts)
	if r.lateness > lateThreshold.Seconds() {
		if r.limit == 0 {
			r.limit = r.starts
		}
		r.limit = max(minStartsPerSecond, min(r.limit, r.starts)*decrease)
		return
	}
	r.limit *= increase
	if r.limit > 2*r.starts+minStartsPerSecond {
		r.limit = 0
	}
}

// PerSecond returns the limit, infinite if none is known.
func (r *StartRate) PerSecond() float64 {
	if r.limit == 0 {
		return math.Inf(1)
	}
	return r.limit
}

// Lateness returns the average lateness of the loop.
func (r *StartRate) Lateness() time.Duration { return time.Duration(r.lateness * float64(time.Second)) }
