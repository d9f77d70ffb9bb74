package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/structs"
)

// Load pattern: short work at once behind a long backlog. Guards against urgent jobs that
// wait until a plan of all that waits has ended, which takes many pauses.
func TestUrgentJobJoinsPlanInProgress(t *testing.T) {
	const readySteps, workers = 6000, 350
	term := newLoadedTerm(t, readySteps, workers)
	configuration := &cell.Configuration{Version: 2}
	term.leader.Store.View(func(v *cell.View) {
		configuration.Services, configuration.Queues = v.Configuration().Services, v.Configuration().Queues
	})
	configuration.Queues = append(configuration.Queues, cell.Queue{Name: "u", Host: "h", Prefix: "/u/", Service: service, TimeoutMS: 1000, ObjectiveMS: 250, Public: true})
	commit := func(c *cell.Command) {
		result, err := term.leader.propose(t.Context(), c)
		assert.NilError(t, err)
		assert.Equal(t, result.(cell.Verdict), cell.Accepted)
	}
	commit(&cell.Command{Configure: configuration})
	planned := make(chan struct{})
	go func() {
		term.planOnce()
		close(planned)
	}()
	time.Sleep(maxPlanSlice)
	id := fmt.Sprintf("%016x", 1<<32)
	step := cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 100, MemoryBytes: 1 << 20}, EstimateMS: 200}
	commit(&cell.Command{Submit: &cell.Submit{Request: cell.Request{Host: "h", Path: "/u/" + id}, Job: cell.Submission{ID: id, Steps: []cell.Step{step}}}})
	select {
	case <-planned:
		t.Fatal("the plan has ended before the job was submitted")
	default:
	}
	<-planned
	started := false
	term.leader.Store.View(func(v *cell.View) {
		for _, w := range v.Workers() {
			if _, ok := w.Attempts[cell.TaskKey{StepKey: cell.StepKey{Job: id}}]; ok {
				started = true
			}
		}
	})
	assert.Assert(t, started)
}

// Guards against plans that copy the attempts of all workers although those of few have
// changed, and against a plan that sees attempts as they were before.
func TestPlansCopyOnlyChangedAttempts(t *testing.T) {
	term := newLoadedTerm(t, 40, 350)
	term.planOnce()
	copies := term.attemptCopies
	workers := func() map[string]*cell.Worker {
		found := map[string]*cell.Worker{}
		term.leader.Store.View(func(v *cell.View) {
			for _, w := range copies.copyWorkers(v) {
				found[w.ID] = w
			}
		})
		return found
	}
	before := workers()
	changed := cell.Placement{}
	term.leader.Store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			for task, a := range w.Attempts {
				changed = cell.Placement{Task: task, Run: a.Run, Worker: id, Born: w.Born}
			}
		}
	})
	assert.Assert(t, changed.Worker != "", "the plan has placed nothing")
	assert.NilError(t, term.commitUnstarted(changed.Worker, changed.Born, changed.Task, changed.Run))
	allocations := testing.AllocsPerRun(10, func() { workers() })
	after := workers()
	_, still := after[changed.Worker].Attempts[changed.Task]
	assert.Assert(t, !still, "the attempt has ended")
	_, earlier := before[changed.Worker].Attempts[changed.Task]
	assert.Assert(t, earlier, "a plan in progress keeps its copy")
	assert.Assert(t, allocations < 50, "%v allocations for 350 workers", allocations)
}
