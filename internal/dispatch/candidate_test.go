package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

// Guards against a plan without a worker that was added, or with one that was removed, because
// the order of an earlier plan is used.
func TestWorkersInOrderFollowChanges(t *testing.T) {
	var copies attemptCopies
	for _, ids := range [][]string{{}, {"b", "a", "c"}, {"b", "a", "c"}, {"b", "d", "c"}, {"d"}, {"d", "a"}, {}} {
		workers := map[string]*cell.Worker{}
		for _, id := range ids {
			workers[id] = &cell.Worker{ID: id}
		}
		list := copies.inOrder(workers)
		assert.Equal(t, len(list), len(workers))
		for i, w := range list {
			assert.Assert(t, w == workers[w.ID])
			assert.Assert(t, i == 0 || list[i-1].ID < w.ID)
		}
	}
}
