package pause

import (
	"context"
	"net/http"
	"net/http/httptest"
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

// Guards against a request whose head came just after a pause and whose body came so late that
// it is taken for a new one.
func TestRequestStaysMarkedUntilItsBodyHasCome(t *testing.T) {
	clock := &manualClock{}
	d := New(clock)
	waited := false
	handler := d.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		clock.now += afterPause
		waited = d.MayHaveWaited(r.Context())
	}))
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	clock.now += minPause
	handler.ServeHTTP(httptest.NewRecorder(), request)
	assert.Assert(t, waited)
	handler.ServeHTTP(httptest.NewRecorder(), request)
	assert.Assert(t, !waited)
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
