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
