package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/structs"
)

// newFullPlanner returns a planner whose workers are full with tasks of 8 cores
// each that may be preempted.
func newFullPlanner(workers int, advice map[cell.StepKey]*stepAdvice) *planner {
	p := newPlanner(workers, advice)
	p.lastPreemption = map[cell.StepKey]time.Duration{}
	for _, c := range p.candidates {
		c.free = structs.Resources{}
	}
	p.victims = func(c *candidate, priority int) []victim {
		if priority >= 2 {
			return nil
		}
		var list []victim
		for i := range 8 {
			key := cell.TaskKey{StepKey: cell.StepKey{Job: "low " + c.id}, Index: i}
			list = append(list, victim{worker: c.id, task: key, run: 1, size: structs.Resources{MilliCPU: 8000, MemoryBytes: 16 << 30}, slack: time.Duration(10+i) * time.Second})
		}
		return list
	}
	return p
}

// Guards against a gang that waits for capacity while tasks with slack use it, and
// against the preemption of more tasks than necessary.
func TestGangPreemptsTasksWithSlack(t *testing.T) {
	names := []string{"w00", "w01", "w02", "w03"}
	p := newFullPlanner(4, map[cell.StepKey]*stepAdvice{{Job: "a"}: adviceAllowing(time.Minute, names...)})
	rs := p.newReadyStep("a", 1, newGangStep(4, 18))
	p.planSteps([]*readyStep{rs})
	assert.Equal(t, len(p.adviceRequests), 0, "it waits for a moment first")
	assert.DeepEqual(t, p.newlyBlocked, []cell.StepKey{rs.key})
	p = newFullPlanner(4, map[cell.StepKey]*stepAdvice{rs.key: adviceAllowing(time.Minute, names...)})
	p.lastPreemption[rs.key] = p.now - preemptionRetryDelay
	rs = p.newReadyStep("a", 1, newGangStep(4, 18))
	p.planSteps([]*readyStep{rs})
	assert.Equal(t, len(p.placements), 0)
	assert.Equal(t, len(p.adviceRequests), 1)
	q := p.adviceRequests[0]
	assert.Equal(t, len(q.heldPlacements), 4)
	// Three tasks of 8 cores free enough for one task of 18, and nine for four tasks
	// if the cores left over are used.
	assert.Assert(t, len(q.stops) >= 9 && len(q.stops) <= 10, "%d stops", len(q.stops))
	assert.Equal(t, q.stops[0].slack, 17*time.Second, "the task with the most slack is preempted first")
	assert.Equal(t, len(q.workers), len(workersOf(q.heldPlacements)))
	// Held capacity is not given to others.
	low := p.newReadyStep("b", 2, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 1000}})
	low.queue.Advice = nil
	p.planSteps([]*readyStep{low})
	assert.Equal(t, len(p.placements), 0)
}

func workersOf(placements []cell.Placement) map[string]bool {
	workers := map[string]bool{}
	for i := range placements {
		workers[placements[i].Worker] = true
	}
	return workers
}

// Guards against the preemption of tasks for a gang that still does not fit, that
// is late anyway, for which tasks were preempted just before, or that is no more
// urgent than these tasks.
func TestNoUselessPreemption(t *testing.T) {
	for name, change := range map[string]func(p *planner, rs *readyStep){
		"too wide":     func(_ *planner, rs *readyStep) { rs.step.Size.MilliCPU = 65_000 },
		"late":         func(_ *planner, rs *readyStep) { rs.late = true },
		"just now":     func(p *planner, rs *readyStep) { p.lastPreemption[rs.key] = p.now - time.Second },
		"same urgency": func(_ *planner, rs *readyStep) { rs.queue.Priority = 2 },
	} {
		p := newFullPlanner(4, nil)
		rs := p.newReadyStep("a", 1, newGangStep(4, 18))
		rs.queue.Advice = nil
		p.lastPreemption[rs.key] = p.now - preemptionRetryDelay
		change(p, rs)
		p.planSteps([]*readyStep{rs})
		assert.Equal(t, len(p.stops), 0, name)
	}
}

// Guards against a search of all running tasks in each plan for a gang that cannot get
// enough of them preempted.
func TestFailedPreemptionIsNotRetriedAtOnce(t *testing.T) {
	p := newFullPlanner(4, nil)
	rs := p.newReadyStep("a", 1, newGangStep(40, 18))
	rs.queue.Advice = nil
	p.lastPreemption[rs.key] = p.now - preemptionRetryDelay
	p.planSteps([]*readyStep{rs})
	assert.DeepEqual(t, p.preemptionsFailed, []cell.StepKey{rs.key})
	assert.Equal(t, len(p.stops), 0)
}

// Guards against preempted work that is lost or done twice, and against a gang
// that does not get the capacity that was freed for it.
func TestPreemptedWorkContinues(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		c := &cell.Configuration{
			Version: 2, Services: []cell.Service{{Name: service}},
			Queues: []cell.Queue{
				{Name: "q", Host: "h", Prefix: queuePath, Service: service, TimeoutMS: 1000, MaxFailures: 2, ObjectiveMS: 60_000, Priority: 2, Public: true},
				{Name: "g", Host: "h", Prefix: "/g/", Service: service, TimeoutMS: 1000, MaxFailures: 2, ObjectiveMS: 20_000, Stretch: 1, Priority: 1, Public: true},
			},
		}
		b.do(&cellapi.Call{Configure: c})
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = 10 * time.Second })
		low := taskStep(4, 1)
		low.Checkpointable = true
		b.submit(jobID1, low)
		time.Sleep(time.Second)
		b.reportAll()
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = time.Second })
		wide := taskStep(1, 3)
		wide.Gang = true
		b.submitTo("/g/", "00000000000000b8", wide)
		took := b.waitForStateAt("/g/", "00000000000000b8", cell.Complete, 5*time.Second)
		assert.Assert(t, took < 4*time.Second, "the gang took %v", took)
		b.waitForState(jobID1, cell.Complete, 15*time.Second)
		restarts := 0
		for i := range 4 {
			restarts += b.startCount(jobID1, i) - 1
		}
		assert.Equal(t, restarts, 3, "tasks that started again")
	})
}
