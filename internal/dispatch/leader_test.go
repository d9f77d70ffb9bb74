package dispatch

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/structs"
)

const jobID1 = "00000000000000b1"

func taskStep(n int, cores int64) cell.Step {
	return cell.Step{Count: n, Size: structs.Resources{MilliCPU: cores * 1000}, EstimateMS: 1000}
}

// Guards against accepted jobs that do not complete.
func TestJobCompletes(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		dependent := taskStep(3, 2)
		dependent.DependsOn = []int{0}
		b.submit(jobID1, taskStep(4, 2), dependent)
		took := b.waitForState(jobID1, cell.Complete, 5*time.Second)
		assert.Assert(t, took < 2500*time.Millisecond, "two steps of 1 s took %v", took)
	})
}

// Guards against a second run of a task whose start order had no answer but is
// carried out seconds later.
func TestLateStartRunsTaskOnce(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second, 12 * time.Second} {
		runCell(t, 2, func(b *testCell) {
			for _, id := range []string{"w0", "w1"} {
				b.fleet.change(id, func(w *fakeWorker) { w.startDelay = late })
			}
			b.submit(jobID1, taskStep(1, 2))
			time.Sleep(time.Second)
			for _, id := range []string{"w0", "w1"} {
				b.fleet.change(id, func(w *fakeWorker) { w.startDelay = 0 })
			}
			b.waitForState(jobID1, cell.Complete, 10*time.Second)
			time.Sleep(20 * time.Second)
			assert.Equal(t, b.startCount(jobID1, 0), 1, "late by %v", late)
		})
	}
}

// Guards against tasks of an unreachable worker that start elsewhere before the
// worker's lease has expired, or long after. Jobs that a long lease would make
// miss their objective have a short one.
func TestSilentWorkerLeaseExpires(t *testing.T) {
	for path, lease := range map[string]time.Duration{queuePath: leaseDuration, shortObjectivePath: shortLeaseDuration} {
		runCell(t, 2, func(b *testCell) {
			for _, id := range []string{"w0", "w1"} {
				b.fleet.change(id, func(w *fakeWorker) { w.taskDuration = 20 * time.Second })
			}
			b.submitTo(path, jobID1, taskStep(1, 4))
			time.Sleep(time.Second)
			b.reportAll()
			b.fleet.change(b.workerWithAttempts(), func(w *fakeWorker) { w.unreachable = true })
			// The lease on the slowest clock, the call in progress and one more
			// try.
			restartTimeout := lease + lease/25 + 2*callTimeout + renewalWait
			for began := time.Now(); time.Since(began) < restartTimeout; time.Sleep(100 * time.Millisecond) {
				b.reportAll()
			}
			assert.Equal(t, b.startCount(jobID1, 0), 2, "not started again after %v", restartTimeout)
			b.waitForStateAt(path, jobID1, cell.Complete, 30*time.Second)
		})
	}
}

// Guards against work that needs a short lease but is placed beside other work, so
// that it has to wait for a long lease when the worker is lost.
func TestShortLeaseWorkIsPlacedApart(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.taskDuration = 20 * time.Second })
		}
		b.submit(jobID1, taskStep(1, 1))
		time.Sleep(time.Second)
		b.reportAll()
		long := b.workerWithAttempts()
		b.submitTo(shortObjectivePath, "00000000000000b2", taskStep(2, 1))
		time.Sleep(time.Second)
		held := map[string]int{}
		b.store.View(func(v *cell.View) {
			for id, w := range v.Workers() {
				held[id] = len(w.Attempts)
			}
		})
		assert.Equal(t, held[long], 1)
	})
}

// Guards against a new leader that starts running tasks again, or does not process
// the ends of attempts that an earlier leader started.
func TestNewLeaderTakesOverRunningWork(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		b.submit(jobID1, taskStep(4, 2))
		time.Sleep(300 * time.Millisecond)
		b.changeLeader(2)
		b.waitForState(jobID1, cell.Complete, 5*time.Second)
		for i := range 4 {
			assert.Equal(t, b.startCount(jobID1, i), 1)
		}
	})
}

// Guards against a task that is lost because the leadership ended before its start
// order was sent, or while the order had no answer.
func TestNewLeaderAfterUnansweredStart(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.startDelay = 3 * time.Second })
		}
		b.submit(jobID1, taskStep(2, 2))
		time.Sleep(300 * time.Millisecond)
		b.changeLeader(2)
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.startDelay = 0 })
		}
		b.waitForState(jobID1, cell.Complete, 8*time.Second)
	})
}

// Guards against attempts of a cancelled job that continue to run or to use
// capacity.
func TestCancelStopsAttempts(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = time.Minute })
		b.submit(jobID1, taskStep(2, 2))
		time.Sleep(500 * time.Millisecond)
		r := jobRequest(jobID1)
		b.do(&cellapi.Call{Cancel: &r})
		time.Sleep(500 * time.Millisecond)
		b.fleet.change("w0", func(w *fakeWorker) { assert.Equal(t, len(w.running), 0) })
		b.store.View(func(v *cell.View) { assert.Equal(t, v.Worker("w0").Free().MilliCPU, int64(4000)) })
	})
}

// Guards against members of a gang that wait for a member whose worker is lost.
func TestGangOfLostWorkerIsStoppedAndStartsAgain(t *testing.T) {
	runCell(t, 3, func(b *testCell) {
		gangStep := taskStep(2, 4)
		gangStep.Gang = true
		for _, id := range []string{"w0", "w1", "w2"} {
			b.fleet.change(id, func(w *fakeWorker) { w.taskDuration = 3 * time.Second })
		}
		b.submit(jobID1, gangStep)
		time.Sleep(time.Second)
		b.reportAll()
		b.register("w0", 7, 0) // a new incarnation under the same ID
		b.register("w1", 7, 1)
		b.waitForState(jobID1, cell.Complete, 10*time.Second)
	})
}

