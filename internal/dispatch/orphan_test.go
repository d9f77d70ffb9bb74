package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/port"
)

// hookedLog calls hook with each command before it is proposed. A command for which hook
// returns false is refused.
type hookedLog struct {
	Log
	hook func(c *cell.Command) bool
}

func (l *hookedLog) Propose(ctx context.Context, command []byte) (any, error) {
	var c cell.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	if !l.hook(&c) {
		return nil, &port.NotLeaderError{Group: "cell"}
	}
	return l.Log.Propose(ctx, command)
}

// Guards against jobs that never start because a plan was committed after its proposal had
// timed out: no order is sent for its attempts, and on a worker without other attempts
// nothing closes them.
func TestAttemptsOfLateCommitAreClosed(t *testing.T) {
	gang := taskStep(2, 3)
	gang.Gang = true
	for name, step := range map[string]cell.Step{"gang": gang, "task": taskStep(1, 3)} {
		t.Run(name, func(t *testing.T) {
			const delay = proposeTimeout + time.Second
			runCellWith(t, 2, func(c *Config) {
				log := &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: time.Millisecond}
				paused := false
				c.Log = &hookedLog{log, func(c *cell.Command) bool {
					if c.Start != nil && !paused {
						paused = true
						log.pause(delay)
					}
					return true
				}}
			}, func(b *testCell) {
				b.submit(jobID1, step)
				b.waitForState(jobID1, cell.Complete, delay+orphanTimeout+renewalWait+2*time.Second)
			})
		})
	}
}

// Guards against capacity that is never released because the job was cancelled before its
// start order was sent and the commit of the attempt's end failed.
func TestAttemptOfCancelledJobIsClosed(t *testing.T) {
	runCellWith(t, 1, func(c *Config) {
		log := c.Log.(*fakeLog)
		cancelled, refused := false, false
		c.Log = &hookedLog{log, func(c *cell.Command) bool {
			if c.RecordEnds == nil || !cancelled || refused {
				return true
			}
			refused = true
			return false
		}}
		apply := log.apply
		log.apply = func(index uint64, command []byte) any {
			result := apply(index, command)
			var decoded cell.Command
			if cbor.Unmarshal(command, &decoded) == nil && decoded.Start != nil && !cancelled {
				cancelled = true
				request := jobRequest(jobID1)
				data, err := cell.Encode(&cell.Command{Cancel: &request})
				assert.NilError(t, err)
				log.index++
				apply(log.index, data)
			}
			return result
		}
	}, func(b *testCell) {
		b.submit(jobID1, taskStep(1, 3))
		for range 200 {
			b.reportAll()
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, b.workerWithAttempts(), "")
	})
}

// Guards against an attempt that is never closed because its worker got another address
// while the start order was being sent.
func TestAttemptIsClosedAfterChangeOfAddress(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.startDelay = time.Hour })
		b.submit(jobID1, taskStep(1, 3))
		time.Sleep(callTimeout / 2)
		assert.Equal(t, b.workerWithAttempts(), "w0")
		moved := firstReport("w0", 1, 9)
		moved.Report.Sequence = 2
		b.do(moved)
		b.fleet.change("w0", func(w *fakeWorker) { w.startDelay = 0 })
		b.waitForState(jobID1, cell.Complete, startValidity+failedStartAvoidance+renewalWait+2*time.Second)
	})
}

// Guards against work that is lost because the renewal of its worker's lease waits for the
// commit of another attempt's end.
func TestLeaseIsRenewedWhileEndIsCommitted(t *testing.T) {
	const delay = 2500 * time.Millisecond // shorter than proposeTimeout, longer than the short lease
	runCellWith(t, 1, func(c *Config) {
		log := &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: time.Millisecond}
		paused := false
		c.Log = &hookedLog{log, func(c *cell.Command) bool {
			if c.RecordEnds != nil && !paused {
				paused = true
				log.pause(delay)
			}
			return true
		}}
	}, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = 3 * time.Second })
		b.submitTo(shortObjectivePath, jobID1, taskStep(1, 1))
		time.Sleep(2500 * time.Millisecond)
		b.reportAll()
		b.submitTo(shortObjectivePath, "00000000000000b8", taskStep(1, 1))
		b.waitForStateAt(shortObjectivePath, "00000000000000b8", cell.Complete, 20*time.Second)
		assert.Equal(t, b.startCount("00000000000000b8", 0), 1)
	})
}

// Guards against ends that are counted and committed again, when commits are slow already,
// because they are compared with the state before their commit.
func TestEndIsCommittedOnceWhileCommitsAreSlow(t *testing.T) {
	const delay = 2500 * time.Millisecond // shorter than proposeTimeout, longer than a renewal waits for a commit
	commits := 0
	runCellWith(t, 1, func(c *Config) {
		log := &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: time.Millisecond}
		c.Log = &hookedLog{log, func(c *cell.Command) bool {
			if c.RecordEnds != nil && len(c.RecordEnds.Ends) > 0 {
				if commits++; commits == 1 {
					log.pause(delay)
				}
			}
			return true
		}}
	}, func(b *testCell) {
		b.submit(jobID1, taskStep(1, 1))
		b.waitForState(jobID1, cell.Complete, 2*time.Second+delay)
		time.Sleep(delay)
		assert.Equal(t, commits, 1)
	})
}

// Guards against tasks that are started on an incarnation that has not registered yet, and
// then again elsewhere, because its answer makes its predecessor usable until a commit ends.
func TestUnregisteredIncarnationGetsNoStarts(t *testing.T) {
	runCellWith(t, 1, func(c *Config) {
		c.Log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: 200 * time.Millisecond}
	}, func(b *testCell) {
		b.fleet.change("w0", func(w *fakeWorker) { w.unreachable = true })
		b.submit(jobID1, taskStep(1, 1))
		time.Sleep(startValidity + time.Second)
		started := b.startCount(jobID1, 0)
		b.fleet.change("w0", func(w *fakeWorker) { *w = *newFakeWorker(2, w) })
		time.Sleep(5 * probeInterval)
		assert.Equal(t, b.startCount(jobID1, 0), started)
		b.do(firstReport("w0", 2, 0))
		b.waitForState(jobID1, cell.Complete, 10*time.Second)
	})
}

// Guards against a task that runs twice because its worker restarted unnoticed: the new
// incarnation carries out the order, and the task is started elsewhere when that shows.
func TestOrderToRestartedWorkerDoesNotRunTwice(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		time.Sleep(time.Second)
		b.fleet.change("w0", func(w *fakeWorker) {
			*w = *newFakeWorker(2, w)
			w.taskDuration = 3 * time.Second
		})
		b.submit(jobID1, taskStep(1, 3))
		time.Sleep(retryDelay / 2)
		b.register("w1", 1, 1)
		time.Sleep(time.Second)
		b.do(firstReport("w0", 2, 0))
		b.waitForState(jobID1, cell.Complete, 10*time.Second)
	})
}
