package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndedLeaseIsNotRenewed guards against a lease that is renewed while its
// expiry is being committed, and against a delayed CompleteExpiry that removes a
// lease granted after it was due.
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

// TestNewLeadershipWaitsOutEarlierLeases guards against a new leader that ends a
// lease which an earlier leader may have granted and which has not expired, and
// against a delayed handler of an earlier leadership that renews a lease.
func TestNewLeadershipWaitsOutEarlierLeases(t *testing.T) {
	table := NewTable(WorkerDuration)
	assert.Assert(t, table.Renew("w", 1, 1))
	since := time.Minute
	assert.Assert(t, !table.BeginExpiry("w", since, since+WorkerDuration))
	assert.Assert(t, !table.Renew("w", 1, since))
	assert.Assert(t, table.BeginExpiry("w", since, since+AddDriftMargin(WorkerDuration)))
}
