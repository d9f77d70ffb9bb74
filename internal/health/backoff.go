package health

import "time"

// Backoff is an exponential delay with jitter.
type Backoff struct {
	// Base is the longest delay before the first retry; it doubles with each
	// further retry.
	Base time.Duration
	// Limit is the longest delay before any retry.
	Limit time.Duration
}

// DefaultRestartBackoff returns the delays between restarts of a task.
func DefaultRestartBackoff() Backoff {
	return Backoff{Base: 500 * time.Millisecond, Limit: 2 * time.Minute}
}

// Delay returns the delay before retry n, where the first retry is 1. With d as
// the smaller of Base x 2^(n-1) and Limit, it is d/2 for random 0 and approaches
// d as random, which must be in [0, 1), approaches 1.
func (b Backoff) Delay(n int, random float64) time.Duration {
	d := b.Base
	for i := 1; i < n && d < b.Limit; i++ {
		d *= 2
	}
	d = min(d, b.Limit)
	return d/2 + time.Duration(random*float64(d/2))
}

// Budget bounds the number of restarts to a fraction of the number of successes,
// plus a reserve, which permits restarts before anything has succeeded.
type Budget struct {
	// PerSuccess is the number of restarts that each success permits.
	PerSuccess float64
	// Reserve is the number of restarts that a new budget permits, and the most
	// that it permits without a success in between.
	Reserve float64
	// spent is the part of Reserve that is in use.
	spent float64
}

// DefaultBudget returns a budget of one restart per ten successes, with a
// reserve of 100 restarts.
func DefaultBudget() Budget { return Budget{PerSuccess: 0.1, Reserve: 100} }

// Succeeded adds PerSuccess restarts to the budget, up to Reserve.
func (b *Budget) Succeeded() { b.spent = max(0, b.spent-b.PerSuccess) }

// Take uses one restart of the budget. It returns false and uses nothing if the
// budget is exhausted.
func (b *Budget) Take() bool {
	if b.spent+1 > b.Reserve {
		return false
	}
	b.spent++
	return true
}
