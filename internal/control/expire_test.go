package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/structs"
)

// TestWorkersOfRackAreLostInOneCommand guards against a command for each worker of a
// rack or data centre that fails, and against attempts of lost workers that are not run
// again if the first proposal of the command was lost.
func TestWorkersOfRackAreLostInOneCommand(t *testing.T) {
	for _, first := range []int{outcomeApplied, unknownApplied, unknownLost} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			l := newLeader(t)
			for i := range 60 {
				l.addWorker(fmt.Sprintf("w%d", i), cores(1))
			}
			l.allot("a", cores(1000))
			spec := batchSpec("a", cores(1))
			spec.Tasks = 60
			id := l.mustSubmit(1, spec)
			l.runRound()
			l.advance(5 * time.Second)
			sent := 0
			l.log.outcome = func() int {
				// The first proposal advances the log time; the second declares the loss.
				if sent++; sent == 2 {
					return first
				}
				return outcomeApplied
			}
			l.server.expireOnce(t.Context(), l.group, l.log.since)
			assert.Equal(t, sent, 2)
			l.server.expireOnce(t.Context(), l.group, l.log.since)
			for _, w := range l.group.Store.LeasedWorkers() {
				assert.Assert(t, w.Lost)
				assert.Equal(t, w.Attempts, 0)
			}
			j := l.job(id)
			for i := range j.Tasks {
				assert.Equal(t, j.Tasks[i].State, structs.TaskWaiting)
			}
			for _, w := range l.workers {
				l.heartbeat(w)
			}
			for _, w := range l.group.Store.LeasedWorkers() {
				assert.Assert(t, !w.Lost, "worker %s is still lost after its heartbeat", w.ID)
			}
		})
	}
}
