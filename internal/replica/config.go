package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

const (
	// defaultSnapshotThreshold is in entries.
	defaultSnapshotThreshold = 10_000
	// defaultMaxLogBytes is an eighth of the smallest disk of a control process, 128 MB. The
	// log, a snapshot and the replacement of one of them stay under half of it.
	defaultMaxLogBytes = 16 << 20
	// storeRetryDelay is the delay after state that could not be stored until the next try.
	storeRetryDelay = time.Second
	// maxQueuedProposals and maxQueuedMessages limit the queue for the next turn. A
	// turn takes the whole queue.
	maxQueuedProposals = 16_384
	maxQueuedMessages  = 16_384
	// pollInterval is the time between two checks of a call that waits for a
	// condition.
	pollInterval = 10 * time.Millisecond
)

// ErrStopped is returned by calls on a replica that has stopped.
var ErrStopped = errors.New("the replica is stopped")

// ErrOverloaded means that the proposal queue is full, that the state machine lags too
// far behind or that the log cannot be extended. The command was not proposed.
var ErrOverloaded = errors.New("too many commands are queued or not yet applied, or the disk is full")

// ErrTransferFailed means that the transfer of leadership has ended and this replica
// still leads.
var ErrTransferFailed = errors.New("leadership was not transferred in time")

// OutcomeUnknownError means that a proposal was passed to the log and may or may not
// be committed. Err is the reason for which the wait for it has ended.
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

// Config configures a Replica. Group, ID, Address, Storage, StateMachine, Transport and
// Clock are required.
type Config struct {
	// Group is the name of the group, used in messages, errors and log lines.
	Group string
	// ID identifies this incarnation of the replica, see package raft.
	ID string
	// Address is where the other replicas reach this one.
	Address string
	// Membership is the group's initial membership for a replica that bootstraps
	// the group, nil for one that joins it. It is used only if the storage is
	// empty. A group must never be bootstrapped twice under the same replica id.
	Membership *peerv1.RaftMembership
	// Storage is closed when the replica stops.
	Storage      port.LogStorage
	StateMachine port.StateMachine
	Transport    port.PeerTransport
	Clock        port.Clock
	// TickInterval is raft.TickInterval if 0. Only tests use other values.
	TickInterval time.Duration
	Logger       *slog.Logger
	// SnapshotThreshold is the number of entries applied between two snapshots,
	// 10,000 if 0. Half as many entries are kept in memory for followers that lag
	// behind.
	SnapshotThreshold uint64
	// MaxLogBytes is the growth of the stored log after which a snapshot is taken, 16 MiB
	// if 0. If the last snapshot is larger, its size counts instead. Half as many bytes are
	// kept in memory for followers that lag behind.
	MaxLogBytes int64
	// Scope receives the gauges log_bytes and disk_full; nil for none.
	Scope tally.Scope
	// BatchDelay is the time for which a proposal waits for further ones to be
	// committed in the same batch; 0 means that it does not wait.
	BatchDelay time.Duration
	// Supersedes reports whether the existence of replica newID proves that oldID
	// will never return, as for two incarnations on one VM. Nil means never.
	Supersedes func(newID, oldID string) bool
	// Seed is the seed of the random election timeouts. It is random if 0.
	Seed uint64
}

func (c *Config) setDefaults() {
	if c.TickInterval == 0 {
		c.TickInterval = raft.TickInterval
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = defaultSnapshotThreshold
	}
	if c.MaxLogBytes == 0 {
		c.MaxLogBytes = defaultMaxLogBytes
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Supersedes == nil {
		c.Supersedes = func(string, string) bool { return false }
	}
}

// Status is a snapshot of the state of a replica and its group.
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
	// Match holds, by member id, the highest index known to be stored at the
	// member; nil unless the replica leads.
	Match map[string]uint64
	// Full is set while the replica cannot store its state, as on a full disk.
	Full bool
	// LogBytes is the size of the stored log.
	LogBytes int64
}
