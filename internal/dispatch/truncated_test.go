package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/structs"
)

// testListedEnds is the maximum number of ends in the listings of these tests.
const testListedEnds = 50

// smallTasks is a step with tasks of which a worker has room for many.
func smallTasks(n int) cell.Step {
	return cell.Step{Count: n, Size: structs.Resources{MilliCPU: 4000 / int64(n)}, EstimateMS: 2000}
}

// assertStartedOnce fails the test unless each task of a job with one step was started once.
func (b *testCell) assertStartedOnce(id string, tasks int) {
	b.t.Helper()
	for i := range tasks {
		assert.Equal(b.t, b.startCount(id, i), 1, "task %d", i)
	}
}

// Guards against tasks that are done and start again because a listing had no room for their
// ends: after one or two changes of the leader, on one worker and on many at once.
func TestEndsBeyondListingAreAwaitedAfterLeaderChange(t *testing.T) {
	const tasks = 5 * testListedEnds
	for _, workers := range []int{1, 20} {
		for changes := 1; changes <= 2; changes++ {
			t.Run(fmt.Sprintf("%d workers, %d changes", workers, changes), func(t *testing.T) {
				runCell(t, workers, func(b *testCell) {
					b.fleet.maxListedEnds = testListedEnds
					for i := range workers {
						b.fleet.change(fmt.Sprintf("w%d", i), func(w *fakeWorker) { w.taskDuration = 2 * time.Second })
					}
					var jobs []string
					for i := range workers {
						jobs = append(jobs, fmt.Sprintf("%016x", 0xb1+i))
						b.submit(jobs[i], smallTasks(tasks))
					}
					time.Sleep(1900 * time.Millisecond)
					for i := range changes {
						b.changeLeader(uint64(i + 2))
					}
					for _, id := range jobs {
						b.waitForState(id, cell.Complete, 2*time.Second)
						b.assertStartedOnce(id, tasks)
					}
				})
			})
		}
	}
}

// Guards against tasks that are done and start again because a listing had no room for their
// ends, which have piled up while the leader could commit nothing.
func TestEndsBeyondListingAreAwaitedAfterSlowCommits(t *testing.T) {
	const tasks = 5 * testListedEnds
	for _, path := range []string{queuePath, shortObjectivePath} {
		var log *slowLog
		runCellWith(t, 1, func(c *Config) {
			log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: time.Millisecond}
			c.Log = log
		}, func(b *testCell) {
			b.fleet.maxListedEnds = testListedEnds
			b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = 2 * time.Second })
			b.submitTo(path, jobID1, smallTasks(tasks))
			time.Sleep(1900 * time.Millisecond)
			log.pause(1200 * time.Millisecond) // shorter than the short lease
			b.waitForStateAt(path, jobID1, cell.Complete, 4*time.Second)
			b.assertStartedOnce(jobID1, tasks)
		})
	}
}

// Guards against stopped attempts that are taken for ones that never started because a
// listing had no room for their ends, and against a lease that lapses while they are listed.
func TestStoppedAttemptsBeyondListingEndOnce(t *testing.T) {
	const tasks = 3 * testListedEnds
	runCell(t, 1, func(b *testCell) {
		b.fleet.maxListedEnds = testListedEnds
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = 20 * time.Second })
		b.submit(jobID1, smallTasks(tasks))
		time.Sleep(500 * time.Millisecond)
		request := jobRequest(jobID1)
		data, err := cell.Encode(&cell.Command{Cancel: &request})
		assert.NilError(t, err)
		_, err = b.log.Propose(t.Context(), data)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, b.workerWithAttempts(), "")
		var lastEnd uint64
		b.store.View(func(v *cell.View) { lastEnd = v.Worker("w0").LastEnd })
		assert.Equal(t, lastEnd, uint64(tasks))
		b.assertStartedOnce(jobID1, tasks)
	})
}
