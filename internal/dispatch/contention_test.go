package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

// Guards against starts of tasks with time to spare that delay urgent jobs on a busy processor,
// and against work that is held back although it has no time left, or no urgent job needs it.
func TestStepsWithTimeToSpareGiveWay(t *testing.T) {
	urgent := &cell.Queue{Priority: 0}
	later := &cell.Queue{Priority: 2}
	newStep := func(job string, q *cell.Queue, spare, left time.Duration) *readyStep {
		return &readyStep{key: cell.StepKey{Job: job}, queue: q, step: &cell.Step{}, spare: spare, deadline: left}
	}
	gang, daemon := newStep("gang", later, 10*time.Second, 9*time.Second), newStep("daemon", later, 10*time.Second, 9*time.Second)
	gang.step, daemon.step = &cell.Step{Gang: true}, &cell.Step{Daemon: true}
	steps := []*readyStep{
		newStep("urgent", urgent, 400*time.Millisecond, 300*time.Millisecond), newStep("spare", later, 10*time.Second, 9*time.Second),
		newStep("due", later, 10*time.Second, 4*time.Second), newStep("advised", later, 10*time.Second, 9*time.Second), gang, daemon,
	}
	inService := map[cell.StepKey]time.Duration{{Job: "advised"}: 0}
	for name, test := range map[string]struct {
		delay    time.Duration
		steps    []*readyStep
		givesWay bool
	}{
		"turns are late":    {20 * time.Millisecond, steps, true},
		"turns are in time": {5 * time.Millisecond, steps, false},
		"no urgent job":     {20 * time.Millisecond, steps[1:], false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &planner{}
			kept := (&term{turnDelay: turnDelay{test.delay}}).withoutGivingWay(p, test.steps, inService)
			var jobs []string
			for _, rs := range kept {
				jobs = append(jobs, rs.key.Job)
			}
			if test.givesWay {
				assert.DeepEqual(t, jobs, []string{"urgent", "due", "advised", "gang", "daemon"})
				assert.Equal(t, p.waiting[waitsForTurn], 1)
			} else {
				assert.Equal(t, len(kept), len(test.steps))
			}
		})
	}
}
