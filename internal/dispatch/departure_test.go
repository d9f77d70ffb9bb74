package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
	"laburnumgrade/internal/structs"
)

// deregistration is the announcement of an incarnation that it is shutting down.
func deregistration(id string, born int64) *cellapi.Call {
	return &cellapi.Call{Report: &cellapi.Report{Register: cell.Register{ID: id, Born: born, Deregistered: true}}}
}

// drain reports that a worker of born 1 drains.
func (b *testCell) drain(id string) {
	b.t.Helper()
	report := firstReport(id, 1, int(id[1]-'0'))
	report.Report.Draining, report.Report.Sequence = true, 1<<62
	b.do(report)
}

// endWorker ends a worker with all that runs there.
func (b *testCell) endWorker(id string) {
	b.fleet.change(id, func(w *fakeWorker) {
		w.endFinished()
		w.unreachable = true
		clear(w.running)
	})
}

// hasLeft reports whether the state has a worker as gone.
func (b *testCell) hasLeft(id string) bool {
	left := false
	b.store.View(func(v *cell.View) { left = v.Worker(id).Gone })
	return left
}

// Guards against a second run of tasks of a worker that has announced that it is shutting
// down, but has not received the answer and runs on: without and with one or two changes of
// the leader, and if the announcement is repeated, before and after the worker has ended.
func TestWorkOfLeavingWorkerDoesNotRunTwice(t *testing.T) {
	for changes := range 3 {
		for _, runsOn := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%d changes, runs on for %v", changes, runsOn), func(t *testing.T) {
				runCell(t, 3, func(b *testCell) {
					for _, id := range []string{"w0", "w1", "w2"} {
						b.fleet.change(id, func(w *fakeWorker) { w.taskDuration = 15 * time.Second })
					}
					b.submit(jobID1, taskStep(6, 1))
					time.Sleep(500 * time.Millisecond)
					id := b.workerWithAttempts()
					b.drain(id)
					b.fleet.change(id, func(w *fakeWorker) { w.unreachable = true })
					b.do(deregistration(id, 1))
					for i := range changes {
						b.changeLeader(uint64(i + 2))
						b.do(deregistration(id, 1))
					}
					time.AfterFunc(runsOn, func() { b.endWorker(id) })
					time.AfterFunc(runsOn+2*time.Second, func() { b.leader.Do(context.Background(), deregistration(id, 1)) })
					b.waitForState(jobID1, cell.Complete, 40*time.Second)
					assert.Assert(t, b.hasLeft(id))
				})
			})
		}
	}
}

// Guards against tasks of a worker that leaves which wait for the expiry of its lease although
// the worker has stopped them, and against an acknowledgement that takes long.
func TestStoppedWorkOfLeavingWorkerStartsAtOnce(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.stopDuration = 200 * time.Millisecond })
		b.fleet.change("w1", func(w *fakeWorker) { w.stopDuration = 200 * time.Millisecond })
		b.submit(jobID1, taskStep(4, 1))
		time.Sleep(300 * time.Millisecond)
		id := b.workerWithAttempts()
		b.drain(id)
		began := time.Now()
		b.do(deregistration(id, 1))
		assert.Assert(t, time.Since(began) < 400*time.Millisecond, "acknowledged after %v", time.Since(began))
		b.endWorker(id)
		b.waitForState(jobID1, cell.Complete, 1700*time.Millisecond)
		assert.Assert(t, b.hasLeft(id))
	})
}

// Guards against a wait for workers that leave empty.
func TestEmptyWorkerLeavesAtOnce(t *testing.T) {
	for _, drained := range []bool{true, false} {
		runCell(t, 2, func(b *testCell) {
			if drained {
				b.drain("w0")
			}
			b.endWorker("w0")
			began := time.Now()
			b.do(deregistration("w0", 1))
			assert.Assert(t, b.hasLeft("w0"))
			assert.Assert(t, time.Since(began) < 50*time.Millisecond, "acknowledged after %v", time.Since(began))
		})
	}
}

// Guards against a team's limit that does not count the work on a worker which has announced
// that it is shutting down and may still run it.
func TestWorkOfLeavingWorkerCountsForTeam(t *testing.T) {
	runCell(t, 2, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = 10 * time.Second })
		b.fleet.change("w1", func(w *fakeWorker) { w.taskDuration = 10 * time.Second })
		b.submit(jobID1, taskStep(4, 1))
		time.Sleep(300 * time.Millisecond)
		usage := func() structs.Resources {
			var limit, headroom structs.Resources
			b.store.View(func(v *cell.View) { limit, headroom = v.Headroom("nobody"), v.Headroom("") })
			return limit.Sub(headroom)
		}
		assert.Equal(t, usage().MilliCPU, int64(4000))
		id := b.workerWithAttempts()
		b.fleet.change(id, func(w *fakeWorker) { w.unreachable = true })
		b.drain(id)
		b.do(deregistration(id, 1))
		assert.Equal(t, usage().MilliCPU, int64(4000))
		assert.Assert(t, !b.hasLeft(id))
		b.waitForState(jobID1, cell.Complete, 20*time.Second)
	})
}

// Guards against a late announcement of an incarnation that ends the work of its successor.
func TestLateDepartureDoesNotEndSuccessor(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.restartWorker("w0", 2, 0, 0)
		b.submit(jobID1, taskStep(1, 1))
		time.Sleep(500 * time.Millisecond)
		b.do(deregistration("w0", 1))
		b.waitForState(jobID1, cell.Complete, 2*time.Second)
		assert.Equal(t, b.startCount(jobID1, 0), 1)
	})
}

// deregistrationLog fails the commits which record that a worker has left, with err, until
// healed is set.
type deregistrationLog struct {
	*fakeLog
	err    error
	healed atomic.Bool
}

func (l *deregistrationLog) Propose(ctx context.Context, command []byte) (any, error) {
	var c cell.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	if !l.healed.Load() && c.Register != nil && c.Register.Deregistered {
		return nil, l.err
	}
	return l.fakeLog.Propose(ctx, command)
}

// Guards against a departure that is refused as not carried out although its first commit has
// marked the worker, which gets no work any more.
func TestDepartureInProgressIsNotRefused(t *testing.T) {
	for name, failure := range map[string]error{"overload": replica.ErrOverloaded, "leadership lost": &port.NotLeaderError{Group: "cell"}} {
		var log *deregistrationLog
		runCellWith(t, 1, func(c *Config) {
			log = &deregistrationLog{fakeLog: c.Log.(*fakeLog), err: failure}
			c.Log = log
		}, func(b *testCell) {
			r := b.leader.Do(b.t.Context(), deregistration("w0", 1))
			b.store.View(func(v *cell.View) { assert.Assert(t, v.Worker("w0").Departing, name) })
			assert.Assert(t, r.Unknown != "" && r.Refused == "" && !r.NotLeader, "%s: %+v", name, r)
			log.healed.Store(true)
			b.do(deregistration("w0", 1))
			assert.Assert(t, b.hasLeft("w0"), name)
		})
	}
}
