package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a lease that is renewed while its end is being committed, and
// against a grant that a delayed EndDone forgets.
func TestEndedLeaseIsNotRenewed(t *testing.T) {
	table := NewTable(Worker)
	assert.Assert(t, table.Renew("w", 1, 1))
	ended := time.Duration(1) + Stretch(Worker)
	assert.Assert(t, !table.BeginEnd("w", 1, ended-1))
	assert.Assert(t, table.BeginEnd("w", 1, ended))
	assert.Assert(t, !table.Renew("w", 1, ended))
	table.EndDone("w", 1)
	assert.Assert(t, table.Renew("w", 1, ended))
	table.EndDone("w", 1)
	assert.Assert(t, !table.BeginEnd("w", 1, ended+1))
}

// Guards against a new leader that ends a lease which an earlier leader may
// have granted, and against a handler of an earlier leadership.
func TestNewLeadershipWaitsOutEarlierLeases(t *testing.T) {
	table := NewTable(Worker)
	assert.Assert(t, table.Renew("w", 1, 1))
	since := time.Minute
	assert.Assert(t, !table.BeginEnd("w", since, since+Worker))
	assert.Assert(t, !table.Renew("w", 1, since))
	assert.Assert(t, table.BeginEnd("w", since, since+Stretch(Worker)))
}
