package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a lease that is renewed while its end is being committed, and
// against a grant that a delayed CompleteExpiry forgets.
func TestEndedLeaseIsNotRenewed(t *testing.T) {
	table := NewTable(WorkerDuration)
	assert.Assert(t, table.Renew("w", 1, 1))
	ended := time.Duration(1) + AddDriftMargin(WorkerDuration)
	assert.Assert(t, !table.BeginExpiry("w", 1, ended-1))
	assert.Assert(t, table.BeginExpiry("w", 1, ended))
	assert.Assert(t, !table.Renew("w", 1, ended))
	table.CompleteExpiry("w", 1)
	assert.Assert(t, table.Renew("w", 1, ended))
	table.CompleteExpiry("w", 1)
	assert.Assert(t, !table.BeginExpiry("w", 1, ended+1))
}

// Guards against a new leader that ends a lease which an earlier leader may
// have granted, and against a handler of an earlier leadership.
func TestNewLeadershipWaitsOutEarlierLeases(t *testing.T) {
	table := NewTable(WorkerDuration)
	assert.Assert(t, table.Renew("w", 1, 1))
	since := time.Minute
	assert.Assert(t, !table.BeginExpiry("w", since, since+WorkerDuration))
	assert.Assert(t, !table.Renew("w", 1, since))
	assert.Assert(t, table.BeginExpiry("w", since, since+AddDriftMargin(WorkerDuration)))
}
