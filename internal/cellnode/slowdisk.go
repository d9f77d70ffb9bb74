package cellnode

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

const (
	// slowAppend is an append that takes so long that it delays urgent work: a
	// sound disk syncs in 4 to 6 ms.
	slowAppend = 60 * time.Millisecond
	// slowAppends in a row make a leader hand over.
	slowAppends = 4
	// diskInterval is how often the leader looks at its disk.
	diskInterval = 100 * time.Millisecond
)

// timedStorage counts the slow appends in a row of a storage.
type timedStorage struct {
	port.LogStorage
	clock port.Clock
	slow  atomic.Int64
}

// Append implements port.LogStorage.
func (s *timedStorage) Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error {
	began := s.clock.Now()
	err := s.LogStorage.Append(hard, entries)
	if s.clock.Now()-began >= slowAppend {
		s.slow.Add(1)
	} else {
		s.slow.Store(0)
	}
	return err
}

// watchDisk hands leadership over while the process leads on a slow disk: the
// group commits as fast as its leader and the faster of the others.
func (n *Node) watchDisk(ctx context.Context, s *timedStorage) {
	for cellapi.Pause(ctx, diskInterval) {
		slow := s.slow.Load()
		if slow < slowAppends || n.replica.Status().Role != raft.Leader {
			continue
		}
		n.c.Logger.Warn("leading on a slow disk, handing over", logging.Step("watch disk"), "slow_appends", slow)
		s.slow.Store(0)
		n.Resign()
	}
}
