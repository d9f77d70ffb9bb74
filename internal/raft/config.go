package raft

import (
	"errors"
	"fmt"
	"time"

	"laburnumgrade/gen/peerv1"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 50 * time.Millisecond
	// LeaseDuration is how long a leader may act outside the log, counted from
	// when it sent the heartbeat round that a quorum answered.
	LeaseDuration = 400 * time.Millisecond
	// MaxClockDriftPercent bounds how much faster one clock runs than another.
	MaxClockDriftPercent = 1
	// PromiseDuration is how long a voter that answered a heartbeat round grants
	// no vote: the lease, extended by the drift.
	PromiseDuration = LeaseDuration + LeaseDuration*MaxClockDriftPercent/100

	heartbeatTicks   = 2  // 100 ms
	electionTicksMin = 9  // 450 ms
	electionTicksMax = 14 // 700 ms
	snapshotTicks    = 60 // 3 s without an answer, then the snapshot is sent again
	maxInflight      = 64
	maxAppendBytes   = 512 << 10
	// maxRounds bounds the heartbeat rounds whose sending time is remembered;
	// 16 rounds span 1.6 s, longer than any lease.
	maxRounds = 16
)

// Errors returned for proposals and changes.
var (
	ErrNotLeader      = errors.New("this replica does not lead the group")
	ErrTransferring   = errors.New("leadership is being transferred")
	ErrChangePending  = errors.New("a membership change is not yet committed")
	ErrNoCommitInTerm = errors.New("the leader has not yet committed an entry of its term")
	ErrNotCaughtUp    = errors.New("the learner does not yet hold the entries committed at the last heartbeat")
	ErrNotMember      = errors.New("the replica is not a member of the group")
	ErrAlreadyMember  = errors.New("the replica is already a member of the group")
	ErrRemoveLeader   = errors.New("the leader cannot remove itself: transfer leadership first")
	ErrLeading        = errors.New("the replica leads the group: recovery is not needed")
)

// Config states what a node starts from.
type Config struct {
	ID string
	// Membership is the group's initial membership, the same on every initial
	// member. It is empty for a replica that joins an existing group, and
	// ignored if there is a snapshot.
	Membership *peerv1.RaftMembership
	// HardState, Snapshot and Entries are what the storage holds; nil if nothing.
	HardState *peerv1.RaftHardState
	Snapshot  *peerv1.RaftSnapshot
	Entries   []*peerv1.RaftEntry
	// RetainedEntries is the number of entries kept in memory before a snapshot for
	// followers that lag.
	RetainedEntries uint64
	// Seed seeds the random election timeouts.
	Seed uint64
	// Now is the current monotonic time.
	Now time.Duration
}

// Role is the part a node plays in its term.
type Role int

// Roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return fmt.Sprintf("role(%d)", int(r))
}

// Ready is what the caller must do, in this order: send ImmediateMessages; store
// HardState and Entries with one sync (if there is a Snapshot: HardState, then
// Snapshot, then Entries); send Messages; install Snapshot in the state machine;
// apply CommittedEntries; call Advance.
//
// HardState comes before Snapshot because it holds the generation that a joining
// replica has adopted.
type Ready struct {
	// ImmediateMessages may be sent before or while the rest is being stored.
	ImmediateMessages []*peerv1.RaftMessage
	HardState         *peerv1.RaftHardState
	Snapshot          *peerv1.RaftSnapshot
	Entries           []*peerv1.RaftEntry
	// Messages must be sent only once HardState, Snapshot and Entries are stored.
	Messages         []*peerv1.RaftMessage
	CommittedEntries []*peerv1.RaftEntry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.ImmediateMessages) == 0 &&
		len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.CommittedEntries) == 0
}

// Status is a view of a node.
type Status struct {
	ID           string
	Role         Role
	Term         uint64
	Generation   uint64
	Leader       string
	FirstIndex   uint64 // index of the first entry in memory
	LastIndex    uint64
	CommitIndex  uint64
	AppliedIndex uint64
	Membership   *peerv1.RaftMembership
	// ChangePending is true while the newest membership is not committed.
	ChangePending bool
	// Transferring is true while a leader hands leadership over.
	Transferring bool
	// Match maps each member to the highest index known to be stored there;
	// nil unless the node leads.
	Match map[string]uint64
}
