package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
)

// TestGrantsStayWithinThePool guards against a delayed grant that exceeds the pool
// after other grants or a lowered limit, and against a grant that is applied twice.
func TestGrantsStayWithinThePool(t *testing.T) {
	s := New()
	document := func(index, replaces uint64, limit int64) {
		c := putDocumentCommand("", replaces, 0)
		c.GetPutDocument().Limit = &apiv1.Resources{MilliCpu: limit}
		assert.Equal(t, applyTo(t, s, index, c).Refusal, "")
	}
	grant := func(index, number uint64, dc string, amount int64) *statev1.FleetResult {
		return applyTo(t, s, index, &statev1.FleetCommand{Command: &statev1.FleetCommand_GrantAllotment{GrantAllotment: &statev1.GrantAllotment{
			Team: "a", DataCentre: dc, Grant: number, Amount: &apiv1.Resources{MilliCpu: amount},
		}}})
	}
	document(1, 0, 10)
	assert.Equal(t, grant(2, 1, "x", 6).Refusal, "")
	assert.Assert(t, grant(3, 1, "x", 1).Duplicate)
	assert.Assert(t, grant(4, 1, "y", 5).Refusal != "")
	document(5, 1, 4)
	_, pool := s.Limit("a")
	assert.Equal(t, pool.MilliCPU, int64(-2))
	assert.Assert(t, grant(6, 1, "y", 1).Refusal != "")
}
