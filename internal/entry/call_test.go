package entry

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
)

const (
	ok      = apiv1.Outcome_OUTCOME_OK
	notRunO = apiv1.Outcome_OUTCOME_NOT_RUN
	unknown = apiv1.Outcome_OUTCOME_UNKNOWN
	failed  = apiv1.Outcome_OUTCOME_FAILED

	longDeadline = 20 * time.Second
)

// earn gives the service retries by successes.
func earn(s *Server, retries int) {
	for range retries * 10 {
		s.routes.RecordSuccess(serviceOf(&apiv1.CallRequest{Team: "t", Service: "s"}))
	}
}

// TestCallFaults guards against answers that are not the instance's answer to
// this very call, against a second run of a non-idempotent call, and against
// "not run" for a call that may have run. The resend carries the same id.
func TestCallFaults(t *testing.T) {
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
		// runsAfter is the number of runs after the resend.
		runsAfter int
	}{
		{"once: no fault", once, []string{"a"}, 0, func(*cell) {}, ok, "", 1, ok, 1},
		{"once: reply lost before running", once, []string{"a"}, 9, func(c *cell) { c.instances[0].set("Invoke", lostBefore, passes) }, unknown, "call instance (peer i0 at ", 0, unknown, 0},
		{"once: reply lost after running", once, []string{"a", "a"}, 9, func(c *cell) { c.each("Invoke", lostAfter) }, unknown, "call instance (peer i", 1, unknown, 1},
		{"once: crossed reply", once, []string{"a"}, 9, func(c *cell) { c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.RequestId = "other" } }, unknown, "belongs to request other", 1, unknown, 1},
		{"once: other attempt", once, []string{"a"}, 9, func(c *cell) { c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.Attempt++ } }, unknown, "attempt 2", 1, unknown, 1},
		{"once: truncated body", once, []string{"a"}, 9, func(c *cell) { c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.Body = r.Body[:2] } }, unknown, "does not match its length 4", 1, unknown, 1},
		{"once: wrong digest", once, []string{"a"}, 9, func(c *cell) { c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.Digest++ } }, unknown, "digest", 1, unknown, 1},
		{"once: call failed", once, []string{"a"}, 9, func(c *cell) {
			c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.Outcome = failed }
		}, failed, "", 1, failed, 1},
		{"once: instance does not listen", once, []string{"a"}, 0, func(c *cell) { c.instances[0].server.Close() }, notRunO, "call instance (peer i0", 0, notRunO, 0},
		{"once: one of two does not listen", once, []string{"a", "a"}, 0, func(c *cell) { c.instances[0].server.Close() }, ok, "", 1, ok, 1},
		{"once: grant lost before recording", once, []string{"a"}, 0, func(c *cell) { c.control.set("RecordRequest", lostBefore, passes) }, ok, "", 1, ok, 1},
		{"once: grant reply lost", once, []string{"a"}, 0, func(c *cell) { c.control.set("RecordRequest", lostAfter, passes) }, ok, "", 1, ok, 1},
		{"once: leader hangs", once, []string{"a"}, 0, func(c *cell) {
			c.control.set("RecordRequest", hangs, passes)
			c.control.set("EndRequest", hangs, passes)
		}, ok, "", 1, ok, 1},
		{"once: end reply lost", once, []string{"a"}, 0, func(c *cell) { c.control.set("EndRequest", lostAfter, passes) }, ok, "", 1, ok, 1},
		{"once: end lost twice", once, []string{"a"}, 0, func(c *cell) { c.control.set("EndRequest", lostBefore, lostBefore, passes) }, ok, "", 1, ok, 1},
		{"once: forwarded", once, []string{"b"}, 0, func(*cell) {}, ok, "", 1, ok, 1},
		{"once: forward lost before", once, []string{"b"}, 9, func(c *cell) { c.entries[1].peerFates.set("Forward", lostBefore, passes) }, unknown, "forward (peer b at ", 0, unknown, 0},
		{"once: forward reply lost", once, []string{"b"}, 9, func(c *cell) { c.entries[1].peerFates.set("Forward", lostAfter, passes) }, unknown, "forward (peer b at ", 1, unknown, 1},
		{"once: forwarded reply lost", once, []string{"b"}, 9, func(c *cell) { c.instances[0].set("Invoke", lostAfter) }, unknown, "call instance (peer i0", 1, unknown, 1},
		{"once: forward refused by a draining entry", once, []string{"b", "a"}, 0, func(c *cell) { c.entries[1].draining.Store(true) }, ok, "", 1, ok, 1},
		{"idempotent: reply lost, no budget", idempotent, []string{"a", "a"}, 0, func(c *cell) { c.each("Invoke", lostAfter) }, unknown, "call instance", 1, unknown, 2},
		{"idempotent: reply lost, retried", idempotent, []string{"a", "a"}, 1, func(c *cell) { c.each("Invoke", lostAfter, passes) }, unknown, "call instance", 2, ok, 3},
		{"idempotent: reply lost, retried elsewhere", idempotent, []string{"a", "a"}, 2, func(c *cell) {
			c.instances[0].set("Invoke", lostBefore)
		}, ok, "", 1, ok, 2},
		{"idempotent: crossed reply retried", idempotent, []string{"a", "a"}, 2, func(c *cell) {
			c.instances[0].answer = func(r *apiv1.InvokeResponse) { r.RequestId = "other" }
		}, ok, "", 2, ok, 4},
		{"idempotent: forward lost, retried", idempotent, []string{"b", "b"}, 9, func(c *cell) { c.entries[1].peerFates.set("Forward", lostBefore, passes) }, ok, "", 1, ok, 2},
		{"idempotent: failed is not retried", idempotent, []string{"a", "a"}, 9, func(c *cell) {
			for _, in := range c.instances {
				in.answer = func(r *apiv1.InvokeResponse) { r.Outcome = failed }
			}
		}, failed, "", 1, failed, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(t, c.spec, c.holders...)
			earn(cell.entries[0].Server, c.retries)
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

func (c *cell) each(method string, list ...fate) {
	for _, in := range c.instances {
		in.set(method, list...)
	}
}

// TestLateAnswer guards against an answer that is dropped because the caller's
// time was over: the resend gets it, and the request runs once. It also guards
// against a resend that is answered at once while the first try is in progress.
func TestLateAnswer(t *testing.T) {
	for _, holder := range []string{"a", "b"} {
		for resendTo := range 2 {
			c := newCell(t, once, holder, "b")
			for _, in := range c.instances {
				in.hold = make(chan struct{})
			}
			id := newID()
			first := c.send(t, id, 100*time.Millisecond)
			assert.Equal(t, first.Outcome, unknown, first.Detail)
			again := make(chan *apiv1.CallResponse)
			go func() {
				again <- c.sendTo(t, c.entries[resendTo], &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("body"), DeadlineMs: longDeadline.Milliseconds()})
			}()
			records := c.control.count("RecordRequest")
			await(t, func() bool { return c.control.count("RecordRequest") > records })
			for _, in := range c.instances {
				in.letGo()
			}
			got := <-again
			assert.Equal(t, got.Outcome, ok, got.Detail)
			assert.Equal(t, string(got.Body), "body")
			assert.Equal(t, c.ran(id), 1)
		}
	}
}

