package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

const (
	defaultSnapshotThreshold = 10_000
	// maxQueuedProposals and maxQueuedMessages bound what waits for the next
	// turn; a turn takes all of it.
	maxQueuedProposals = 16_384
	maxQueuedMessages  = 16_384
	// pollInterval is how often a call that waits for a state looks at it.
	pollInterval = 10 * time.Millisecond
)

// ErrStopped is returned by calls on a replica that was stopped.
var ErrStopped = errors.New("the replica is stopped")

// ErrOverloaded says that too many proposals wait; the command was not proposed.
var ErrOverloaded = errors.New("the proposal queue is full")

// ErrTransferFailed says that the transfer ended and this replica still leads.
var ErrTransferFailed = errors.New("leadership was not transferred in time")

// OutcomeUnknownError says that a proposal was handed to the log and may or may
// not be committed.
type OutcomeUnknownError struct {
	Group string
	Err   error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("group %s: outcome unknown: %v", e.Group, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

var errLeadershipLost = errors.New("leadership was lost before the command was committed")

// Config states what a replica is made of.
type Config struct {
	Group   string
	ID      string
	Address string
	// Membership is the group's initial membership for a replica that founds
	// the group, nil for one that joins it. It is used only if the storage is
	// empty. A replica must never found a group twice under the same id.
	Membership *peerv1.RaftMembership
	// Storage is closed when the replica stops.
	Storage      port.LogStorage
	StateMachine port.StateMachine
	Transport    port.PeerTransport
	Clock        port.Clock
	// TickInterval is raft.TickInterval if 0; other values are for tests.
	TickInterval time.Duration
	Logger       *slog.Logger
	// SnapshotThreshold is the number of entries applied between snapshots,
	// 10,000 if 0. Half as many are kept in memory for followers that lag.
	SnapshotThreshold uint64
	// BatchDelay is how long a proposal may wait for others to be committed with
	// it; 0 means that it does not wait.
	BatchDelay time.Duration
	// Supersedes reports whether the existence of replica newID proves that
	// oldID is gone for good, as for incarnations of one VM; nil means never.
	Supersedes func(newID, oldID string) bool
	// Seed seeds the election timeouts; random if 0.
	Seed uint64
}

func (c *Config) setDefaults() {
	if c.TickInterval == 0 {
		c.TickInterval = raft.TickInterval
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = defaultSnapshotThreshold
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Supersedes == nil {
		c.Supersedes = func(string, string) bool { return false }
	}
}

// Status is a view of a replica and its group.
type Status struct {
	ID           string
	Role         raft.Role
	Term         uint64
	Generation   uint64
	Leader       string
	CommitIndex  uint64
	AppliedIndex uint64
	Voters       []*peerv1.RaftReplica
	Learners     []*peerv1.RaftReplica
	// Match maps each member to the highest index known to be stored there;
	// nil unless the replica leads.
	Match map[string]uint64
}
