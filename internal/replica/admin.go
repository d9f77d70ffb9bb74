package replica

import (
	"context"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/raft"
)

// call runs f in the replica's goroutine and returns its error.
func (r *Replica) call(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	r.mu.Lock()
	r.queue.calls = append(r.queue.calls, func() {
		err := f()
		r.publish() // for callers that look at the state next
		result <- err
	})
	r.mu.Unlock()
	r.signal()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return &OutcomeUnknownError{r.cfg.Group, ctx.Err()}
	case <-r.done:
		return ErrStopped
	}
}

// change makes one membership change and waits until it is committed.
func (r *Replica) change(ctx context.Context, c raft.Change) error {
	p := newProposal(nil)
	p.taken.Store(true)
	err := r.call(ctx, func() error {
		index, term, err := r.node.ProposeChange(c)
		if err != nil {
			return r.refusal(err)
		}
		p.term = term
		r.waiters[index] = p
		return nil
	})
	if err != nil {
		return err
	}
	_, err = r.await(ctx, p)
	return err
}

// AddLearner adds a replica that receives the log but does not vote.
func (r *Replica) AddLearner(ctx context.Context, replica *peerv1.RaftReplica) error {
	return r.change(ctx, raft.Change{Kind: raft.AddLearner, Replica: replica})
}

// Promote makes a learner that is caught up a voter.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return r.change(ctx, raft.Change{Kind: raft.Promote, Replica: &peerv1.RaftReplica{Id: id}})
}

// Remove removes a member other than the leader.
func (r *Replica) Remove(ctx context.Context, id string) error {
	return r.change(ctx, raft.Change{Kind: raft.Remove, Replica: &peerv1.RaftReplica{Id: id}})
}

// TransferLeadership hands leadership to the voter with the longest log and
// returns when this replica no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	err := r.call(ctx, func() error {
		err := r.node.TransferLeadership("")
		if err != nil {
			return r.refusal(err)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return r.wait(ctx, func() (bool, error) {
		s := r.view.Load().status
		if s.Role == raft.Leader && !s.Transferring {
			return false, ErrTransferFailed
		}
		return s.Role != raft.Leader, nil
	})
}

// Recover makes this replica the only voter of a new generation of the group
// and returns when it leads. It is the operator's answer to a quorum that is
// lost for good; replicas of the old generation must be set up again.
func (r *Replica) Recover(ctx context.Context) error {
	self := &peerv1.RaftReplica{Id: r.cfg.ID, Address: r.cfg.Address}
	err := r.call(ctx, func() error {
		return r.node.Recover(r.cfg.Clock.Now(), self)
	})
	if err != nil {
		return err
	}
	r.log.Warn("group recovered by the operator under a new generation")
	return r.wait(ctx, func() (bool, error) {
		_, valid := r.Lease()
		return valid, nil
	})
}
