package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

// returnUnnoticed replaces an incarnation of a worker by a later one that has not reported. The
// tasks of the later one take a time.
func (b *testCell) returnUnnoticed(id string, born int64, taskDuration time.Duration) {
	b.fleet.change(id, func(w *fakeWorker) {
		*w = *newFakeWorker(born, w)
		w.taskDuration = taskDuration
	})
}

// cutOff makes a worker unreachable; it runs on.
func (b *testCell) cutOff(id string) {
	b.fleet.change(id, func(w *fakeWorker) { w.unreachable = true })
}

// playWithLeasesAndLeaders calls play with cells of short and long leases, each without and with a
// change of the leader, which play carries out if changed is set.
func playWithLeasesAndLeaders(t *testing.T, play func(b *testCell, changed bool)) {
	for _, changed := range []bool{false, true} {
		for _, maxLease := range []time.Duration{maxFakeLease, 10 * time.Second} {
			t.Run(fmt.Sprintf("changed leader %v, lease of up to %v", changed, maxLease), func(t *testing.T) {
				runCellWith(t, 1, func(c *Config) { c.Bounds.MaxLease = maxLease }, func(b *testCell) {
					play(b, changed)
				})
			})
		}
	}
}

// Guards against a second run of a task whose start order, meant for an earlier life of its
// worker, was carried out by the next one, if no call reaches the worker after its first report:
// also if the leader changes or the report comes after it.
func TestStartCarriedOutByLaterLifeDoesNotRunTwice(t *testing.T) {
	for _, reportDelay := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
		for changes := range 3 {
			t.Run(fmt.Sprintf("report after %v, %d changes", reportDelay, changes), func(t *testing.T) {
				runCell(t, 1, func(b *testCell) {
					time.Sleep(time.Second)
					b.returnUnnoticed("w0", 2, 20*time.Second)
					b.submit(jobID1, taskStep(1, 3))
					time.Sleep(reportDelay)
					b.cutOff("w0")
					b.do(firstReport("w0", 2, 0))
					for i := range changes {
						b.changeLeader(uint64(i + 2))
					}
					b.register("w1", 1, 1)
					b.waitForState(jobID1, cell.Complete, time.Minute)
				})
			})
		}
	}
}

// Guards against a second run of a task whose start order was carried out by the next life of
// its worker, if that answers a renewal of the lease and cannot be reached from then on.
func TestStartBeforeAnswerOfLaterLifeDoesNotRunTwice(t *testing.T) {
	playWithLeasesAndLeaders(t, func(b *testCell, changed bool) {
		time.Sleep(20 * time.Second)
		b.reportAll()
		b.returnUnnoticed("w0", 2, 20*time.Second)
		b.submitTo(shortObjectivePath, jobID1, taskStep(1, 3))
		time.Sleep(300 * time.Millisecond) // the next renewal is answered by the later life
		b.cutOff("w0")
		if changed {
			b.changeLeader(2)
		}
		b.register("w1", 1, 1)
		b.waitForStateAt(shortObjectivePath, jobID1, cell.Complete, time.Minute)
	})
}

// Guards against a second run of a task on a worker that holds a lease which was meant for an
// earlier life and is longer than those of the present one. The leader may have changed.
func TestLeaseForEarlierLifeIsWaitedOut(t *testing.T) {
	playWithLeasesAndLeaders(t, func(b *testCell, changed bool) {
		time.Sleep(20 * time.Second)
		b.reportAll()
		b.returnUnnoticed("w0", 2, 10*time.Millisecond)
		b.submitTo(shortObjectivePath, jobID1, taskStep(1, 3))
		time.Sleep(50 * time.Millisecond)
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = 20 * time.Second })
		b.do(firstReport("w0", 2, 0))
		time.Sleep(100 * time.Millisecond)
		b.submitTo(shortObjectivePath, jobID2, taskStep(1, 3))
		time.Sleep(200 * time.Millisecond)
		b.cutOff("w0")
		if changed {
			b.changeLeader(2)
		}
		b.register("w1", 1, 1)
		b.waitForStateAt(shortObjectivePath, jobID2, cell.Complete, time.Minute)
	})
}

// Guards against a task that is started again although it is done: the acknowledgement of ends
// of an earlier life arrives late and deletes the end on the next one.
func TestAcknowledgementForEarlierLifeDoesNotDeleteEnds(t *testing.T) {
	for _, duration := range []time.Duration{5, 44, 155, 405} {
		t.Run(fmt.Sprintf("task of %d ms", duration), func(t *testing.T) {
			runCell(t, 1, func(b *testCell) {
				b.submit(jobID1, taskStep(4, 1))
				b.waitForState(jobID1, cell.Complete, 10*time.Second)
				time.Sleep(time.Second)
				b.returnUnnoticed("w0", 2, duration*time.Millisecond)
				b.do(firstReport("w0", 2, 0))
				time.Sleep(500 * time.Millisecond)
				b.submit(jobID2, taskStep(1, 1))
				for b.startCount(jobID2, 0) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(duration * time.Millisecond)
				late := RenewLeaseOrder{Fence: 1, AcknowledgedEnd: 4}
				_, _ = b.fleet.RenewLease(context.Background(), Target{ID: "w0"}, &late)
				b.waitForState(jobID2, cell.Complete, 10*time.Second)
			})
		})
	}
}

