package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/statev1"
)

// Guards against two entries using the same slots. This could come about by a late
// duplicate of an assignment, or by one that a leader decided on before it was
// paused and that is applied under a later leadership.
func TestDelayedAssignmentOfSlotsIsRefused(t *testing.T) {
	f := newFixture(t, nil)
	f.do(&statev1.RegisterInstance{InstanceId: "i", Incarnation: 1, Slots: 8})
	assign := func(entry string, replaces, epoch uint64) string {
		return f.do(&statev1.AssignSlots{InstanceId: "i", Incarnation: 1, Entry: entry, Replaces: replaces, Epoch: epoch}).Refusal
	}
	assert.Equal(t, assign("e", 0, 1), "")
	assert.Assert(t, assign("f", 0, 1) != "")
	f.do(&statev1.BeginLeadership{})
	assert.Assert(t, assign("f", 1, 1) != "")
	assert.Equal(t, assign("f", 1, 2), "")
}