// Guards against an end that is recorded for another run of the task, and against
// more failed attempts than the queue allows.
func TestFailuresEndTheJob(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.outcome = cell.EndedFailed })
		}
		b.submit(jobID1, taskStep(1, 2))
		b.waitForState(jobID1, cell.Failed, 5*time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.startCount(jobID1, 0), 2)
	})
}

// Guards against tasks without progress that stay on their worker, and against new
// tasks on a worker on which others make no progress.
func TestStalledAttemptsStartElsewhere(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.stalled, w.taskDuration = true, time.Hour })
		b.submit(jobID1, taskStep(2, 4))
		b.waitForState(jobID1, cell.Complete, 6*time.Second)
	})
}

// Guards against a task that never completes, since it is stopped again and again for its
// progress, which no worker makes faster.
func TestSlowTaskIsNotStoppedForEver(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.wholePercents, w.taskDuration = true, 5*time.Minute })
		}
		b.submit(jobID1, taskStep(1, 1))
		b.waitForState(jobID1, cell.Complete, 6*time.Minute)
	})
}

// Guards against a worker that is never used again after one call without an
// answer.
func TestWorkerIsUsedAgain(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.startDelay = 3 * time.Second })
		b.submit(jobID1, taskStep(1, 2))
		time.Sleep(time.Second)
		b.fleet.change("w0", func(w *fakeWorker) { w.startDelay = 0 })
		b.waitForState(jobID1, cell.Complete, 6*time.Second)
	})
}

// Guards against a new leader that cannot request advice until other processes
// have announced themselves to it.
func TestNewLeaderStartsWithAdviceCallers(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.do(&cellapi.Call{AnnounceAdviceCaller: &cellapi.AnnounceAdviceCaller{Peer: "g"}})
		r := b.do(&cellapi.Call{AnnounceReplica: &cellapi.AnnounceReplica{Replica: "a#1", Peer: "a", Format: cell.NewestFormat}})
		b.leader.SetAdviceCallers(r.AdviceCallers)
		b.changeLeader(2)
		assert.DeepEqual(t, b.leader.currentTerm().advice.availableCallers(b.leader.Clock.Now()), []string{"a", "g", "self"})
	})
}

// Guards against answers of a process that no longer leads.
func TestNoAnswerWithoutLease(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.log.setTerm(0)
		r := jobRequest(jobID1)
		assert.Assert(t, b.leader.Do(t.Context(), &cellapi.Call{Status: &r}).NotLeader)
		assert.Assert(t, b.leader.Do(t.Context(), &cellapi.Call{ReadConfiguration: &cellapi.ReadConfiguration{}}).NotLeader)
	})
}

// Guards against a lease that is taken as expired before it has expired on the
// slowest clock, and against the use of delayed readings.
func TestWorkerClockBounds(t *testing.T) {
	var c workerClock
	c.observe(1000, time.Second)
	c.observe(1010, 3*time.Second)
	assert.Equal(t, c.estimate(time.Second), int64(1000), "a delayed reading was used")
	passed := c.certainlyPassed(3000)
	slowest := c.reading + int64(float64((passed-c.at).Milliseconds())*(1-maxClockDrift))
	assert.Assert(t, slowest >= 3000, "the slowest clock shows %d", slowest)
}

// hook is a log handler that calls a function with the message of each record.
type hook struct {
	slog.Handler
	at func(message string)
}

func (h hook) Enabled(context.Context, slog.Level) bool { return true }

func (h hook) Handle(_ context.Context, r slog.Record) error {
	h.at(r.Message)
	return nil
}

// Guards against a refusal from an outdated state. A leader that was paused
// between its check of the lease and its answer would reply that a queue does not
// exist, although a later leader has configured it.
func TestNoRefusalAfterLeaseIsLost(t *testing.T) {
	var log *fakeLog
	loseLease := hook{slog.DiscardHandler, func(message string) {
		if message == "submission answered from the state" {
			log.setTerm(0)
		}
	}}
	runCellWith(t, 1, func(c *Config) { c.Logger = slog.New(loseLease) }, func(b *testCell) {
		log = b.log
		r := cell.Request{Host: "h", Path: "/added/" + jobID1}
		reply := b.leader.Do(t.Context(), &cellapi.Call{Submit: &cell.Submit{Request: r, Job: cell.Submission{Steps: []cell.Step{taskStep(1, 1)}}}})
		assert.Assert(t, reply.NotLeader, "%+v", reply)
	})
}

// Guards against a report of something that is not a worker of the cell and ends
// the incarnation of the worker at the same address.
func TestReportOfUnknownServiceIsIgnored(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.do(&cellapi.Call{Report: &cellapi.Report{Register: cell.Register{ID: "other", Born: 9, Address: "10.0.0.0:80", Service: "none"}}})
		b.store.View(func(v *cell.View) {
			assert.Assert(t, v.Worker("other") == nil)
			assert.Assert(t, !v.Worker("w0").Gone)
		})
	})
}

// Guards against a leader that acts without its lease, and against one that
// discards its term's data when it regains the lease in the same term.
func TestTermContinuesAfterLeaseIsRegained(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		term := b.leader.currentTerm()
		b.log.setLeaseLost(true)
		time.Sleep(time.Second)
		r := jobRequest(jobID1)
		assert.Assert(t, b.leader.Do(t.Context(), &cellapi.Call{Status: &r}).NotLeader)
		b.log.setLeaseLost(false)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, b.leader.currentTerm() == term)
		b.submit(jobID1, taskStep(1, 1))
		b.waitForState(jobID1, cell.Complete, 5*time.Second)
	})
}
