package dispatch

import (
	"runtime"
	"time"

	"laburnumgrade/internal/port"
)

const (
	// maxPlanSlice is the processor time after which a plan is interrupted. It is a part of
	// the interval of heartbeats, which may share one core with the planner.
	maxPlanSlice = 10 * time.Millisecond
	// yieldInterval is how long the planner computes, at least, before it lets other goroutines
	// run.
	yieldInterval = time.Millisecond
	// planPauseFactor is the ratio of the pause after planning to the processor time that it
	// used, so that planning takes at most one third of a core.
	planPauseFactor = 2
)

// planPause returns the pause that follows planning for a time.
func planPause(used time.Duration) time.Duration { return max(minPlanGap, planPauseFactor*used) }

// processorUse measures the time for which the planner computes. The time for which other
// goroutines run, or the planner waits, does not count.
type processorUse struct {
	clock port.Clock
	// used is the time until the last call of stop or yield; resumed is when the
	// computation began or continued after it.
	used, resumed time.Duration
	// delay is the longest time for which other goroutines ran when they were let run.
	delay time.Duration
	// simulate, if not nil, takes the processor time of a number of steps that were timed, or of
	// one that was decided on, and with none of them lets others run: in simulated time
	// computing takes none.
	simulate func(u *processorUse, timed int, decided *readyStep)
}

// newProcessorUse starts a measurement.
func newProcessorUse(clock port.Clock) *processorUse {
	return &processorUse{clock: clock, resumed: clock.Now()}
}

// newProcessorUse starts a measurement for the planner of the term.
func (t *term) newProcessorUse() *processorUse {
	u := newProcessorUse(t.leader.Clock)
	u.simulate = t.leader.simulateUse
	return u
}

// did records that steps were timed, or that one was decided on.
func (u *processorUse) did(timed int, decided *readyStep) {
	if u.simulate != nil {
		u.simulate(u, timed, decided)
	}
}

// stop interrupts the measurement until resume is called.
func (u *processorUse) stop() { u.used = u.spent() }

// resume continues the measurement.
func (u *processorUse) resume() { u.resumed = u.clock.Now() }

// yield lets other goroutines run once every yieldInterval.
func (u *processorUse) yield() {
	if now := u.clock.Now(); now-u.resumed >= u.yieldAfter() {
		u.used += now - u.resumed
		runtime.Gosched()
		u.resume()
		u.delay = max(u.delay, u.resumed-now)
	}
}

// yieldAfter returns how long the planner computes before it lets other goroutines run: a
// share of the time for which it has waited for its turn. On a busy processor it would
// otherwise get only yieldInterval in each turn, and all starts would wait for it.
func (u *processorUse) yieldAfter() time.Duration {
	return max(yieldInterval, min(u.delay/planPauseFactor, maxPlanSlice))
}

// waitTurn lets all goroutines run that are ready to, so that delay is known.
func (u *processorUse) waitTurn() {
	u.did(0, nil)
	u.stop()
	began := u.clock.Now()
	runtime.Gosched()
	u.resume()
	u.delay = max(u.delay, u.resumed-began)
}

// spent returns the time used so far.
func (u *processorUse) spent() time.Duration { return u.used + u.clock.Now() - u.resumed }

// below returns a function that yields and reports whether less than a limit was used.
func (u *processorUse) below(limit time.Duration) func() bool {
	return func() bool {
		u.yield()
		return u.used < limit
	}
}
