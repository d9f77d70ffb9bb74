package raft

import (
	"errors"
	"fmt"
	"time"

	"laburnumgrade/gen/peerv1"
)

const (
	// TickInterval is the time between two calls of Node.Tick.
	TickInterval = 50 * time.Millisecond
	// LeaseDuration is the time for which a leader may act without a commit, for
	// example serve reads, counted from when it sent the newest heartbeat round
	// that a quorum has answered.
	LeaseDuration = 400 * time.Millisecond
	// MaxClockDriftPercent is the greatest difference in rate between the clocks
	// of two replicas for which leases are safe.
	MaxClockDriftPercent = 1
	// PromiseDuration is the time for which a voter that answered a heartbeat
	// round grants no vote: the lease duration, extended by the clock drift.
	PromiseDuration = LeaseDuration + LeaseDuration*MaxClockDriftPercent/100

	// The following durations are in ticks.
	heartbeatTicks      = 2  // 100 ms
	electionTicksMin    = 9  // 450 ms
	electionTicksMax    = 14 // 700 ms
	snapshotResendTicks = 60 // 3 s without an answer before a snapshot is sent again
	maxInflightAppends  = 64
	maxAppendBytes      = 512 << 10
	// maxTrackedRounds is the number of heartbeat rounds whose sending time is kept.
	// 16 rounds span 1.6 s, which is longer than any lease.
	maxTrackedRounds = 16
)

// Errors returned by Propose, ProposeChange, TransferLeadership and Recover.
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

// Config holds the identity, the stored state and the settings of a new node.
type Config struct {
	ID string
	// Membership is the group's initial membership, the same on every initial
	// member. It is empty for a replica that joins an existing group, and
	// ignored if there is a snapshot.
	Membership *peerv1.RaftMembership
	// HardState, Snapshot and Entries are the contents of the storage, nil if it
	// holds none.
	HardState *peerv1.RaftHardState
	Snapshot  *peerv1.RaftSnapshot
	Entries   []*peerv1.RaftEntry
	// RetainedEntries is the number of entries before a snapshot that are kept in
	// memory for followers that lag behind, so that they need no snapshot.
	RetainedEntries uint64
	// RetainedBytes bounds the size of these entries in bytes; 0 means no bound.
	RetainedBytes int64
	// Seed is the seed of the random election timeouts.
	Seed uint64
	// Now is the current monotonic time.
	Now time.Duration
}

// Role is the role of a node in its term.
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

// Ready lists what the caller must do, in this order: send ImmediateMessages; store
// HardState and Entries with one sync (if there is a Snapshot: HardState, then
// Snapshot, then Entries); send Messages; pass Snapshot and then CommittedEntries to
// the state machine; call Advance.
//
// The state machine may restore and apply them later, in the order of the Readys. The
// caller confirms this with Applied.
//
// HardState comes before Snapshot because it holds the generation that a joining
// replica has adopted.
type Ready struct {
	// ImmediateMessages may be sent before or while the state is being stored.
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

// Status is a snapshot of a node's state.
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
	// Transferring is true while the leader transfers leadership.
	Transferring bool
	// Match holds, by member id, the highest index known to be stored at the
	// member; nil unless the node leads.
	Match map[string]uint64
}
