package entry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
)

// Guards against the outcome "not run" for a resend that the home group refused, while the
// record of an earlier try is still on its way to the group and may be granted.
func TestResendRefusedByHomeGroup(t *testing.T) {
	c := newCell(t, nonIdempotent, "a")
	c.control.refuseNewRecords("the key does not allow work for team t")
	m := &apiv1.CallRequest{RequestId: newID(), Team: "t", Service: "s", Body: []byte("body"), DeadlineMs: longDeadline.Milliseconds(), Resend: true}
	got := c.sendTo(t, c.entries[0], m)
	assert.Equal(t, got.Outcome, unknown, got.Detail)
	assert.Assert(t, strings.Contains(got.Detail, "the key does not allow work"), got.Detail)
	m.Resend, m.RequestId = false, newID()
	got = c.sendTo(t, c.entries[0], m)
	assert.Equal(t, got.Outcome, notRun, got.Detail)
}

// Guards against a record that stays pending after its owner has answered "not run": one
// try to make the record arrives late, after another one was refused. A resend would get
// "outcome unknown" and never run.
func TestLateRecordOfRefusedCallIsEnded(t *testing.T) {
	c := newCell(t, nonIdempotent, "a")
	c.control.setFaults("RecordRequest", deliveredLate, delivered)
	c.control.refuseNewRecords("the key does not allow work for team t")
	id := newID()
	got := c.send(t, id, longDeadline)
	assert.Equal(t, got.Outcome, notRun, got.Detail)
	c.control.refuseNewRecords("")
	c.control.releaseLate()
	waitFor(t, func() bool {
		_, known := c.control.store.Request(id)
		return known && c.entries[0].background.Load() == 0
	})
	got = c.send(t, id, longDeadline)
	assert.Equal(t, got.Outcome, ok, got.Detail)
	assert.Equal(t, c.ran(id), 1)
}

// Guards against the outcome "not run" for a resend that found no free slot, while an
// earlier try, whose record reaches the home group later, runs the call.
func TestResendWithoutSlotIsNotRefused(t *testing.T) {
	c := newCell(t, nonIdempotent, "a")
	a, in := c.entries[0], c.instances[0]
	in.hold = make(chan struct{})
	var others []<-chan *apiv1.CallResponse
	for range 8 { // the slots of the instance
		others = append(others, c.begin(t, a))
	}
	c.control.setFaults("RecordRequest", neverAnswered, delivered)
	seen := c.control.requestCount("RecordRequest")
	id := newID()
	first := make(chan *apiv1.CallResponse, 1)
	go func() { first <- c.send(t, id, longDeadline) }()
	waitFor(t, func() bool { return c.control.requestCount("RecordRequest") > seen })
	got := c.sendTo(t, a, &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("body"), DeadlineMs: 200, Resend: true})
	assert.Equal(t, got.Outcome, unknown, got.Detail)
	in.releaseHold()
	assert.Equal(t, (<-first).Outcome, ok)
	assert.Equal(t, c.ran(id), 1)
	for _, other := range others {
		assert.Equal(t, (<-other).Outcome, ok)
	}
}
