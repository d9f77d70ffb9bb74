package cell

import (
	"testing"

	"gotest.tools/v3/assert"
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
