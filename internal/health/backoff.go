package health

import "time"

// Backoff is an exponential delay with jitter.
type Backoff struct {
	Base  time.Duration
	Limit time.Duration
}

// DefaultRestartBackoff paces the restarts of a task.
func DefaultRestartBackoff() Backoff {
	return Backoff{Base: 500 * time.Millisecond, Limit: 2 * time.Minute}
}

// Delay returns the delay before retry n, from 1: between half of
// Base x 2^(n-1) and all of it, at most Limit. random is in [0, 1).
func (b Backoff) Delay(n int, random float64) time.Duration {
	d := b.Base
	for i := 1; i < n && d < b.Limit; i++ {
		d *= 2
	}
	d = min(d, b.Limit)
	return d/2 + time.Duration(random*float64(d/2))
}

// Budget bounds restarts to a share of successes, with a small reserve so that
// restarts are possible before anything succeeded.
type Budget struct {
	// PerSuccess is the number of restarts that each success permits.
	PerSuccess float64
	// Reserve is the largest number of restarts saved up.
	Reserve float64
	spent   float64
}

// DefaultBudget permits restarts of a tenth of the successes.
func DefaultBudget() Budget { return Budget{PerSuccess: 0.1, Reserve: 100} }

// Succeeded adds to the budget.
func (b *Budget) Succeeded() { b.spent = max(0, b.spent-b.PerSuccess) }

// Take uses one restart of the budget, or returns false if there is none.
func (b *Budget) Take() bool {
	if b.spent+1 > b.Reserve {
		return false
	}
	b.spent++
	return true
}
