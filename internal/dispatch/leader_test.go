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

func tasks(n int, cores int64) cell.Step {
	return cell.Step{Count: n, Size: structs.Resources{MilliCPU: cores * 1000}, EstimateMS: 1000}
}

// Guards against a path on which accepted jobs do not come to an end.
func TestJobCompletes(t *testing.T) {
	run(t, 2, func(b *testCell) {
		second := tasks(3, 2)
		second.DependsOn = []int{0}
		b.submit(jobID1, tasks(4, 2), second)
		took := b.until(jobID1, cell.Complete, 5*time.Second)
		assert.Assert(t, took < 2500*time.Millisecond, "two steps of 1 s took %v", took)
	})
}

// Guards against a second run of a task whose start had no answer and is carried
// out seconds later.
func TestLateStart(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second, 12 * time.Second} {
		run(t, 2, func(b *testCell) {
			for _, id := range []string{"w0", "w1"} {
				b.fleet.change(id, func(w *fakeWorker) { w.late = late })
			}
			b.submit(jobID1, tasks(1, 2))
			time.Sleep(time.Second)
			for _, id := range []string{"w0", "w1"} {
				b.fleet.change(id, func(w *fakeWorker) { w.late = 0 })
			}
			b.until(jobID1, cell.Complete, 10*time.Second)
			time.Sleep(20 * time.Second)
			assert.Equal(t, b.started(jobID1, 0), 1, "late by %v", late)
		})
	}
}

// Guards against work of a silent worker that starts elsewhere before its lease
// has run out, or long after. Work that is late by the end of a long lease has a
// short one.
func TestSilentWorker(t *testing.T) {
	for path, lease := range map[string]time.Duration{queuePath: leaseDuration, briefPath: shortLeaseDuration} {
		run(t, 2, func(b *testCell) {
			for _, id := range []string{"w0", "w1"} {
				b.fleet.change(id, func(w *fakeWorker) { w.work = 20 * time.Second })
			}
			b.submitTo(path, jobID1, tasks(1, 4))
			time.Sleep(time.Second)
			b.reportAll()
			b.fleet.change(b.holder(), func(w *fakeWorker) { w.silent = true })
			// The slowest clock, the call in progress and one more try.
			again := lease + lease/25 + 2*callTimeout + renewalWait
			for began := time.Now(); time.Since(began) < again; time.Sleep(100 * time.Millisecond) {
				b.reportAll()
			}
			assert.Equal(t, b.started(jobID1, 0), 2, "not started again after %v", again)
			b.waitForStateAt(path, jobID1, cell.Complete, 30*time.Second)
		})
	}
}

// Guards against brief work that is put under the long lease of other work, and
// that waits for its end when the worker is lost.
func TestBriefWorkIsPlacedApart(t *testing.T) {
	run(t, 2, func(b *testCell) {
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.work = 20 * time.Second })
		}
		b.submit(jobID1, tasks(1, 1))
		time.Sleep(time.Second)
		b.reportAll()
		long := b.holder()
		b.submitTo(briefPath, "00000000000000b2", tasks(2, 1))
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

// Guards against a new leader that starts running work again, or does not take
// in the ends of what an earlier leader started.
func TestNewLeader(t *testing.T) {
	run(t, 2, func(b *testCell) {
		b.submit(jobID1, tasks(4, 2))
		time.Sleep(300 * time.Millisecond)
		b.lead(2)
		b.until(jobID1, cell.Complete, 5*time.Second)
		for i := range 4 {
			assert.Equal(t, b.started(jobID1, i), 1)
		}
	})
}

// Guards against a task that is lost because its leader went before the start
// was sent, or while the start had no answer.
func TestNewLeaderAfterUnansweredStart(t *testing.T) {
	run(t, 2, func(b *testCell) {
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.late = 3 * time.Second })
		}
		b.submit(jobID1, tasks(2, 2))
		time.Sleep(300 * time.Millisecond)
		b.lead(2)
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.late = 0 })
		}
		b.until(jobID1, cell.Complete, 8*time.Second)
	})
}

// Guards against attempts of a cancelled job that run on or keep their room.
func TestCancelStops(t *testing.T) {
	run(t, 1, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.work = time.Minute })
		b.submit(jobID1, tasks(2, 2))
		time.Sleep(500 * time.Millisecond)
		r := jobRequest(jobID1)
		b.do(&cellapi.Call{Cancel: &r})
		time.Sleep(500 * time.Millisecond)
		b.fleet.change("w0", func(w *fakeWorker) { assert.Equal(t, len(w.running), 0) })
		b.store.View(func(v *cell.View) { assert.Equal(t, v.Worker("w0").Free().MilliCPU, int64(4000)) })
	})
}

// Guards against the members of a gang that wait for one that cannot come.
func TestGangOfLostWorkerIsStoppedAndStartsAgain(t *testing.T) {
	run(t, 3, func(b *testCell) {
		gangStep := tasks(2, 4)
		gangStep.Gang = true
		for _, id := range []string{"w0", "w1", "w2"} {
			b.fleet.change(id, func(w *fakeWorker) { w.work = 3 * time.Second })
		}
		b.submit(jobID1, gangStep)
		time.Sleep(time.Second)
		b.reportAll()
		b.register("w0", 7, 0) // a new life under the same id
		b.register("w1", 7, 1)
		b.until(jobID1, cell.Complete, 10*time.Second)
	})
}

