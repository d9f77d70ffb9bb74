package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/port"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// Guards against a request that waited during a pause and is taken for a new one because its
// goroutine continues before the one that reads the clock.
func TestPauseIsDetectedByFirstCaller(t *testing.T) {
	clock := &manualClock{}
	d := New(clock)
	clock.now += minPause - time.Millisecond
	assert.Assert(t, !d.JustResumed())
	clock.now += minPause
	assert.Assert(t, d.JustResumed())
	clock.now += afterPause - time.Millisecond
	assert.Assert(t, d.JustResumed())
	clock.now += time.Millisecond
	assert.Assert(t, !d.JustResumed())
	assert.Assert(t, !(*Detector)(nil).JustResumed())
}

// Guards against requests that are refused because no request has come for a while.
func TestIdleProcessIsNotPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(port.NewSystemClock())
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx)
		time.Sleep(time.Minute)
		assert.Assert(t, !d.JustResumed())
		cancel()
		synctest.Wait()
	})
}
