package cellnode

import (
	"context"
	"time"

	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/raft"
)

const (
	// slowCommitThreshold is the age of the oldest proposal from which commits count as slow.
	slowCommitThreshold = 500 * time.Millisecond
	// commitCheckInterval is the interval at which the commit queue is checked.
	commitCheckInterval = time.Second
)

// watchCommits logs the state of the commit queue while commits of the leader are slow,
// until the context ends.
func (n *Node) watchCommits(ctx context.Context) {
	for cellapi.Pause(ctx, commitCheckInterval) {
		if n.replica.Status().Role != raft.Leader {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, commitCheckInterval)
		q, err := n.replica.CommitQueue(callCtx)
		cancel()
		switch {
		case err != nil:
			n.config.Logger.Warn("the replica does not answer", logging.Step("watch commits"), logging.Error(err))
		case q.OldestAge >= slowCommitThreshold:
			n.config.Logger.Warn("commits are slow", logging.Step("watch commits"), "oldest_ms", q.OldestAge.Milliseconds(), "waiting", q.Waiting,
				"uncommitted", q.Uncommitted, "unapplied", q.Unapplied, "lag", q.Lag, "transferring", q.Transferring)
		}
	}
}
