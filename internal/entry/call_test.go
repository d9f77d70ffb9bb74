package entry

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/lease"
)

const (
	ok      = apiv1.Outcome_OUTCOME_OK
	notRun  = apiv1.Outcome_OUTCOME_NOT_RUN
	unknown = apiv1.Outcome_OUTCOME_UNKNOWN
	failed  = apiv1.Outcome_OUTCOME_FAILED

	longDeadline = 20 * time.Second
)

// earnRetries records enough successes for the given number of retries.
func earnRetries(s *Server, retries int) {
	for range retries * 10 {
		s.routes.RecordSuccess(serviceID(&apiv1.CallRequest{Team: "t", Service: "s"}))
	}
}

// Guards against answers that do not belong to the call, a second run of a
// non-idempotent call, and the outcome "not run" for a call that may have run. The
// call meets a fault and is then sent again with the same id.
func TestCallOutcomesUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		spec    func(*statev1.WorkSpec)
		holders []string
		retries int
		fault   func(*cell)
		want    apiv1.Outcome
		detail  string
		runs    int
		resend  apiv1.Outcome
		// runsAfter is the number of runs after the resend, the first included.
		runsAfter int
	}{
		{"non-idempotent: no fault", nonIdempotent, []string{"a"}, 0, func(*cell) {}, ok, "", 1, ok, 1},
		{"non-idempotent: reply lost before running", nonIdempotent, []string{"a"}, 9, func(c *cell) { c.instances[0].setFaults("Invoke", requestLost, delivered) }, unknown, "call instance (peer i0 at ", 0, unknown, 0},
		{"non-idempotent: reply lost after running", nonIdempotent, []string{"a", "a"}, 9, func(c *cell) { c.each("Invoke", replyLost) }, unknown, "call instance (peer i", 1, unknown, 1},
		{"non-idempotent: crossed reply", nonIdempotent, []string{"a"}, 9, func(c *cell) { c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.RequestId = "other" } }, unknown, "belongs to request other", 1, unknown, 1},
		{"non-idempotent: other attempt", nonIdempotent, []string{"a"}, 9, func(c *cell) { c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.Attempt++ } }, unknown, "attempt 2", 1, unknown, 1},
		{"non-idempotent: truncated body", nonIdempotent, []string{"a"}, 9, func(c *cell) { c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.Body = r.Body[:2] } }, unknown, "does not match its length 4", 1, unknown, 1},
		{"non-idempotent: wrong digest", nonIdempotent, []string{"a"}, 9, func(c *cell) { c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.Digest++ } }, unknown, "digest", 1, unknown, 1},
		{"non-idempotent: call failed", nonIdempotent, []string{"a"}, 9, func(c *cell) {
			c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.Outcome = failed }
		}, failed, "", 1, failed, 1},
		{"non-idempotent: instance does not listen", nonIdempotent, []string{"a"}, 0, func(c *cell) { c.instances[0].stopListening() }, notRun, "call instance (peer i0", 0, notRun, 0},
		{"non-idempotent: one of two does not listen", nonIdempotent, []string{"a", "a"}, 0, func(c *cell) { c.instances[0].stopListening() }, ok, "", 1, ok, 1},
		{"non-idempotent: grant lost before recording", nonIdempotent, []string{"a"}, 0, func(c *cell) { c.control.setFaults("RecordRequest", requestLost, delivered) }, ok, "", 1, ok, 1},
		{"non-idempotent: grant reply lost", nonIdempotent, []string{"a"}, 0, func(c *cell) { c.control.setFaults("RecordRequest", replyLost, delivered) }, ok, "", 1, ok, 1},
		{"non-idempotent: leader hangs", nonIdempotent, []string{"a"}, 0, func(c *cell) {
			c.control.setFaults("RecordRequest", neverAnswered, delivered)
			c.control.setFaults("EndRequest", neverAnswered, delivered)
		}, ok, "", 1, ok, 1},
		{"non-idempotent: end reply lost", nonIdempotent, []string{"a"}, 0, func(c *cell) { c.control.setFaults("EndRequest", replyLost, delivered) }, ok, "", 1, ok, 1},
		{"non-idempotent: end lost twice", nonIdempotent, []string{"a"}, 0, func(c *cell) { c.control.setFaults("EndRequest", requestLost, requestLost, delivered) }, ok, "", 1, ok, 1},
		{"non-idempotent: forwarded", nonIdempotent, []string{"b"}, 0, func(*cell) {}, ok, "", 1, ok, 1},
		{"non-idempotent: forward lost before", nonIdempotent, []string{"b"}, 9, func(c *cell) { c.entries[1].peerFaults.setFaults("Forward", requestLost, delivered) }, unknown, "forward (peer b at ", 0, unknown, 0},
		{"non-idempotent: forward reply lost", nonIdempotent, []string{"b"}, 9, func(c *cell) { c.entries[1].peerFaults.setFaults("Forward", replyLost, delivered) }, unknown, "forward (peer b at ", 1, unknown, 1},
		{"non-idempotent: forwarded reply lost", nonIdempotent, []string{"b"}, 9, func(c *cell) { c.instances[0].setFaults("Invoke", replyLost) }, unknown, "call instance (peer i0", 1, unknown, 1},
		{"non-idempotent: forward refused by a draining entry", nonIdempotent, []string{"b", "a"}, 0, func(c *cell) { c.entries[1].draining.Store(true) }, ok, "", 1, ok, 1},
		{"idempotent: reply lost, no budget", idempotent, []string{"a", "a"}, 0, func(c *cell) { c.each("Invoke", replyLost) }, unknown, "call instance", 1, unknown, 2},
		{"idempotent: reply lost, retried", idempotent, []string{"a", "a"}, 1, func(c *cell) { c.each("Invoke", replyLost, delivered) }, unknown, "call instance", 2, ok, 3},
		{"idempotent: reply lost, retried elsewhere", idempotent, []string{"a", "a"}, 2, func(c *cell) {
			c.instances[0].setFaults("Invoke", requestLost)
		}, ok, "", 1, ok, 2},
		{"idempotent: crossed reply retried", idempotent, []string{"a", "a"}, 2, func(c *cell) {
			c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.RequestId = "other" }
		}, ok, "", 2, ok, 4},
		{"idempotent: forward lost, retried", idempotent, []string{"b", "b"}, 9, func(c *cell) { c.entries[1].peerFaults.setFaults("Forward", requestLost, delivered) }, ok, "", 1, ok, 2},
		{"idempotent: failed is not retried", idempotent, []string{"a", "a"}, 9, func(c *cell) {
			for _, in := range c.instances {
				in.answer = func(r *apiv1.InvokeResponse) { r.Outcome = failed }
			}
		}, failed, "", 1, failed, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(t, c.spec, c.holders...)
			earnRetries(cell.entries[0].Server, c.retries)
			c.fault(cell)
			id := newID()
			got := cell.send(t, id, longDeadline)
			assert.Equal(t, got.Outcome, c.want, got.Detail)
			assert.Assert(t, strings.Contains(got.Detail, c.detail), got.Detail)
			assert.Equal(t, cell.ran(id), c.runs)
			if got.Outcome == ok {
				assert.Equal(t, string(got.Body), "body")
			}
			again := cell.send(t, id, longDeadline)
			assert.Equal(t, again.Outcome, c.resend, again.Detail)
			assert.Equal(t, cell.ran(id), c.runsAfter)
		})
	}
}

