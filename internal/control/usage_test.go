package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/structs"
)

// reportUsage sends a heartbeat in which every attempt of the worker uses the amount.
func (l *testLeader) reportUsage(w *testWorker, usage structs.Resources) *apiv1.HeartbeatResponse {
	r := l.report(w)
	for _, a := range r.Attempts {
		a.Usage = usage.Proto()
	}
	reply, err := l.dc.Heartbeat(l.ctx(), r)
	assert.NilError(l.t, err)
	return reply
}

// committedCores reports the usage once a second for the given time and returns the cores
// committed to w0 afterwards.
func (l *testLeader) committedCores(usage structs.Resources, d time.Duration) int64 {
	for range int(d / time.Second) {
		l.advance(time.Second)
		l.reportUsage(l.workers["w0"], usage)
	}
	w, _ := l.group.Store.Worker("w0")
	return w.Committed.MilliCPU / 1000
}

// TestCommitmentFollowsUsage guards against work that uses more than it declared while
// no room is committed for it, against room that stays committed long after the usage
// has fallen, and against a command for each report.
func TestCommitmentFollowsUsage(t *testing.T) {
	l := newLeader(t)
	l.addWorker("w0", cores(20))
	l.allot("a", cores(100))
	l.mustSubmit(1, batchSpec("a", cores(8)))
	l.runRound()
	assert.Equal(t, l.committedCores(cores(2), 5*time.Second), int64(8), "not below the declaration")
	assert.Equal(t, l.committedCores(cores(11), time.Second), int64(11), "raised at once")
	before := l.log.index
	assert.Equal(t, l.committedCores(cores(10), 20*time.Second), int64(11), "kept for the window")
	assert.Equal(t, l.log.index-before, uint64(20), "only the passing of time is committed")
	assert.Equal(t, l.committedCores(cores(9), 65*time.Second), int64(9), "lowered after it")
	assert.Equal(t, l.committedCores(cores(1), 65*time.Second), int64(8), "to the declaration")
	l.schedule()
	l.checkMirror(t)
}

// TestUsageBeyondRoom guards against committing usage for which there is no room,
// leaving such usage alone although the document allows throttling, and a throttle that
// is never lifted.
func TestUsageBeyondRoom(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(10))
	l.allot("a", cores(100))
	spec := batchSpec("a", cores(4))
	spec.MayThrottle = true
	l.mustSubmit(1, spec)
	l.mustSubmit(2, batchSpec("a", cores(4)))
	l.runRound()
	assert.Equal(t, len(w.running), 2)
	l.reportUsage(w, cores(20))
	reply := l.reportUsage(w, cores(20))
	assert.Equal(t, len(reply.Throttle), 1)
	assert.Equal(t, l.committedCores(cores(20), time.Second), int64(10))
	before := l.log.index
	l.committedCores(cores(20), 20*time.Second)
	assert.Equal(t, l.log.index-before, uint64(20), "what was not granted is not proposed again at once")
	l.committedCores(cores(4), 65*time.Second)
	assert.Equal(t, len(l.reportUsage(w, cores(4)).Throttle), 0)
}
