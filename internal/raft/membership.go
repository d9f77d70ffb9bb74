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

func findReplica(replicas []*peerv1.RaftReplica, id string) int {
	return slices.IndexFunc(replicas, func(r *peerv1.RaftReplica) bool { return r.Id == id })
}

// IsVoter reports whether the id is a voter of the membership.
func IsVoter(m *peerv1.RaftMembership, id string) bool {
	return findReplica(m.GetVoters(), id) >= 0
}

// IsLearner reports whether the id is a learner of the membership.
func IsLearner(m *peerv1.RaftMembership, id string) bool {
	return findReplica(m.GetLearners(), id) >= 0
}

// members returns the membership in effect: that of the last membership entry
// in the log, committed or not.
func (n *Node) members() *peerv1.RaftMembership {
	return n.memberships[len(n.memberships)-1].members
}

func (n *Node) isVoter(id string) bool { return IsVoter(n.members(), id) }

func (n *Node) isMember(id string) bool { return n.isVoter(id) || IsLearner(n.members(), id) }

// quorum returns the number of voters that decide.
func (n *Node) quorum() int { return len(n.members().Voters)/2 + 1 }

// membershipAtIndex returns the membership in effect at a log index.
func (n *Node) membershipAtIndex(index uint64) *peerv1.RaftMembership {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i].members
		}
	}
	return n.memberships[0].members
}

// noteMembership records the membership that a log entry carries.
func (n *Node) noteMembership(e *peerv1.RaftEntry) {
	if e.Kind != peerv1.RaftEntry_MEMBERSHIP {
		return
	}
	m := &peerv1.RaftMembership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		panic("raft: membership entry does not decode: " + err.Error())
	}
	n.memberships = append(n.memberships, membershipAt{index: e.Index, members: m})
}

// dropMemberships forgets memberships at or after an index that is truncated.
func (n *Node) dropMemberships(from uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships forgets memberships that were replaced at or before index.
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

// Change is one membership change.
type Change struct {
	Kind    ChangeKind
	Replica *peerv1.RaftReplica
}

// ProposeChange appends a membership change and returns its index and term.
// Changes are made one at a time, so that quorums of consecutive memberships
// intersect; and only once the leader has committed an entry of its own term,
// because until then an uncommitted change of an earlier leader may exist that
// this leader has never seen.
func (n *Node) ProposeChange(c Change) (index, term uint64, err error) {
	if err := n.canPropose(); err != nil {
		return 0, 0, err
	}
	if !n.ownCommit() {
		return 0, 0, ErrNoCommitInTerm
	}
	if n.changePending() {
		return 0, 0, ErrChangePending
	}
	next, err := n.changed(c)
	if err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	e := n.appendOwn(peerv1.RaftEntry_MEMBERSHIP, data)
	n.updateProgress()
	return e.Index, e.Term, nil
}

// changePending reports whether the newest membership is not yet committed.
func (n *Node) changePending() bool {
	return n.memberships[len(n.memberships)-1].index > n.log.commit
}

// changed returns the membership in effect with one change made.
func (n *Node) changed(c Change) (*peerv1.RaftMembership, error) {
	next := proto.Clone(n.members()).(*peerv1.RaftMembership)
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
		if p := n.progress[id]; p == nil || !p.active || p.match < n.lease.commit {
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
