package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

func (l *testLeader) probation(id string) bool {
	w, _ := l.group.Store.Worker(id)
	return w.Probation
}

// leaderWithProbation returns a leader with a worker w0 on probation.
func leaderWithProbation(t *testing.T) *testLeader {
	l := newLeader(t)
	l.addWorker("w0", cores(64))
	l.allot("a", cores(1000))
	for i := range 3 {
		l.mustSubmit(i, batchSpec("a", cores(1)))
	}
	l.runRound()
	assert.Equal(t, len(l.workers["w0"].running), 3)
	l.workers["w0"].endAll(apiv1.Outcome_OUTCOME_FAILED)
	l.heartbeats()
	assert.Assert(t, l.probation("w0"))
	return l
}

// TestProbationEnds guards against a worker that stays on probation forever, in
// particular after a change of leadership, and against a probation that ends without the
// trials, or earlier because the end of a trial was reported twice.
func TestProbationEnds(t *testing.T) {
	for _, change := range []bool{false, true} {
		t.Run(fmt.Sprintf("leadership changes %v", change), func(t *testing.T) {
			l := leaderWithProbation(t)
			w := l.workers["w0"]
			if change {
				l.startLeadership()
			}
			trials := 0
			for range 2000 {
				l.runRound()
				assert.Assert(t, len(w.running) <= 1, "a worker on probation runs %d tasks", len(w.running))
				if !l.probation("w0") {
					break
				}
				if len(w.running) == 1 {
					trials++
					w.endAll(apiv1.Outcome_OUTCOME_OK)
					again := l.report(w)
					_, _ = l.dc.Heartbeat(t.Context(), again)
				}
			}
			assert.Assert(t, !l.probation("w0"))
			assert.Equal(t, trials, 2)
		})
	}
}

// TestRestartEndsProbation guards against a restarted worker whose failures the health
// monitor goes on ignoring and which it still counts against the limit of workers on
// probation.
func TestRestartEndsProbation(t *testing.T) {
	l := leaderWithProbation(t)
	w := l.workers["w0"]
	w.incarnation++
	l.heartbeat(w)
	l.runRound()
	assert.Assert(t, !l.probation("w0"))
	assert.Equal(t, l.group.mirror.health.ProbationCount(), 0)
	l.runRounds(30 * time.Second)
	w.endAll(apiv1.Outcome_OUTCOME_FAILED)
	l.heartbeats()
	assert.Assert(t, l.probation("w0"))
}

// TestLostProbationIsProposedAgain guards against a worker that is never put on
// probation because the first proposal of it was lost.
func TestLostProbationIsProposedAgain(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(64))
	l.allot("a", cores(1000))
	for i := range 6 {
		l.mustSubmit(i, batchSpec("a", cores(1)))
	}
	l.runRound()
	fail := func(n int) {
		for id := range w.running {
			if n--; n < 0 {
				break
			}
			w.end(id, apiv1.Outcome_OUTCOME_FAILED)
		}
	}
	fail(3)
	sent := 0
	l.log.outcome = func() int {
		if sent++; sent == 2 {
			return unknownLost
		}
		return outcomeApplied
	}
	l.heartbeats()
	assert.Assert(t, !l.probation("w0"))
	fail(3)
	l.heartbeats()
	assert.Assert(t, l.probation("w0"))
}

// TestFaultyJobIsStopped guards against a job that keeps running although its tasks fail
// on every worker, and against stopping a service for the same reason.
func TestFaultyJobIsStopped(t *testing.T) {
	for _, service := range []bool{false, true} {
		t.Run(fmt.Sprintf("service %v", service), func(t *testing.T) {
			l := newLeader(t)
			for i := range 4 {
				l.addWorker(fmt.Sprintf("w%d", i), cores(1))
			}
			l.allot("a", cores(100))
			id := ""
			if service {
				l.putDocument(serviceSpec(4, cores(1)))
				id = "service/a/s"
			} else {
				spec := batchSpec("a", cores(1))
				spec.Tasks = 4
				id = l.jobID(1)
				_, err := l.submit(&statev1.SubmitJob{JobId: id, Spec: spec.Proto()})
				assert.NilError(t, err)
			}
			l.runRounds(time.Second)
			for _, w := range l.workers {
				w.endAll(apiv1.Outcome_OUTCOME_FAILED)
			}
			l.runRound()
			j := l.job(id)
			assert.Equal(t, j.Cancelled, !service)
			l.runRounds(10 * time.Second)
			j = l.job(id)
			if service {
				assert.Equal(t, j.EndedTasks, 0)
				return
			}
			assert.Assert(t, j.Ended())
			for i := range j.Tasks {
				assert.Assert(t, j.Tasks[i].Outcome != structs.OutcomeNotRun, "a task that was attempted must not end as not run")
			}
		})
	}
}

// TestLateEndsOfEarlierIncarnation guards against failures of an earlier incarnation of a
// worker that are counted against the later one, whose failures the monitor then ignores
// because it takes it to be on probation, and which counts against the limit of workers on
// probation.
func TestLateEndsOfEarlierIncarnation(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(64))
	l.allot("a", cores(1000))
	for i := range 3 {
		l.mustSubmit(i, batchSpec("a", cores(1)))
	}
	l.runRound()
	assert.Equal(t, len(w.running), 3)
	w.endAll(apiv1.Outcome_OUTCOME_FAILED)
	late := l.report(w)
	w.ended = map[uint64]*apiv1.EndedAttempt{}
	// The worker restarts before the ends are judged.
	w.incarnation++
	l.heartbeat(w)
	l.schedule()
	l.server.applyHealthVerdicts(l.ctx(), l.group, late, late.Ended)
	assert.Assert(t, !l.probation("w0"))
	assert.Equal(t, l.group.mirror.health.ProbationCount(), 0)
	l.runRounds(30 * time.Second)
	assert.Equal(t, len(w.running), 3)
	w.endAll(apiv1.Outcome_OUTCOME_FAILED)
	l.heartbeats()
	assert.Assert(t, l.probation("w0"))
}