// each sets the faults of a method for all instances.
func (c *cell) each(method string, list ...messageFault) {
	for _, in := range c.instances {
		in.setFaults(method, list...)
	}
}

// Guards against an answer that is dropped because it arrives after the deadline:
// a resend gets it, and the request runs once. It also guards against a resend that
// is answered at once while the first try is still in progress.
func TestResendGetsLateAnswer(t *testing.T) {
	for _, holder := range []string{"a", "b"} {
		for resendTo := range 2 {
			t.Run(fmt.Sprintf("held by %s, resent to %d", holder, resendTo), func(t *testing.T) {
				c := newCell(t, nonIdempotent, holder, "b")
				for _, in := range c.instances {
					in.hold = make(chan struct{})
				}
				// On a busy machine a call may reach its deadline before it is sent; it has
				// not run then.
				var id string
				first := &apiv1.CallResponse{Outcome: notRun}
				for deadline := 100 * time.Millisecond; first.Outcome == notRun && deadline < longDeadline; deadline *= 2 {
					id = newID()
					first = c.send(t, id, deadline)
					assert.Assert(t, first.Outcome != notRun || c.ran(id) == 0, first.Detail)
				}
				assert.Equal(t, first.Outcome, unknown, first.Detail)
				records := c.control.requestCount("RecordRequest")
				again := make(chan *apiv1.CallResponse)
				go func() {
					again <- c.sendTo(t, c.entries[resendTo], &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("body"), DeadlineMs: longDeadline.Milliseconds()})
				}()
				waitFor(t, func() bool { return c.control.requestCount("RecordRequest") > records })
				for _, in := range c.instances {
					in.releaseHold()
				}
				got := <-again
				assert.Equal(t, got.Outcome, ok, got.Detail)
				assert.Equal(t, string(got.Body), "body")
				assert.Equal(t, c.ran(id), 1)
			})
		}
	}
}

