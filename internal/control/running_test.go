package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/structs"
)

// TestHeldHeartbeat guards against replying to a held heartbeat when an end is reported
// by another heartbeat, which would cost one more exchange for each end, and against
// starting work twice because both replies list it.
func TestHeldHeartbeat(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(8))
	l.allot("a", cores(100))
	l.mustSubmit(1, batchSpec("a", cores(8)))
	l.runRound()
	assert.Equal(t, len(w.running), 1)
	held := l.report(w)
	held.WaitMs = 60_000
	answered := make(chan *apiv1.HeartbeatResponse, 1)
	go func() {
		reply, _ := l.dc.Heartbeat(l.ctx(), held)
		answered <- reply
	}()
	assert.NilError(t, waitFor(func() bool { return l.group.running.sequence("w0") == held.Sequence }))
	w.endAll(apiv1.Outcome_OUTCOME_OK)
	reply, err := l.dc.Heartbeat(l.ctx(), l.report(w))
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Acknowledged), 1)
	select {
	case r := <-answered:
		t.Fatalf("the held heartbeat was answered with %v", r)
	case <-time.After(50 * time.Millisecond):
	}
	id := l.mustSubmit(2, batchSpec("a", cores(8)))
	l.schedule()
	assert.Equal(t, l.job(id).Tasks[0].State, structs.TaskRunning, "%v", l.group.mirror.scheduler.Explain(id))
	r := <-answered
	assert.Equal(t, len(r.Start), 1)
	assert.Equal(t, r.Start[0].JobId, id)
}

// waitFor polls a condition until it holds; it fails after 10,000 polls 1 ms apart.
func waitFor(condition func() bool) error {
	for range 10_000 {
		if condition() {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return errOutcomeUnknown
}

// TestOvertakenHeartbeat guards against an attempt that is charged to its worker because
// a heartbeat sent before the end of the attempt arrives after the report of the end.
func TestOvertakenHeartbeat(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(8))
	l.allot("a", cores(100))
	l.mustSubmit(1, batchSpec("a", cores(8)))
	l.runRound()
	late := l.report(w)
	w.endAll(apiv1.Outcome_OUTCOME_OK)
	l.heartbeat(w)
	before := l.log.index
	_, err := l.dc.Heartbeat(l.ctx(), late)
	assert.NilError(t, err)
	assert.Equal(t, l.log.index, before)
}

// sequence returns the sequence number of the worker's last recorded heartbeat.
func (t *runningTable) sequence(worker string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last := t.byWorker[worker]; last != nil {
		return last.sequence
	}
	return 0
}

// TestPartialHeartbeat guards against a partial heartbeat that is read as if it listed
// all running attempts, or that is completed from a full heartbeat other than the one it
// refers to.
func TestPartialHeartbeat(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(8))
	l.allot("a", cores(100))
	for i := range 4 {
		l.mustSubmit(i, batchSpec("a", cores(2)))
	}
	l.runRound()
	assert.Equal(t, len(w.running), 4)
	full := l.report(w)
	_, err := l.dc.Heartbeat(l.ctx(), full)
	assert.NilError(t, err)
	before := l.log.index
	partial := func(after uint64, gone ...uint64) *apiv1.HeartbeatResponse {
		r := l.report(w)
		r.Running, r.Attempts = nil, nil
		r.FullSequence, r.Gone = after, gone
		reply, err := l.dc.Heartbeat(l.ctx(), r)
		assert.NilError(t, err)
		return reply
	}
	reply := partial(full.Sequence)
	assert.Equal(t, len(reply.Start)+len(reply.Stop), 0)
	assert.Equal(t, l.log.index, before)
	assert.Assert(t, partial(full.Sequence+1).SendFull)
	id := full.Running[0]
	w.end(id, apiv1.Outcome_OUTCOME_OK)
	reply = partial(full.Sequence, id)
	assert.DeepEqual(t, reply.Acknowledged, []uint64{id})
	assert.Equal(t, len(reply.Start)+len(reply.Stop), 0)
	w.incarnation++
	assert.Assert(t, partial(full.Sequence).SendFull)
}
