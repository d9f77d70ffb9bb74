package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// snapshotlessStorage stores hard states, but no snapshot.
type snapshotlessStorage struct {
	port.LogStorage
	hard *peerv1.RaftHardState
}

func (s *snapshotlessStorage) Append(hard *peerv1.RaftHardState, _ []*peerv1.RaftEntry) error {
	s.hard = hard
	return nil
}

func (s *snapshotlessStorage) SaveSnapshot(*peerv1.RaftSnapshot) error { return port.ErrNotStored }

// Guards against a restart that applies entries which the snapshot of another history would have
// replaced: the snapshot could not be stored, and the stored commit index is that of the snapshot.
func TestCommitIndexOfUnstoredSnapshotIsNotStored(t *testing.T) {
	storage := &snapshotlessStorage{}
	r := &Replica{cfg: Config{Storage: storage}}
	hard := &peerv1.RaftHardState{Term: 4, Vote: "c", Commit: 10}
	err := r.store(&raft.Ready{HardState: hard, Snapshot: &peerv1.RaftSnapshot{Index: 10, Term: 3}})
	assert.ErrorIs(t, err, port.ErrNotStored)
	assert.Equal(t, storage.hard.Term, uint64(4))
	assert.Equal(t, storage.hard.Vote, "c")
	assert.Equal(t, storage.hard.Commit, uint64(0))
	assert.Equal(t, hard.Commit, uint64(10))
}