// TestSlowInstance guards against an idempotent call that waits for a slow
// instance until its deadline although another instance would answer.
func TestSlowInstance(t *testing.T) {
	c := newCell(t, idempotent, "a", "a")
	earn(c.entries[0].Server, 1)
	c.instances[0].hold = make(chan struct{})
	id := newID()
	got := c.send(t, id, 2*time.Second)
	assert.Equal(t, got.Outcome, ok, got.Detail)
	assert.Equal(t, got.InstanceId, "i1")
	c.instances[0].letGo()
}

// TestRecordGrantLost guards against a record that stays pending because its
// grant never reached the owner: the owner answers "not run" and settles it, so
// that a resend runs.
func TestRecordGrantLost(t *testing.T) {
	c := newCell(t, once, "a")
	c.control.set("RecordRequest", lostAfter)
	id := newID()
	got := c.send(t, id, 200*time.Millisecond)
	assert.Equal(t, got.Outcome, notRunO, got.Detail)
	c.control.set("RecordRequest", passes)
	await(t, func() bool { return c.entries[0].background.Load() == 0 })
	got = c.send(t, id, longDeadline)
	assert.Equal(t, got.Outcome, ok, got.Detail)
	assert.Equal(t, c.ran(id), 1)
}

// TestResendIsNotRefusedAsNotRun guards against "not run" for a resend whose
// earlier try ran, when the record cannot be read.
func TestResendIsNotRefusedAsNotRun(t *testing.T) {
	c := newCell(t, once, "a")
	id := newID()
	assert.Equal(t, c.send(t, id, longDeadline).Outcome, ok)
	c.control.set("RecordRequest", lostBefore)
	m := &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("body"), DeadlineMs: 100, Resend: true}
	got := c.sendTo(t, c.entries[0], m)
	assert.Equal(t, got.Outcome, unknown, got.Detail)
	c.entries[0].draining.Store(true)
	got = c.sendTo(t, c.entries[0], m)
	assert.Equal(t, got.Outcome, unknown, got.Detail)
}

