package gang

import (
	"time"

	"laburnumgrade/internal/share"
)

// DefaultBackfillGrace is how long after a reservation's start backfilled work that
// may be interrupted is left to end by itself.
const DefaultBackfillGrace = 10 * time.Second

// BackfillEnd says until when work that would use reserved workers must be
// assumed to run, from its prediction at a high quantile.
//
// Work that may be interrupted is believed: if it overruns, it is interrupted
// Grace after the reservation's start, so it delays the gang by at most Grace
// and the time to stop it. Other work is assumed to run MaxUnderestimateFactor times
// its prediction, so it delays the gang only by what exceeds even that.
func BackfillEnd(now, predicted time.Duration, interruptible bool) time.Duration {
	if interruptible {
		return now + predicted
	}
	return now + share.MaxUnderestimateFactor*predicted
}

// BackfillOverdue reports whether backfilled work that may be interrupted is to be
// interrupted because the reservation's start has passed by more than grace.
func BackfillOverdue(start, now, grace time.Duration) bool { return now >= start+grace }

// ExpectedEnd returns the time at which running work is expected to end. Work
// that has overrun its prediction is expected to run as long again as it
// overran, at least a second.
func ExpectedEnd(predictedEnd, now time.Duration) time.Duration {
	if predictedEnd > now {
		return predictedEnd
	}
	return now + max(now-predictedEnd, time.Second)
}
