package cell

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/structs"
)

// Guards against a fence that falls behind what a worker has accepted: the number of lives is
// lost in a snapshot, or differs between replicas because some applied commands of a leader of
// an earlier release.
func TestLivesAreCountedAlikeOnAllReplicas(t *testing.T) {
	s := NewStore(nil)
	register := func(born int64, counts bool) {
		s.register(&Register{ID: "w", Born: born, Address: "10.0.0.1:80", Service: "s", CountsLives: counts})
	}
	register(1, true)
	assert.Equal(t, s.Workers["w"].Lives, uint64(0))
	register(2, true)
	register(2, true)
	register(1, true)
	assert.Equal(t, s.Workers["w"].Lives, uint64(1))
	register(3, false)
	assert.Equal(t, s.Workers["w"].Lives, uint64(1))
	s.register(&Register{ID: "w", Born: 3, Address: "10.0.0.1:80", Service: "s", Deregistered: true})
	data, err := s.Snapshot()
	assert.NilError(t, err)
	s = NewStore(nil)
	assert.NilError(t, s.Restore(0, data))
	register(4, true)
	assert.Equal(t, s.Workers["w"].Lives, uint64(2))
}

// Guards against a job that fails for crashes under a task that has hardly run: its worker starts
// again and again before it has been called, and each life inherits the attempt.
func TestInheritedAttemptCountsOneCrash(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	assert.Assert(t, b.start(placement(firstID, 0, 0, 1, "w0"))[0])
	for born := int64(2); born < 10; born++ {
		b.apply(&Command{Register: &Register{ID: "w0", Born: born, Address: "10.0.0.0:80", Service: "planner", Capacity: structs.Resources{MilliCPU: 8000}, CountsLives: true}})
	}
	assert.Equal(t, b.state(firstID).State, Active)
	b.store.View(func(v *View) {
		assert.Equal(t, v.Job(firstID).Occurrences[0][0].Tasks[0].PossibleCrashes(), 1)
		assert.Equal(t, len(v.Worker("w0").Attempts), 1)
	})
}
