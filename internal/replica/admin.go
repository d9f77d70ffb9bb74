package replica

import (
	"context"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/raft"
)

// runInLoop runs f in the replica's goroutine and returns its error. It returns an
// OutcomeUnknownError if the context ends first, since f may still be run, and
// ErrStopped if the replica stops.
func (r *Replica) runInLoop(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	r.mu.Lock()
	r.queue.calls = append(r.queue.calls, func() {
		err := f()
		r.publish() // the caller may read the published state next
		result <- err
	})
	r.mu.Unlock()
	r.wakeUp()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return &OutcomeUnknownError{r.cfg.Group, ctx.Err()}
	case <-r.done:
		return ErrStopped
	}
}

// changeMembership proposes one membership change and waits until it is committed.
func (r *Replica) changeMembership(ctx context.Context, c raft.Change) error {
	p := newProposal(nil)
	p.claimed.Store(true)
	err := r.runInLoop(ctx, func() error {
		index, term, err := r.node.ProposeChange(c)
		if err != nil {
			return r.translateError(err)
		}
		p.term = term
		r.waiters[index] = p
		return nil
	})
	if err != nil {
		return err
	}
	_, err = r.awaitProposal(ctx, p)
	return err
}

// CommitQueue describes the proposals that are not committed and the entries that the
// state machine of a leader has not applied.
type CommitQueue struct {
	// Waiting is the number of proposals that wait for their commit, and OldestAge how long
	// the first of them has been in the log.
	Waiting   int
	OldestAge time.Duration
	// Uncommitted is the number of entries beyond the commit index, Unapplied the number of
	// committed entries that are not applied.
	Uncommitted, Unapplied uint64
	// Lag is, by member, the number of entries that are not known to be stored there.
	Lag map[string]uint64
	// Transferring is set while leadership is being transferred.
	Transferring bool
}

// CommitQueue returns the state of the commit queue; it is empty unless the replica leads.
// The error is that of runInLoop.
func (r *Replica) CommitQueue(ctx context.Context) (CommitQueue, error) {
	var q CommitQueue
	err := r.runInLoop(ctx, func() error {
		s := r.node.Status()
		if s.Role != raft.Leader {
			return nil
		}
		now := r.cfg.Clock.Now()
		for _, p := range r.waiters {
			if p.proposedAt > 0 {
				q.Waiting, q.OldestAge = q.Waiting+1, max(q.OldestAge, now-p.proposedAt)
			}
		}
		q.Uncommitted, q.Unapplied, q.Transferring = s.LastIndex-s.CommitIndex, s.CommitIndex-s.AppliedIndex, s.Transferring
		q.Lag = make(map[string]uint64, len(s.Match))
		for id, match := range s.Match {
			q.Lag[id] = s.LastIndex - min(match, s.LastIndex)
		}
		return nil
	})
	if err != nil {
		return CommitQueue{}, err // the function may still run
	}
	return q, nil
}

// AddLearner adds a replica that receives the log but does not vote.
func (r *Replica) AddLearner(ctx context.Context, replica *peerv1.RaftReplica) error {
	return r.changeMembership(ctx, raft.Change{Kind: raft.AddLearner, Replica: replica})
}

// Promote makes a learner a voter. It fails with raft.ErrNotCaughtUp if the learner
// lacks entries that were committed at the last heartbeat round.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return r.changeMembership(ctx, raft.Change{Kind: raft.Promote, Replica: &peerv1.RaftReplica{Id: id}})
}

// Remove removes a member other than the leader.
func (r *Replica) Remove(ctx context.Context, id string) error {
	return r.changeMembership(ctx, raft.Change{Kind: raft.Remove, Replica: &peerv1.RaftReplica{Id: id}})
}

// TransferLeadership transfers leadership to the voter with the longest log and
// returns when this replica no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	err := r.runInLoop(ctx, func() error {
		err := r.node.TransferLeadership("")
		if err != nil {
			return r.translateError(err)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return r.pollUntil(ctx, func() (bool, error) {
		s := r.view.Load().status
		if s.Role == raft.Leader && !s.Transferring {
			return false, ErrTransferFailed
		}
		return s.Role != raft.Leader, nil
	})
}

// Recover makes this replica the only voter of a new generation of the group
// and returns when it holds a valid lease. An operator uses it after a permanent loss
// of the quorum; replicas of the old generation must be set up again.
func (r *Replica) Recover(ctx context.Context) error {
	self := &peerv1.RaftReplica{Id: r.cfg.ID, Address: r.cfg.Address}
	err := r.runInLoop(ctx, func() error {
		return r.node.Recover(r.cfg.Clock.Now(), self)
	})
	if err != nil {
		return err
	}
	r.log.Warn("group recovered by the operator under a new generation")
	return r.pollUntil(ctx, func() (bool, error) {
		_, valid := r.Lease()
		return valid, nil
	})
}
