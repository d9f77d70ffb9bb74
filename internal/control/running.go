package control

import (
	"slices"
	"sync"

	"laburnumgrade/gen/apiv1"
)

// runningTable holds what each worker reported to run last. A heartbeat that is
// held was overtaken by reports of ends, so its own list is out of date.
type runningTable struct {
	mu       sync.Mutex
	byWorker map[string]runningReport
}

type runningReport struct {
	incarnation, sequence uint64
	running               []uint64
}

func newRunningTable() *runningTable { return &runningTable{byWorker: map[string]runningReport{}} }

// report enters a heartbeat and returns true, unless a later one was entered
// before.
func (t *runningTable) report(r *apiv1.HeartbeatRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.byWorker[r.WorkerId]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Sequence < last.sequence {
		return false
	}
	t.byWorker[r.WorkerId] = runningReport{r.Incarnation, r.Sequence, r.Running}
	return true
}

// latest returns the last report if it is later than the heartbeat.
func (t *runningTable) latest(r *apiv1.HeartbeatRequest) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.byWorker[r.WorkerId]
	if last.incarnation == r.Incarnation && last.sequence > r.Sequence {
		return slices.Clone(last.running)
	}
	return r.Running
}
