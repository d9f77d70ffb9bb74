package replica

import (
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/raft"
)

// maxHeartbeatsInWrite is how long after the beginning of a write heartbeats go on. If a
// leader's disk hangs, another replica should lead.
const maxHeartbeatsInWrite = raft.LeaseDuration

// write calls a function that writes to the storage. In the meantime heartbeats are sent and
// answered, since a write may take longer than a lease.
func (r *Replica) write(store func() error) error {
	done := make(chan error, 1)
	go func() { done <- store() }()
	limit := time.NewTimer(maxHeartbeatsInWrite)
	defer limit.Stop()
	woken := false
	defer func() {
		if woken {
			r.wakeUp() // what else was queued waits for the next turn
		}
	}()
	for {
		ticks := r.ticks
		if r.node.Status().Role != raft.Leader {
			ticks = nil // the tick is handled after the write
		}
		select {
		case err := <-done:
			return err
		case <-limit.C:
			return <-done
		case <-ticks:
			r.node.Tick(r.cfg.Clock.Now())
		case <-r.wake:
			woken = true
			if !r.stepHeartbeats() {
				continue
			}
		}
		// The lease is published before the messages are sent, as in handleReadys.
		r.publish()
		r.send(r.node.UrgentMessages())
	}
}

// stepHeartbeats handles the queued heartbeats and answers to heartbeats that need not be
// stored, and leaves the other messages in the queue. It returns false if there are none.
func (r *Replica) stepHeartbeats() bool {
	r.mu.Lock()
	messages := r.queue.messages
	r.queue.messages = nil
	r.mu.Unlock()
	now := r.cfg.Clock.Now() // as in processQueue
	var others []*peerv1.RaftMessage
	for _, m := range messages {
		if !r.node.StepHeartbeat(now, m) {
			others = append(others, m)
		}
	}
	r.mu.Lock()
	r.queue.messages = append(others, r.queue.messages...)
	r.mu.Unlock()
	return len(others) < len(messages)
}
