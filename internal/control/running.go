package control

import (
	"slices"
	"sync"

	"laburnumgrade/gen/apiv1"
)

// runningTable holds what each worker reported to run. Most heartbeats state
// only what has changed since a full one. A heartbeat that is held may be
// overtaken by reports of ends, so its own list is then out of date.
type runningTable struct {
	mu       sync.Mutex
	byWorker map[string]*runningReport
}

type runningReport struct {
	incarnation, sequence uint64
	running               []uint64
	// fullSequence is that of the last full heartbeat, full what it stated.
	fullSequence uint64
	full         []*apiv1.RunningAttempt
}

func newRunningTable() *runningTable { return &runningTable{byWorker: map[string]*runningReport{}} }

// complete fills in what a heartbeat leaves out; false if the full heartbeat
// that it follows is not the last one known.
func (t *runningTable) complete(r *apiv1.HeartbeatRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.byWorker[r.WorkerId]
	if r.FullSequence == 0 {
		return true
	}
	if last == nil || last.incarnation != r.Incarnation || last.fullSequence != r.FullSequence {
		return false
	}
	r.Attempts = runningAttempts(r)
	for _, a := range last.full {
		if !slices.Contains(r.Gone, a.AttemptId) && !slices.Contains(r.Running, a.AttemptId) {
			r.Attempts = append(r.Attempts, a)
			r.Running = append(r.Running, a.AttemptId)
		}
	}
	return true
}

// report enters a completed heartbeat and returns true, unless a later one was
// entered before.
func (t *runningTable) report(r *apiv1.HeartbeatRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.byWorker[r.WorkerId]
	if last == nil || r.Incarnation > last.incarnation {
		last = &runningReport{incarnation: r.Incarnation}
		t.byWorker[r.WorkerId] = last
	}
	if r.Incarnation < last.incarnation {
		return false
	}
	if r.FullSequence == 0 && r.Sequence >= last.fullSequence {
		last.fullSequence = r.Sequence
		last.full = runningAttempts(r)
	}
	if r.Sequence < last.sequence {
		return false
	}
	last.sequence, last.running = r.Sequence, r.Running
	return true
}

// latest returns the last report if it is later than the heartbeat.
func (t *runningTable) latest(r *apiv1.HeartbeatRequest) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.byWorker[r.WorkerId]
	if last != nil && last.incarnation == r.Incarnation && last.sequence > r.Sequence {
		return slices.Clone(last.running)
	}
	return r.Running
}
