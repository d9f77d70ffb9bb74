package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/statev1"
)

// begin starts a call and waits until it runs on an instance, which must delay its
// answer.
func (c *cell) begin(t *testing.T, e *testEntry) <-chan *apiv1.CallResponse {
	t.Helper()
	id := newID()
	got := make(chan *apiv1.CallResponse, 1)
	go func() {
		got <- c.sendTo(t, e, &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("body"), DeadlineMs: longDeadline.Milliseconds()})
	}()
	waitFor(t, func() bool { return c.ran(id) == 1 })
	return got
}

// Guards against requests that a graceful shutdown aborts: a call, a forwarded call,
// a call that waits for a slot and a delayed heartbeat end as they would without the
// shutdown. It also guards against new calls during a drain, and against slots that
// are released too early or not at all.
func TestDrainFinishesRequestsAndReleasesSlots(t *testing.T) {
	for name, spec := range map[string]func(*statev1.WorkSpec){"non-idempotent": nonIdempotent, "idempotent": idempotent} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, spec, "a")
			other := startEntry(t, "b", c.control)
			waitFor(t, func() bool { return other.follower.Store().Document("t", "s") != nil && other.Ready() == nil })
			a, in := c.entries[0], c.instances[0]
			in.hold = make(chan struct{})
			local := c.begin(t, a)
			forwarded := c.begin(t, other)
			for range 6 {
				c.begin(t, a)
			}
			waits := make(chan *apiv1.CallResponse, 1)
			go func() { waits <- c.send(t, newID(), longDeadline) }()
			waitFor(t, func() bool {
				return a.routes.Load(serviceID(&apiv1.CallRequest{Team: "t", Service: "s"}), 0).WaitingCalls == 1
			})
			heartbeat := make(chan *apiv1.HeartbeatResponse, 1)
			go func() {
				target := apiv1connect.NewTargetServiceClient(a.client, "http://"+a.public.Address())
				r, err := target.Heartbeat(context.Background(), connect.NewRequest(&apiv1.HeartbeatRequest{DataCentre: "x", WaitMs: 1000}))
				assert.NilError(t, err)
				heartbeat <- r.Msg
			}()
			waitFor(t, func() bool { return c.control.requestCount("Heartbeat") == 1 })
			done := make(chan error, 1)
			go func() { done <- a.Shutdown(context.Background(), a.public, a.peers) }()
			waitFor(t, func() bool { return a.Ready() != nil })
			refused := c.send(t, newID(), longDeadline)
			assert.Equal(t, refused.Outcome, notRun)
			assert.Assert(t, strings.Contains(refused.Detail, "shutting down"), refused.Detail)
			refused = c.sendTo(t, other, &apiv1.CallRequest{RequestId: newID(), Team: "t", Service: "s", DeadlineMs: 300})
			assert.Equal(t, refused.Outcome, notRun, refused.Detail)
			time.Sleep(2 * drainRefusalTime)
			c.control.mu.Lock()
			assert.Equal(t, len(c.control.released), 0, "slots were released while calls use them")
			c.control.mu.Unlock()
			in.releaseHold()
			c.control.releaseHold()
			for _, got := range []<-chan *apiv1.CallResponse{local, forwarded, waits} {
				r := <-got
				assert.Equal(t, r.Outcome, ok, r.Detail)
				assert.Equal(t, string(r.Body), "body")
			}
			assert.Equal(t, (<-heartbeat).Sequence, uint64(77))
			assert.NilError(t, <-done)
			c.control.mu.Lock()
			assert.DeepEqual(t, c.control.released, []uint64{5})
			c.control.mu.Unlock()
		})
	}
}

// Guards against a shutdown that does not end, and against callers that get no answer
// when its time limit is reached: a call that was sent is answered as unknown, one
// that waits for a slot as not run, and both are logged.
func TestDrainTimeoutAnswersCallsInProgress(t *testing.T) {
	c := newCell(t, idempotent, "a")
	a, in := c.entries[0], c.instances[0]
	in.hold = make(chan struct{})
	var sent []<-chan *apiv1.CallResponse
	for range 8 {
		sent = append(sent, c.begin(t, a))
	}
	waits := make(chan *apiv1.CallResponse, 1)
	go func() { waits <- c.send(t, newID(), longDeadline) }()
	waitFor(t, func() bool { return a.activeCalls.count.Load() == 9 })
	limit, cancel := context.WithTimeout(context.Background(), drainRefusalTime+200*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, a.Shutdown(limit, a.public, a.peers), "9 calls abandoned")
	for _, got := range sent {
		assert.Equal(t, (<-got).Outcome, unknown)
	}
	assert.Equal(t, (<-waits).Outcome, notRun)
	assert.Equal(t, strings.Count(a.log.String(), `"answered":"outcome unknown"`), 8)
	assert.Equal(t, strings.Count(a.log.String(), `"answered":"not run"`), 1)
	in.releaseHold()
}