// Guards against an idempotent call that waits for a slow instance until its
// deadline although another instance would answer.
func TestSlowIdempotentCallIsRetried(t *testing.T) {
	c := newCell(t, idempotent, "a", "a")
	earnRetries(c.entries[0].Server, 1)
	c.instances[0].hold = make(chan struct{})
	id := newID()
	// The retry has half of the deadline, which has to suffice on a busy machine.
	got := c.send(t, id, longDeadline/2)
	assert.Equal(t, got.Outcome, ok, got.Detail)
	assert.Equal(t, got.InstanceId, "i1")
	c.instances[0].releaseHold()
}

// Guards against a record that stays pending because its grant never reached the
// owner: the owner answers "not run" and records this outcome, so that a resend
// runs.
func TestRecordWithLostGrantIsEnded(t *testing.T) {
	c := newCell(t, nonIdempotent, "a")
	c.control.setFaults("RecordRequest", replyLost)
	id := newID()
	got := c.send(t, id, 200*time.Millisecond)
	assert.Equal(t, got.Outcome, notRun, got.Detail)
	c.control.setFaults("RecordRequest", delivered)
	waitFor(t, func() bool { return c.entries[0].background.Load() == 0 })
	got = c.send(t, id, longDeadline)
	assert.Equal(t, got.Outcome, ok, got.Detail)
	assert.Equal(t, c.ran(id), 1)
}

// Guards against the outcome "not run" for a resend whose earlier try ran, if the
// record cannot be read.
func TestResendIsNotRefusedAsNotRun(t *testing.T) {
	c := newCell(t, nonIdempotent, "a")
	id := newID()
	assert.Equal(t, c.send(t, id, longDeadline).Outcome, ok)
	c.control.setFaults("RecordRequest", requestLost)
	m := &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("body"), DeadlineMs: 100, Resend: true}
	got := c.sendTo(t, c.entries[0], m)
	assert.Equal(t, got.Outcome, unknown, got.Detail)
	c.entries[0].draining.Store(true)
	got = c.sendTo(t, c.entries[0], m)
	assert.Equal(t, got.Outcome, unknown, got.Detail)
}