// TestLeaderChange guards against calls lost in a change of the leader: they are
// recorded by the new one.
func TestLeaderChange(t *testing.T) {
	c := newCell(t, once, "a")
	c.instances[0].hold = make(chan struct{})
	id := newID()
	got := make(chan *apiv1.CallResponse)
	go func() { got <- c.send(t, id, longDeadline) }()
	await(t, func() bool { return c.ran(id) == 1 })
	c.control.follow("127.0.0.1:1")
	c.instances[0].letGo()
	ends := c.control.count("EndRequest")
	await(t, func() bool { return c.control.count("EndRequest") > ends })
	c.control.follow("")
	assert.Equal(t, (<-got).Outcome, ok)
	assert.Equal(t, c.send(t, id, longDeadline).Outcome, ok)
	assert.Equal(t, c.ran(id), 1)
}

// TestIDs guards against ids whose record may have been forgotten and against
// one id for two contents.
func TestIDs(t *testing.T) {
	c := newCell(t, once, "a")
	old := "01000000-0000-7000-8000-000000000000"
	got := c.send(t, old, longDeadline)
	assert.Equal(t, got.Outcome, unknown)
	assert.Assert(t, strings.Contains(got.Detail, "outcome unknown: id expired"), got.Detail)
	id := newID()
	assert.Equal(t, c.send(t, id, longDeadline).Outcome, ok)
	got = c.sendTo(t, c.entries[0], &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("other"), DeadlineMs: 1000})
	assert.Equal(t, got.Outcome, notRunO)
	assert.Equal(t, c.ran(id), 1)
}

// TestKeys guards against keyed work after the key was withdrawn or the
// configuration lease ran out, and against open queues that stop with them.
func TestKeys(t *testing.T) {
	c := newCell(t, idempotent, "a")
	c.control.document("open", func(s *statev1.WorkSpec) { s.OpenQueue = true; s.Idempotent = true })
	in := c.control.instances[0]
	c.control.mu.Lock()
	c.control.instances = append(c.control.instances, &peerv1.Instance{
		InstanceId: "open", Incarnation: 1, Team: "t", Service: "open", Address: in.Address, Slots: 8, ValidMs: 1 << 40, Entry: "a",
	})
	c.control.mu.Unlock()
	open := func() apiv1.Outcome {
		return c.sendTo(t, c.entries[0], &apiv1.CallRequest{RequestId: newID(), Team: "t", Service: "open", DeadlineMs: 5000}).Outcome
	}
	await(t, func() bool { return open() == ok })
	assert.Equal(t, c.send(t, newID(), longDeadline).Outcome, ok)
	c.control.withdrawKey()
	await(t, func() bool { return c.send(t, newID(), longDeadline).Outcome == notRunO })
	got := c.send(t, newID(), longDeadline)
	assert.Assert(t, strings.Contains(got.Detail, "not run: the key does not allow"), got.Detail)
	c.control.set("RenewConfig", lostBefore)
	await(t, func() bool {
		return strings.Contains(c.send(t, newID(), longDeadline).Detail, "not run: this entry has no valid configuration lease")
	})
	assert.Equal(t, open(), ok)
}

// TestNotRunGate guards against a call that is sent after it was answered as not
// run, when the deadline and the grant of a slot coincide.
func TestNotRunGate(t *testing.T) {
	for range 1000 {
		p := &progress{}
		var sent, closed bool
		var wg sync.WaitGroup
		wg.Go(func() { sent = p.beginSend() })
		wg.Go(func() { closed = p.closeUnsent() })
		wg.Wait()
		assert.Assert(t, sent != closed, "sent %v, answered as not run %v", sent, closed)
	}
}
