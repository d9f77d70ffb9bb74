package cellnode

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

const (
	// slowAppendThreshold is the duration from which an append counts as slow, because
	// it delays urgent work. A healthy disk syncs in 4 to 6 ms. The wait for the processor
	// after the sync does not count.
	slowAppendThreshold = 60 * time.Millisecond
	// maxSlowAppends is the number of consecutive slow appends after which a leader
	// transfers leadership. A single slow sync must not cause a transfer.
	maxSlowAppends = 4
	// diskCheckInterval is the interval at which the count of slow appends is checked.
	diskCheckInterval = 100 * time.Millisecond
)

// timedStorage wraps a storage and counts its consecutive slow appends.
type timedStorage struct {
	port.LogStorage
	clock port.Clock
	// consecutiveSlowAppends is the current number of consecutive slow appends.
	consecutiveSlowAppends atomic.Int64
}

// Append implements port.LogStorage. It resets the count if the append was not slow. Of
// the waits for the processor only the longest is subtracted, since those during a sync do
// not delay the append.
func (s *timedStorage) Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error {
	probe := startProcessorProbe(s.clock)
	began := s.clock.Now()
	err := s.LogStorage.Append(hard, entries)
	took := s.clock.Now() - began
	if took-probe.stop() >= slowAppendThreshold {
		s.consecutiveSlowAppends.Add(1)
	} else {
		s.consecutiveSlowAppends.Store(0)
	}
	return err
}

// watchDisk transfers leadership when the process leads and its disk is slow, until the
// context ends. A commit needs the disk of the leader and of one follower, so a slow disk
// delays all commits only if it is the leader's.
func (n *Node) watchDisk(ctx context.Context, s *timedStorage) {
	for cellapi.Pause(ctx, diskCheckInterval) {
		slow := s.consecutiveSlowAppends.Load()
		if slow < maxSlowAppends || n.replica.Status().Role != raft.Leader {
			continue
		}
		s.consecutiveSlowAppends.Store(0)
		n.Resign(fmt.Sprintf("the last %d appends to the log took at least %v", slow, slowAppendThreshold))
	}
}