// Guards against an end that is noted for another run than the one it ends, and
// against failures beyond what the queue allows.
func TestFailuresEndTheJob(t *testing.T) {
	run(t, 2, func(b *testCell) {
		for _, id := range []string{"w0", "w1"} {
			b.fleet.change(id, func(w *fakeWorker) { w.how = cell.EndedFailed })
		}
		b.submit(jobID1, tasks(1, 2))
		b.until(jobID1, cell.Failed, 5*time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.started(jobID1, 0), 2)
	})
}

// Guards against tasks that stand still on a worker until it is replaced, and
// against a worker on which tasks stand still that gets the next ones.
func TestHungWorker(t *testing.T) {
	run(t, 2, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.hung, w.work = true, time.Hour })
		b.submit(jobID1, tasks(2, 4))
		b.until(jobID1, cell.Complete, 6*time.Second)
	})
}

// Guards against a worker that had one call without an answer and is never used
// again.
func TestWorkerIsUsedAgain(t *testing.T) {
	run(t, 1, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.late = 3 * time.Second })
		b.submit(jobID1, tasks(1, 2))
		time.Sleep(time.Second)
		b.fleet.change("w0", func(w *fakeWorker) { w.late = 0 })
		b.until(jobID1, cell.Complete, 6*time.Second)
	})
}

// Guards against a new leader that cannot ask for advice until other processes
// have announced themselves to it.
func TestNewLeaderKnowsCallers(t *testing.T) {
	run(t, 1, func(b *testCell) {
		b.do(&cellapi.Call{Announce: &cellapi.Announce{Peer: "g"}})
		r := b.do(&cellapi.Call{Join: &cellapi.Join{Replica: "a#1", Peer: "a"}})
		b.leader.SetAdviceCallers(r.Callers)
		b.lead(2)
		assert.DeepEqual(t, b.leader.currentTerm().advice.availableCallers(b.leader.Clock.Now()), []string{"a", "g", "self"})
	})
}

// Guards against answers by a process that does not lead any more.
func TestNoAnswerWithoutLease(t *testing.T) {
	run(t, 1, func(b *testCell) {
		b.log.lead(0)
		r := jobRequest(jobID1)
		assert.Assert(t, b.leader.Do(t.Context(), &cellapi.Call{Status: &r}).NotLeader)
		assert.Assert(t, b.leader.Do(t.Context(), &cellapi.Call{Read: &cellapi.Read{}}).NotLeader)
	})
}

// Guards against a lease that is believed to be over before the slowest clock
// says so, and against readings that arrived late.
func TestWorkerClock(t *testing.T) {
	var c workerClock
	c.observe(1000, time.Second)
	c.observe(1010, 3*time.Second)
	assert.Equal(t, c.estimate(time.Second), int64(1000), "a delayed reading was taken in")
	passed := c.certainlyPassed(3000)
	slowest := c.reading + int64(float64((passed-c.at).Milliseconds())*(1-maxClockDrift))
	assert.Assert(t, slowest >= 3000, "the slowest clock shows %d", slowest)
}

// hook is a log handler that runs a function at each record.
type hook struct {
	slog.Handler
	at func(message string)
}

func (h hook) Enabled(context.Context, slog.Level) bool { return true }

func (h hook) Handle(_ context.Context, r slog.Record) error {
	h.at(r.Message)
	return nil
}

// Guards against a refusal from an old state: a leader that was paused between
// its check of the lease and its answer says that a queue does not exist that a
// later leader has configured.
func TestNoRefusalAfterLeaseIsLost(t *testing.T) {
	var log *fakeLog
	loseLease := hook{slog.DiscardHandler, func(message string) {
		if message == "submission answered from the state" {
			log.lead(0)
		}
	}}
	runWith(t, 1, func(c *Config) { c.Logger = slog.New(loseLease) }, func(b *testCell) {
		log = b.log
		r := cell.Request{Host: "h", Path: "/added/" + jobID1}
		reply := b.leader.Do(t.Context(), &cellapi.Call{Submit: &cell.Submit{Request: r, Job: cell.Submission{Steps: []cell.Step{tasks(1, 1)}}}})
		assert.Assert(t, reply.NotLeader, "%+v", reply)
	})
}

// Guards against a report of something that is no worker of the cell and that ends
// the life of the worker at the same address.
func TestReportOfForeignService(t *testing.T) {
	run(t, 1, func(b *testCell) {
		b.do(&cellapi.Call{Report: &cellapi.Report{Register: cell.Register{ID: "other", Born: 9, Address: "10.0.0.0:80", Service: "none"}}})
		b.store.View(func(v *cell.View) {
			assert.Assert(t, v.Worker("other") == nil)
			assert.Assert(t, !v.Worker("w0").Gone)
		})
	})
}

// Guards against a leader that acts without its lease, and against one that forgets
// what it knows of the workers when the lease comes back within its term.
func TestLeaseLostForAMoment(t *testing.T) {
	run(t, 1, func(b *testCell) {
		term := b.leader.currentTerm()
		b.log.lapse(true)
		time.Sleep(time.Second)
		r := jobRequest(jobID1)
		assert.Assert(t, b.leader.Do(t.Context(), &cellapi.Call{Status: &r}).NotLeader)
		b.log.lapse(false)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, b.leader.currentTerm() == term)
		b.submit(jobID1, tasks(1, 1))
		b.until(jobID1, cell.Complete, 5*time.Second)
	})
}
