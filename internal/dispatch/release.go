package dispatch

import (
	"time"

	"laburnumgrade/internal/reservation"
)

const (
	// minExtrapolatedPercent is the progress from which the end of an attempt is taken from
	// its progress instead of from the estimate of its task.
	minExtrapolatedPercent = 10
	// unknownRunTime is the time until the end of an attempt of which nothing is known.
	unknownRunTime = time.Second
)

// expectAttempt records how long an attempt that is about to be started should run.
func (s *session) expectAttempt(k attemptKey, expected time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptInfo(k).expected = expected
}

// releasesOf returns what should become free on a worker as its attempts end. Attempts
// that serve have no end.
func (t *term) releasesOf(c *candidate, now time.Duration) []reservation.Release {
	s := t.session(c.id, c.born)
	if s == nil {
		return nil
	}
	releases := make([]reservation.Release, 0, len(c.worker.Attempts))
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, a := range c.worker.Attempts {
		if end, ends := s.attempts[attemptKey{task, a.Run}].expectedEnd(c.runTimeFactor, now); ends {
			releases = append(releases, reservation.Release{At: end, Amount: a.Claim()})
		}
	}
	return releases
}

// expectedEnd returns when an attempt should end on a worker with a run time factor. ends
// is false if it serves. The caller holds the session's lock.
func (i *attemptInfo) expectedEnd(factor float64, now time.Duration) (at time.Duration, ends bool) {
	switch {
	case i == nil:
		return now + unknownRunTime, true
	case i.percent >= fullPace && i.servingSince > 0:
		return 0, false
	case i.percent >= minExtrapolatedPercent && i.confirmed:
		return i.progressAt + time.Duration(float64(i.progressAt-i.confirmedAt)*(fullPace-i.percent)/i.percent), true
	case i.expected == 0:
		return now + unknownRunTime, true
	case i.confirmed:
		return i.confirmedAt + time.Duration(factor*float64(i.expected)), true
	default:
		return now + time.Duration(factor*float64(i.expected)), true
	}
}
