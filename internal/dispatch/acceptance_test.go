package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

// Guards against a new leader that serves jobs which are long overdue before those that can
// still be in time, because it counts the time of all from its own election.
func TestNewLeaderKnowsTimeOfAcceptance(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.submitTo(shortObjectivePath, jobID1, taskStep(1, 8)) // the worker has 4 cores
		time.Sleep(time.Minute)
		b.changeLeader(2)
		b.reportAll()
		time.Sleep(time.Second)
		b.reportAll()
		term := b.leader.currentTerm()
		term.mu.Lock()
		defer term.mu.Unlock()
		timing, known := term.times[cell.OccurrenceKey{Job: jobID1}]
		assert.Assert(t, known)
		waited := b.leader.Clock.Now() - timing.firstSeen
		assert.Assert(t, waited >= time.Minute && waited < time.Minute+5*time.Second, "%v", waited)
	})
}
