package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
)

// Guards against returning allotment to the fleet group while running tasks still
// use it, and against removing a transfer before its return is confirmed.
func TestTransferIsReturnedOnceWorkFits(t *testing.T) {
	f := newFixture(t, &statev1.WorkSpec{})
	attempt := f.place().AttemptID
	f.do(&statev1.GiveAllotment{Team: "a", Transfer: 1, Amount: &apiv1.Resources{MilliCpu: 999_500}})
	assert.Equal(t, len(f.store.ReturnableTransfers("a")), 0)
	f.end(&statev1.EndAttempt{AttemptId: attempt, Outcome: apiv1.Outcome_OUTCOME_OK})
	assert.Equal(t, len(f.store.ReturnableTransfers("a")), 1)
	assert.Assert(t, f.do(&statev1.GiveAllotment{Team: "a", Transfer: 1, Amount: &apiv1.Resources{MilliCpu: 1}}).Duplicate)
	f.do(&statev1.ConfirmReturn{Team: "a", Transfer: 0})
	assert.Equal(t, len(f.store.ReturnableTransfers("a")), 1)
	f.do(&statev1.ConfirmReturn{Team: "a", Transfer: 1})
	assert.Equal(t, len(f.store.ReturnableTransfers("a")), 0)
}
