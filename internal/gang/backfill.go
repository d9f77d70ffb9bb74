package gang

import (
	"time"

	"laburnumgrade/internal/share"
)

// DefaultBackfillGrace is how long interruptible backfilled work may run past
// the start of the reservation before it is interrupted.
const DefaultBackfillGrace = 10 * time.Second

// minExpectedOverrun is the least time that work past its prediction is
// expected to continue.
const minExpectedOverrun = time.Second

// BackfillEnd returns the time until which a task started now on reserved
// workers must be assumed to run. predicted is a high quantile of its run time.
//
// For interruptible work this is the prediction itself: if the task overruns,
// it is interrupted when the grace after the reservation's start has passed, so
// it delays the gang by at most the grace and the time that stopping takes.
// Other work is assumed to run share.MaxUnderestimateFactor times as long as
// predicted, and delays the gang only by what exceeds that.
func BackfillEnd(now, predicted time.Duration, interruptible bool) time.Duration {
	if interruptible {
		return now + predicted
	}
	return now + share.MaxUnderestimateFactor*predicted
}

// BackfillOverdue reports whether interruptible backfilled work must be
// interrupted because at least grace has passed since the reservation's start.
func BackfillOverdue(start, now, grace time.Duration) bool { return now >= start+grace }

// ExpectedEnd returns the time at which running work is expected to end. Work
// that is past its predicted end is expected to run for as long again as it has
// overrun, and for at least a second.
func ExpectedEnd(predictedEnd, now time.Duration) time.Duration {
	if predictedEnd > now {
		return predictedEnd
	}
	return now + max(now-predictedEnd, minExpectedOverrun)
}
