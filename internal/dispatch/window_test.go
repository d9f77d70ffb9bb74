package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

// Load: far more ready steps than one plan can look at. Guards against steps that get advice
// and come to their next turn only after it has expired, and against steps that never come to
// their turn.
func TestCutPlansReachAllStepsAndKeepAdviceValid(t *testing.T) {
	var w planWindow
	var steps []*readyStep
	for i := range 1000 {
		steps = append(steps, &readyStep{key: cell.StepKey{Job: fmt.Sprintf("%04d", i)}})
	}
	served := steps[700].key
	inService := map[cell.StepKey]time.Duration{served: 0}
	const reached = 300 // by each plan
	seen := map[cell.StepKey]int{}
	for plan := range 6 {
		list := w.arrange(steps, inService)
		assert.Equal(t, len(list), len(steps))
		for i, rs := range list[:reached] {
			seen[rs.key]++
			if i < firstSteps {
				assert.Equal(t, rs.key, steps[i].key)
			}
		}
		if plan > 0 {
			assert.Equal(t, list[firstSteps].key, served, "a step with valid advice waits")
		}
		w.cut(list[reached:])
	}
	for _, rs := range steps {
		assert.Assert(t, seen[rs.key] > 0, "%s was never looked at", rs.key.Job)
	}
	w.cut(nil)
	assert.Equal(t, w.arrange(steps, inService)[firstSteps].key, steps[firstSteps].key)
}
