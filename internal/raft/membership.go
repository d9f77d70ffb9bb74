package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
)

// membershipAt is the membership that takes effect with the entry at index.
type membershipAt struct {
	index   uint64
	members *peerv1.RaftMembership
}

// findReplica returns the position of the replica with the id, -1 if there is none.
func findReplica(replicas []*peerv1.RaftReplica, id string) int {
	return slices.IndexFunc(replicas, func(r *peerv1.RaftReplica) bool { return r.Id == id })
}

// IsVoter reports whether the replica with the id is a voter of the membership.
func IsVoter(m *peerv1.RaftMembership, id string) bool {
	return findReplica(m.GetVoters(), id) >= 0
}

// IsLearner reports whether the replica with the id is a learner of the membership.
func IsLearner(m *peerv1.RaftMembership, id string) bool {
	return findReplica(m.GetLearners(), id) >= 0
}

// membership returns the membership in effect, which is that of the last membership
// entry in the log, whether or not it is committed.
func (n *Node) membership() *peerv1.RaftMembership {
	return n.memberships[len(n.memberships)-1].members
}

func (n *Node) isVoter(id string) bool { return IsVoter(n.membership(), id) }

func (n *Node) isMember(id string) bool { return n.isVoter(id) || IsLearner(n.membership(), id) }

// quorum returns the number of voters that form a majority.
func (n *Node) quorum() int { return len(n.membership().Voters)/2 + 1 }

// membershipAtIndex returns the membership in effect at a log index.
func (n *Node) membershipAtIndex(index uint64) *peerv1.RaftMembership {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i].members
		}
	}
	return n.memberships[0].members
}

// addMembershipOf records the membership that a log entry carries, if it carries one.
func (n *Node) addMembershipOf(e *peerv1.RaftEntry) {
	if e.Kind != peerv1.RaftEntry_MEMBERSHIP {
		return
	}
	m := &peerv1.RaftMembership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		panic("raft: membership entry does not decode: " + err.Error())
	}
	n.memberships = append(n.memberships, membershipAt{index: e.Index, members: m})
}

// truncateMemberships drops the memberships of truncated entries, whose indexes are
// from or higher.
func (n *Node) truncateMemberships(from uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships drops the memberships that were replaced at or before index.
func (n *Node) compactMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

// ChangeKind is the kind of a membership change.
type ChangeKind int

// Kinds of membership change.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// Change is one membership change. For Promote and Remove only the replica's id is
// used.
type Change struct {
	Kind    ChangeKind
	Replica *peerv1.RaftReplica
}

// ProposeChange appends a membership change and returns its index and term. Only one
// change may be uncommitted at a time, so that quorums of consecutive memberships
// intersect. The leader must also have committed an entry of its own term, because
// until then an uncommitted change of an earlier leader may exist that this leader
// has never received.
func (n *Node) ProposeChange(c Change) (index, term uint64, err error) {
	if err := n.canPropose(); err != nil {
		return 0, 0, err
	}
	if !n.committedInTerm() {
		return 0, 0, ErrNoCommitInTerm
	}
	if n.changePending() {
		return 0, 0, ErrChangePending
	}
	next, err := n.membershipAfter(c)
	if err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	e := n.appendEntry(peerv1.RaftEntry_MEMBERSHIP, data)
	n.updateProgress()
	return e.Index, e.Term, nil
}

// changePending reports whether the newest membership is not yet committed.
func (n *Node) changePending() bool {
	return n.memberships[len(n.memberships)-1].index > n.log.commit
}

// membershipAfter returns the membership in effect with the change applied, or the
// error for which the change is refused.
func (n *Node) membershipAfter(c Change) (*peerv1.RaftMembership, error) {
	next := proto.Clone(n.membership()).(*peerv1.RaftMembership)
	id := c.Replica.GetId()
	voter, learner := findReplica(next.Voters, id), findReplica(next.Learners, id)
	switch c.Kind {
	case AddLearner:
		if voter >= 0 || learner >= 0 {
			return nil, ErrAlreadyMember
		}
		next.Learners = append(next.Learners, c.Replica)
	case Promote:
		if voter >= 0 {
			return nil, ErrAlreadyMember
		}
		if learner < 0 {
			return nil, ErrNotMember
		}
		if p := n.progress[id]; p == nil || !p.active || p.match < n.lease.commitAtLastRound {
			return nil, ErrNotCaughtUp
		}
		next.Voters = append(next.Voters, next.Learners[learner])
		next.Learners = slices.Delete(next.Learners, learner, learner+1)
	case Remove:
		switch {
		case id == n.id:
			return nil, ErrRemoveLeader
		case voter >= 0:
			next.Voters = slices.Delete(next.Voters, voter, voter+1)
		case learner >= 0:
			next.Learners = slices.Delete(next.Learners, learner, learner+1)
		default:
			return nil, ErrNotMember
		}
	}
	return next, nil
}
