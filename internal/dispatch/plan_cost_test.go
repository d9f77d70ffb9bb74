package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

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
