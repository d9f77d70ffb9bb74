package replica

import (
	"context"
	"errors"
	"slices"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// Replace replaces a member by a new replica. It returns nil only when the new
// replica is a voter that holds every entry committed so far, and the old one is
// out. It may be called again after an error and continues where it stopped.
//
// The new replica first becomes a learner, which changes no quorum, and catches
// up. Then the order depends on what is known of the old one:
//
//   - If the old replica may be alive, the new one is promoted first. Removing
//     first would leave 2 of 3 voters, and a fault of either stops the group;
//     with 4 voters one may fail.
//   - If the old replica is certainly gone (Config.Supersedes: a later
//     incarnation of its VM exists), it is removed first. Its vote is lost
//     either way, so 3 voters with 2 alive become 2 voters with 2 alive: neither
//     tolerates a fault. Promoting first would give 4 voters with 3 alive and a
//     quorum of 3; if then the new replica is lost too, 2 of 4 cannot even
//     remove it and the group needs recovery. After a removal first, the same
//     loss leaves 2 of 3 voters, which continue.
func (r *Replica) Replace(ctx context.Context, oldID string, replacement *peerv1.RaftReplica) error {
	if oldID == r.cfg.ID {
		return raft.ErrRemoveLeader
	}
	steps := []func(context.Context, string, *peerv1.RaftReplica) error{
		r.addReplacement, r.awaitCopy, r.promoteReplacement, r.awaitCopy, r.removeReplaced, r.awaitCopy,
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

func (r *Replica) addReplacement(ctx context.Context, _ string, n *peerv1.RaftReplica) error {
	return r.retry(ctx, func() error {
		s := r.Status()
		if has(s.Voters, n.Id) || has(s.Learners, n.Id) {
			return r.settled()
		}
		return r.AddLearner(ctx, n)
	})
}

func (r *Replica) promoteReplacement(ctx context.Context, _ string, n *peerv1.RaftReplica) error {
	return r.retry(ctx, func() error {
		if has(r.Status().Voters, n.Id) {
			return r.settled()
		}
		return r.Promote(ctx, n.Id)
	})
}

func (r *Replica) removeReplaced(ctx context.Context, oldID string, _ *peerv1.RaftReplica) error {
	return r.retry(ctx, func() error {
		s := r.Status()
		if !has(s.Voters, oldID) && !has(s.Learners, oldID) {
			return r.settled()
		}
		return r.Remove(ctx, oldID)
	})
}

// awaitCopy waits until the new replica holds what is committed now.
func (r *Replica) awaitCopy(ctx context.Context, _ string, n *peerv1.RaftReplica) error {
	target := r.Status().CommitIndex
	return r.wait(ctx, func() (bool, error) {
		s := r.Status()
		if s.Role != raft.Leader {
			return false, r.notLeader()
		}
		return s.Match[n.Id] >= target, nil
	})
}

// settled returns an error until the newest membership is committed: a change
// that an earlier attempt made may still be undone by another leader.
func (r *Replica) settled() error {
	s := r.view.Load().status
	switch {
	case s.Role != raft.Leader:
		return r.notLeader()
	case s.ChangePending:
		return raft.ErrChangePending
	}
	return nil
}

// retry repeats a change while it is refused for a reason that passes.
func (r *Replica) retry(ctx context.Context, change func() error) error {
	return r.wait(ctx, func() (bool, error) {
		err := change()
		passing := errors.Is(err, raft.ErrChangePending) || errors.Is(err, raft.ErrNoCommitInTerm) ||
			errors.Is(err, raft.ErrNotCaughtUp)
		if passing {
			return false, nil
		}
		return err == nil, err
	})
}

func has(replicas []*peerv1.RaftReplica, id string) bool {
	return slices.ContainsFunc(replicas, func(v *peerv1.RaftReplica) bool { return v.Id == id })
}

// Add makes a new replica a voter. It returns nil only when the replica is a
// voter that holds every entry committed before its promotion. It may be called
// again after an error and continues where it stopped.
func (r *Replica) Add(ctx context.Context, added *peerv1.RaftReplica) error {
	steps := []func(context.Context, string, *peerv1.RaftReplica) error{
		r.addReplacement, r.awaitCopy, r.promoteReplacement, r.awaitCopy,
	}
	for _, step := range steps {
		if err := step(ctx, "", added); err != nil {
			return port.AtStep("add replica", added.Id, err)
		}
	}
	r.log.Info("replica added", "new", added.Id)
	return nil
}
