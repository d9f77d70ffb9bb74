package control

import (
	"slices"
	"sync"

	"laburnumgrade/gen/apiv1"
)

// runningTable holds the running attempts that each worker reported last. Most heartbeats
// list only the changes since the last full one, which is needed to complete them. A
// heartbeat whose reply is held back may be overtaken by later ones; its own list is then
// out of date.
type runningTable struct {
	mu       sync.Mutex
	byWorker map[string]*runningReport
}

type runningReport struct {
	incarnation, sequence uint64
	running               []uint64
	// fullSequence is the sequence number of the last full heartbeat, full the attempts
	// that it listed.
	fullSequence uint64
	full         []*apiv1.RunningAttempt
}

func newRunningTable() *runningTable { return &runningTable{byWorker: map[string]*runningReport{}} }

// completePartial adds the attempts that a partial heartbeat leaves out because they are
// unchanged. It returns false if the full heartbeat that it refers to is not the last one
// received.
func (t *runningTable) completePartial(r *apiv1.HeartbeatRequest) bool {
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

// record records a completed heartbeat. It returns false if a later one was recorded
// before.
func (t *runningTable) record(r *apiv1.HeartbeatRequest) bool {
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

// latestRunning returns the attempts listed by the last recorded heartbeat, if it is later
// than r, and otherwise those listed by r.
func (t *runningTable) latestRunning(r *apiv1.HeartbeatRequest) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.byWorker[r.WorkerId]
	if last != nil && last.incarnation == r.Incarnation && last.sequence > r.Sequence {
		return slices.Clone(last.running)
	}
	return r.Running
}
