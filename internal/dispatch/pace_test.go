package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/structs"
)

// Guards against fillers that keep a serving task above its target, and against
// fillers that do not speed up again afterwards.
func TestFillersSlowDownForServingTasks(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		disturbing := true
		tailNow := func(w *fakeWorker) float64 {
			sum := 0
			for k, r := range w.running {
				if k.task.Job == jobID1 {
					sum += fullPace - r.speedReduction
				}
			}
			if !disturbing {
				sum = 0
			}
			return 40 + float64(sum)
		}
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration, w.tail = time.Hour, tailNow })
		serving, filler := taskStep(1, 1), taskStep(2, 1)
		serving.Daemon, serving.TailLatencyTargetMS = true, 100
		filler.Filler = true
		b.submit("00000000000000b9", serving)
		time.Sleep(500 * time.Millisecond)
		b.submit(jobID1, filler)
		overTarget := time.Duration(0)
		fillerSpeed := 0
		watch := func(d time.Duration) {
			for began := time.Now(); time.Since(began) < d; time.Sleep(50 * time.Millisecond) {
				b.reportAll()
				b.fleet.change("w0", func(w *fakeWorker) {
					if overTarget += 50 * time.Millisecond; tailNow(w) <= 100 {
						overTarget = 0
					}
					fillerSpeed = 0
					for k, r := range w.running {
						if k.task.Job == jobID1 {
							fillerSpeed = fullPace - r.speedReduction
						}
					}
				})
				assert.Assert(t, overTarget < 2*time.Second, "over the target for %v", overTarget)
			}
		}
		watch(20 * time.Second)
		assert.Assert(t, fillerSpeed > 0 && fillerSpeed <= 20, "the fillers work at %d percent", fillerSpeed)
		b.fleet.change("w0", func(*fakeWorker) { disturbing = false })
		watch(10 * time.Second)
		assert.Assert(t, fillerSpeed == fullPace, "the fillers work at %d percent beside tasks that they do not disturb", fillerSpeed)
	})
}

// Guards against speed changes that are too large.
func TestNextPace(t *testing.T) {
	for _, c := range []struct {
		pace int
		tail float64
		want int
	}{{100, 1.2, 0}, {100, 0.9, 50}, {50, 0.7, 50}, {50, 0.3, 60}, {95, 0, 100}} {
		assert.Equal(t, nextPace(c.pace, c.tail), c.want)
	}
}

// Guards against fillers that share the processors of one worker while others are
// unused, and against fillers beside serving tasks.
func TestFillersSpread(t *testing.T) {
	p := newPlanner(4, nil)
	rs := p.newReadyStep("a", 1, cell.Step{Count: 3, Filler: true, Size: structs.Resources{MilliCPU: 20_000, MemoryBytes: 1 << 30}})
	rs.queue.Advice = nil
	p.byID["w00"].serves = true
	p.byID["w01"].worker.Attempts = map[cell.TaskKey]cell.Attempt{{Index: 1}: {Size: rs.step.Size, Filler: true}}
	p.planSteps([]*readyStep{rs})
	assert.DeepEqual(t, placedOn(p), []string{"w01", "w02", "w03"})
	p = newPlanner(2, nil)
	p.byID["w00"].worker.Attempts = map[cell.TaskKey]cell.Attempt{{Index: 1}: {Size: rs.step.Size, Filler: true}}
	rs.step.Count, rs.occurrence = 1, &cell.StepOccurrence{Tasks: make([]cell.Task, 1)}
	p.headroom["red"] = structs.Resources{MilliCPU: 1 << 40, MemoryBytes: 1 << 60, Accelerators: 1}
	p.planSteps([]*readyStep{rs})
	assert.DeepEqual(t, placedOn(p), []string{"w01"})
}

// Guards against fillers that are stopped, and workers that get no other work, because
// the fillers make no progress while they are paced to a standstill.
func TestPacedFillersAreNotStalled(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		busy := true
		b.fleet.change("w0", func(w *fakeWorker) {
			w.taskDuration = time.Hour
			w.tail = func(*fakeWorker) float64 {
				if busy {
					return 200
				}
				return 10
			}
		})
		serving, filler := taskStep(1, 1), taskStep(1, 1)
		serving.Daemon, serving.TailLatencyTargetMS = true, 100
		filler.Filler = true
		b.submit("00000000000000b9", serving)
		b.runFor(500 * time.Millisecond)
		b.submit(jobID1, filler)
		b.runFor(20 * time.Second)
		assert.Equal(t, b.startCount(jobID1, 0), 1)
		b.fleet.change("w0", func(*fakeWorker) { busy = false })
		b.runFor(20 * time.Second)
		assert.Equal(t, b.startCount(jobID1, 0), 1)
	})
}
