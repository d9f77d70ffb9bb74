package replica

import (
	"context"
	"errors"
	"slices"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// Replace replaces a member with a new replica. It returns nil only when the new
// replica is a voter that holds every entry committed so far, and the old one is no
// longer a member. After an error it may be called again and continues where it
// stopped.
//
// The new replica first becomes a learner, which does not change the quorum, and
// catches up. The order of the next two changes depends on the old replica:
//
//   - If the old replica may be alive, the new one is promoted first. With 4 voters
//     one may fail. Removing the old one first would leave 2 voters, and a fault of
//     either of them would stop the group.
//   - If the old replica is certainly gone (Config.Supersedes: a later incarnation
//     on its VM exists), it is removed first. Its vote is lost either way: 3 voters
//     with 2 alive become 2 voters with 2 alive, and neither tolerates a fault.
//     Promoting first would give 4 voters with 3 alive and a quorum of 3. If the
//     new replica were lost too, the remaining 2 of 4 could not even remove it, and
//     the group would need recovery. After a removal first, the same loss leaves
//     2 of 3 voters, which continue.
func (r *Replica) Replace(ctx context.Context, oldID string, replacement *peerv1.RaftReplica) error {
	if oldID == r.cfg.ID {
		return raft.ErrRemoveLeader
	}
	steps := []func(context.Context, string, *peerv1.RaftReplica) error{
		r.addReplacement, r.awaitCaughtUp, r.promoteReplacement, r.awaitCaughtUp, r.removeReplaced, r.awaitCaughtUp,
	}
	if r.cfg.Supersedes(replacement.Id, oldID) {
		steps[2], steps[4] = steps[4], steps[2]
	}
	for _, step := range steps {
		if err := step(ctx, oldID, replacement); err != nil {
			return port.AtStep("replace replica "+oldID, replacement.Id, err)
		}
	}
	r.log.Info("replica replaced", "old", oldID, "new", replacement.Id)
	return nil
}

// addReplacement adds the new replica as a learner, unless it is already a member.
func (r *Replica) addReplacement(ctx context.Context, _ string, n *peerv1.RaftReplica) error {
	return r.retryChange(ctx, func() error {
		s := r.Status()
		if containsReplica(s.Voters, n.Id) || containsReplica(s.Learners, n.Id) {
			return r.membershipCommitted()
		}
		return r.AddLearner(ctx, n)
	})
}

// promoteReplacement makes the new replica a voter, unless it already is one.
func (r *Replica) promoteReplacement(ctx context.Context, _ string, n *peerv1.RaftReplica) error {
	return r.retryChange(ctx, func() error {
		if containsReplica(r.Status().Voters, n.Id) {
			return r.membershipCommitted()
		}
		return r.Promote(ctx, n.Id)
	})
}

// removeReplaced removes the old replica, unless it is no longer a member.
func (r *Replica) removeReplaced(ctx context.Context, oldID string, _ *peerv1.RaftReplica) error {
	return r.retryChange(ctx, func() error {
		s := r.Status()
		if !containsReplica(s.Voters, oldID) && !containsReplica(s.Learners, oldID) {
			return r.membershipCommitted()
		}
		return r.Remove(ctx, oldID)
	})
}

// awaitCaughtUp waits until the new replica holds every entry that is committed at
// the time of the call.
func (r *Replica) awaitCaughtUp(ctx context.Context, _ string, n *peerv1.RaftReplica) error {
	target := r.Status().CommitIndex
	return r.pollUntil(ctx, func() (bool, error) {
		s := r.Status()
		if s.Role != raft.Leader {
			return false, r.notLeaderError()
		}
		return s.Match[n.Id] >= target, nil
	})
}

// membershipCommitted returns an error if the newest membership is not committed yet.
// A change made by an earlier call could then still be reverted by a new leader.
func (r *Replica) membershipCommitted() error {
	s := r.view.Load().status
	switch {
	case s.Role != raft.Leader:
		return r.notLeaderError()
	case s.ChangePending:
		return raft.ErrChangePending
	}
	return nil
}

// retryChange repeats a membership change while it is refused with a temporary error.
func (r *Replica) retryChange(ctx context.Context, change func() error) error {
	return r.pollUntil(ctx, func() (bool, error) {
		err := change()
		temporary := errors.Is(err, raft.ErrChangePending) || errors.Is(err, raft.ErrNoCommitInTerm) ||
			errors.Is(err, raft.ErrNotCaughtUp)
		if temporary {
			return false, nil
		}
		return err == nil, err
	})
}

func containsReplica(replicas []*peerv1.RaftReplica, id string) bool {
	return slices.ContainsFunc(replicas, func(v *peerv1.RaftReplica) bool { return v.Id == id })
}

// Add makes a new replica a voter. It returns nil only when the replica is a voter
// that holds every entry committed before its promotion. After an error it may be
// called again and continues where it stopped.
func (r *Replica) Add(ctx context.Context, added *peerv1.RaftReplica) error {
	steps := []func(context.Context, string, *peerv1.RaftReplica) error{
		r.addReplacement, r.awaitCaughtUp, r.promoteReplacement, r.awaitCaughtUp,
	}
	for _, step := range steps {
		if err := step(ctx, "", added); err != nil {
			return port.AtStep("add replica", added.Id, err)
		}
	}
	r.log.Info("replica added", "new", added.Id)
	return nil
}