// Guards against outcomes that are lost in a change of the leader: the new leader
// records them.
func TestOutcomeIsRecordedAfterLeaderChange(t *testing.T) {
	c := newCell(t, nonIdempotent, "a")
	c.instances[0].hold = make(chan struct{})
	id := newID()
	got := make(chan *apiv1.CallResponse)
	go func() { got <- c.send(t, id, longDeadline) }()
	waitFor(t, func() bool { return c.ran(id) == 1 })
	c.control.setLeader("127.0.0.1:1")
	c.instances[0].releaseHold()
	ends := c.control.requestCount("EndRequest")
	waitFor(t, func() bool { return c.control.requestCount("EndRequest") > ends })
	c.control.setLeader("")
	assert.Equal(t, (<-got).Outcome, ok)
	assert.Equal(t, c.send(t, id, longDeadline).Outcome, ok)
	assert.Equal(t, c.ran(id), 1)
}

// Guards against a request id so old that its record may have been deleted, and
// against the same id for two different requests.
func TestExpiredAndReusedRequestIDs(t *testing.T) {
	c := newCell(t, nonIdempotent, "a")
	old := "01000000-0000-7000-8000-000000000000"
	got := c.send(t, old, longDeadline)
	assert.Equal(t, got.Outcome, unknown)
	assert.Assert(t, strings.Contains(got.Detail, "outcome unknown: id expired"), got.Detail)
	id := newID()
	assert.Equal(t, c.send(t, id, longDeadline).Outcome, ok)
	got = c.sendTo(t, c.entries[0], &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("other"), DeadlineMs: 1000})
	assert.Equal(t, got.Outcome, notRun)
	assert.Equal(t, c.ran(id), 1)
}

// Guards against calls that are accepted after their key was withdrawn or the
// configuration lease expired, and against open queues that need either.
func TestKeysAndOpenQueues(t *testing.T) {
	c := newCell(t, idempotent, "a")
	c.control.putDocument("open", func(s *statev1.WorkSpec) { s.OpenQueue = true; s.Idempotent = true })
	in := c.control.instances[0]
	c.control.mu.Lock()
	c.control.instances = append(c.control.instances, &peerv1.Instance{
		InstanceId: "open", Incarnation: 1, Team: "t", Service: "open", Address: in.Address, Slots: 8, ValidMs: 1 << 40, Entry: "a",
	})
	c.control.mu.Unlock()
	open := func() apiv1.Outcome {
		return c.sendTo(t, c.entries[0], &apiv1.CallRequest{RequestId: newID(), Team: "t", Service: "open", DeadlineMs: 5000}).Outcome
	}
	waitFor(t, func() bool { return open() == ok })
	assert.Equal(t, c.send(t, newID(), longDeadline).Outcome, ok)
	c.control.withdrawKey()
	waitFor(t, func() bool { return c.send(t, newID(), longDeadline).Outcome == notRun })
	got := c.send(t, newID(), longDeadline)
	assert.Assert(t, strings.Contains(got.Detail, "not run: the key does not allow"), got.Detail)
	c.control.setFaults("RenewConfig", requestLost)
	assert.Equal(t, c.send(t, newID(), longDeadline).Detail, got.Detail)
	c.entries[0].leaseClock.advance(lease.ConfigDuration)
	waitFor(t, func() bool {
		return strings.Contains(c.send(t, newID(), longDeadline).Detail, "not run: this entry has no valid configuration lease")
	})
	assert.Equal(t, open(), ok)
}

// Guards against a call that is sent after it was answered as not run, if the
// deadline and the grant of a slot coincide.
func TestCallAnsweredAsNotRunIsNotSent(t *testing.T) {
	for range 1000 {
		p := &activeCall{}
		var sent, closed bool
		var wg sync.WaitGroup
		wg.Go(func() { sent = p.beginSend() })
		wg.Go(func() { closed = p.preventSend() })
		wg.Wait()
		assert.Assert(t, sent != closed, "sent %v, answered as not run %v", sent, closed)
	}
}
