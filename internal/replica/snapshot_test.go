package replica

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

// refusingStorage is a storage that cannot store snapshots while refusing is set.
type refusingStorage struct {
	port.LogStorage
	refusing atomic.Bool
	refused  atomic.Int64
	stored   atomic.Uint64 // index of the newest stored snapshot
}

func (s *refusingStorage) SaveSnapshot(snapshot *peerv1.RaftSnapshot) error {
	if s.refusing.Load() {
		s.refused.Add(1)
		return errors.Join(port.ErrNotStored, errors.New("too many open files"))
	}
	err := s.LogStorage.SaveSnapshot(snapshot)
	if err == nil {
		s.stored.Store(snapshot.Index)
	}
	return err
}

// newRefusingCluster returns a cluster of three replicas with their storages by id.
func newRefusingCluster(t testing.TB) (*cluster, map[string]*refusingStorage) {
	storages := map[string]*refusingStorage{}
	c := newCluster(t, func(cfg *Config) {
		storages[cfg.ID] = &refusingStorage{LogStorage: cfg.Storage}
		cfg.Storage = storages[cfg.ID]
	}, "a.1", "b.1", "c.1")
	return c, storages
}

// Guards against a replica that stops because a snapshot cannot be stored, against one that
// tries again without a pause, and against one that never does.
func TestSnapshotThatIsNotStoredIsStoredLater(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, storages := newRefusingCluster(t)
		leader := c.leader()
		for _, s := range storages {
			s.refusing.Store(true)
		}
		began := time.Now()
		c.propose(0, 200)
		for id, s := range storages {
			c.waitCommands(id, 200)
			wait(t, id+" has taken no snapshot", func() bool { return s.refused.Load() > 0 })
			assert.Assert(t, s.refused.Load() <= 2+int64(time.Since(began)/snapshotRetryDelay), "%d tries", s.refused.Load())
		}
		assert.Equal(t, c.leader(), leader)
		for _, s := range storages {
			s.refusing.Store(false)
		}
		for id, s := range storages {
			wait(t, id+" has stored no snapshot", func() bool { return s.stored.Load() >= 200 })
		}
		c.propose(200, 210)
		for id := range storages {
			c.waitCommands(id, 210)
		}
	})
}

// receiveRefusedSnapshot returns a cluster with a follower that has received a snapshot of
// 300 commands and cannot store it, and the follower's storage.
func receiveRefusedSnapshot(t *testing.T) (*cluster, *Replica, *refusingStorage) {
	t.Helper()
	c, storages := newRefusingCluster(t)
	leader := c.leader()
	behind, _ := c.followers(leader)
	storage := storages[behind.cfg.ID]
	c.net.setCut(behind.cfg.ID, true)
	c.propose(0, 300)
	wait(t, "the leader has stored no snapshot", func() bool { return storages[leader.cfg.ID].stored.Load() > 100 })
	storage.refusing.Store(true)
	c.net.setCut(behind.cfg.ID, false)
	wait(t, "no snapshot was received", func() bool { return storage.refused.Load() > 1 })
	return c, behind, storage
}

// Guards against a replica that stops because a received snapshot cannot be stored, and
// against one that goes on without it.
func TestReceivedSnapshotIsStoredLater(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, behind, storage := receiveRefusedSnapshot(t)
		storage.refusing.Store(false)
		c.waitCommands(behind.cfg.ID, 300)
		assert.NilError(t, behind.Err())
	})
}

// Guards against a replica that cannot be stopped while it stores a received snapshot.
func TestStopWhileReceivedSnapshotIsNotStored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		_, behind, _ := receiveRefusedSnapshot(t)
		stopped := make(chan struct{})
		go func() { behind.Stop(); close(stopped) }()
		select {
		case <-stopped:
		case <-time.After(5 * time.Second):
			t.Fatal("still running")
		}
	})
}
