package admission

import (
	"math"
	"time"
)

// startRateHalfLife is the age at which the start of a task has half the weight
// of a new one.
const startRateHalfLife = 30 * time.Second

// minRecentStarts is the decayed number of starts below which the rate is not
// used for an estimate.
const minRecentStarts = 5

// startRate is the rate at which the waiting tasks of a team start, averaged
// with exponential decay.
type startRate struct {
	starts float64 // decayed number of starts, as of updated
	// updated is on the caller's clock.
	updated time.Duration
}

func (s *startRate) decay(now time.Duration) {
	if now <= s.updated {
		return
	}
	s.starts *= math.Exp2(-float64(now-s.updated) / float64(startRateHalfLife))
	s.updated = now
}

func (s *startRate) add(tasks int, now time.Duration) {
	s.decay(now)
	s.starts += float64(tasks)
}

// estimateWait returns how long it takes until n tasks have started at the
// recent rate, or false if too few have started for an estimate.
func (s *startRate) estimateWait(n int, now time.Duration) (time.Duration, bool) {
	s.decay(now)
	if s.starts < minRecentStarts {
		return 0, false
	}
	// At a steady rate r the decayed number of starts is r x half-life / ln 2.
	rate := s.starts * math.Ln2 / float64(startRateHalfLife)
	return time.Duration(float64(n) / rate), true
}
