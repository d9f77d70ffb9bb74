package dispatch

import (
	"fmt"
	"slices"
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
		w.record(list[reached:])
	}
	for _, rs := range steps {
		assert.Assert(t, seen[rs.key] > 0, "%s was never looked at", rs.key.Job)
	}
	w.record(nil)
	assert.Equal(t, w.arrange(steps, inService)[firstSteps].key, steps[firstSteps].key)
}

// Guards against a plan that begins with the same steps again because the one at which the
// last plan ended has started, has got advice, or is now among the first.
func TestCutPlanGoesOnAfterStepThatIsGone(t *testing.T) {
	var steps []*readyStep
	for i := range 1000 {
		steps = append(steps, &readyStep{key: cell.StepKey{Job: fmt.Sprintf("%04d", i)}})
	}
	for name, change := range map[string]func(inService map[cell.StepKey]time.Duration) []*readyStep{
		"gone":    func(map[cell.StepKey]time.Duration) []*readyStep { return slices.Delete(slices.Clone(steps), 500, 501) },
		"advised": func(s map[cell.StepKey]time.Duration) []*readyStep { s[steps[500].key] = 0; return steps },
		"first": func(map[cell.StepKey]time.Duration) []*readyStep {
			return slices.Concat(steps[500:501], steps[:500], steps[501:])
		},
	} {
		var w planWindow
		w.record(steps[500:])
		inService := map[cell.StepKey]time.Duration{}
		list := w.arrange(change(inService), inService)
		assert.Equal(t, list[firstSteps+len(inService)].key, steps[501].key, name)
	}
}