// Guards against a task that is started again although it is done: a renewal for an earlier life
// acknowledges the end on the next one, which has carried out the start order and has not reported.
func TestRenewalAfterIdleTimeDoesNotDeleteEnds(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.submit(jobID1, taskStep(4, 1))
		b.waitForState(jobID1, cell.Complete, 10*time.Second)
		time.Sleep(time.Second)
		b.returnUnnoticed("w0", 2, 50*time.Millisecond)
		b.submit(jobID2, taskStep(1, 1))
		time.Sleep(1500 * time.Millisecond)
		b.do(firstReport("w0", 2, 0))
		b.waitForState(jobID2, cell.Complete, 10*time.Second)
		assert.Equal(t, b.startCount(jobID2, 0), 1)
	})
}

// Guards against a second run of a task whose start order has no answer and is carried out
// seconds later, when its worker was given up and has started again. The leader may have changed.
func TestLateStartDoesNotRunOnLaterLife(t *testing.T) {
	for _, change := range []bool{false, true} {
		t.Run(fmt.Sprintf("changed leader %v", change), func(t *testing.T) {
			runCell(t, 1, func(b *testCell) {
				time.Sleep(20 * time.Second)
				b.reportAll()
				const delay = 8 * time.Second // longer than the lease
				b.fleet.change("w0", func(w *fakeWorker) { w.startDelay = delay })
				b.submit(jobID1, taskStep(1, 3))
				time.Sleep(100 * time.Millisecond)
				b.cutOff("w0")
				b.register("w1", 1, 1)
				b.fleet.change("w1", func(w *fakeWorker) { w.taskDuration = 10 * time.Second })
				for b.startCount(jobID1, 0) == 0 {
					time.Sleep(10 * time.Millisecond)
					b.reportAll()
				}
				if change {
					b.changeLeader(2)
				}
				b.returnUnnoticed("w0", 2, 10*time.Second)
				b.do(firstReport("w0", 2, 0))
				b.waitForState(jobID1, cell.Complete, time.Minute)
			})
		})
	}
}

// Guards against a task that goes on running on a worker that must not run it: the next life of
// its worker is of another service and has carried out the start order.
func TestInheritedAttemptOnOtherServiceIsStopped(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.do(&cellapi.Call{Configure: &cell.Configuration{
			Version: 2, Services: []cell.Service{{Name: service}, {Name: "other"}},
			Queues: []cell.Queue{{Name: "q", Host: "h", Prefix: queuePath, Service: service, TimeoutMS: 1000, MaxFailures: 2, ObjectiveMS: 20_000, Public: true}},
		}})
		time.Sleep(time.Second)
		b.returnUnnoticed("w0", 2, 20*time.Second)
		b.submit(jobID1, taskStep(1, 3))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, b.startCount(jobID1, 0), 1)
		report := firstReport("w0", 2, 0)
		report.Report.Service = "other"
		b.do(report)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(b.runningAttemptsOf(jobID1)), 0)
	})
}

// Guards against work that is lost or done again although the next life of its worker has
// carried out the start order and can be reached.
func TestInheritedAttemptGoesOn(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		time.Sleep(time.Second)
		b.returnUnnoticed("w0", 2, 3*time.Second)
		b.submit(jobID1, taskStep(1, 3))
		time.Sleep(50 * time.Millisecond)
		b.do(firstReport("w0", 2, 0))
		b.register("w1", 1, 1)
		b.waitForState(jobID1, cell.Complete, 4*time.Second)
		assert.Equal(t, b.startCount(jobID1, 0), 1)
	})
}

// Guards against a second run of a task whose start order was sent twice: the worker has carried
// out and listed the one, and its next life carries out the other, which had no answer.
func TestRepeatedStartDoesNotRunOnLaterLife(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		time.Sleep(20 * time.Second)
		b.reportAll()
		b.fleet.change("w0", func(w *fakeWorker) { w.startDelay, w.taskDuration = 4*time.Second, 20*time.Second })
		b.submit(jobID1, taskStep(1, 3))
		time.Sleep(callTimeout / 2) // the first try is on its way
		b.fleet.change("w0", func(w *fakeWorker) { w.startDelay = 0 })
		time.Sleep(2 * time.Second) // the second one is carried out and listed
		assert.Equal(t, b.startCount(jobID1, 0), 1)
		b.returnUnnoticed("w0", 2, 20*time.Second)
		b.cutOff("w0")
		b.do(firstReport("w0", 2, 0))
		b.register("w1", 1, 1)
		b.fleet.change("w1", func(w *fakeWorker) { w.taskDuration = 10 * time.Second })
		b.waitForState(jobID1, cell.Complete, time.Minute)
	})
}

// Guards against a worker that gets more than it has room for: it runs what is not committed to it,
// such as a start for an earlier life that was given up, until that is stopped.
func TestWorkerWithUnknownAttemptGetsNoStarts(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.submit(jobID1, taskStep(1, 1))
		time.Sleep(200 * time.Millisecond)
		unknown := attemptKey{cell.TaskKey{StepKey: cell.StepKey{Job: "00000000000000cc"}}, 1}
		b.fleet.change("w0", func(w *fakeWorker) {
			w.running[unknown] = &fakeRun{began: time.Now(), endsAt: time.Now().Add(time.Minute), duration: time.Minute}
			w.stopDuration = 800 * time.Millisecond
		})
		b.waitForState(jobID1, cell.Complete, 3*time.Second) // the listing shows it by then
		b.submit(jobID2, taskStep(1, 4))
		for b.startCount(jobID2, 0) == 0 {
			time.Sleep(10 * time.Millisecond)
			b.reportAll()
		}
		assert.Equal(t, len(b.runningAttemptsOf(unknown.task.Job)), 0)
		b.waitForState(jobID2, cell.Complete, 5*time.Second)
	})
}
