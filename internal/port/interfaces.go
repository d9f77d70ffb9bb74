package port

import (
	"context"
	"time"

	"laburnumgrade/gen/peerv1"
)

// Clock tells monotonic time since an arbitrary origin. Wall clocks are never
// compared between processes.
type Clock interface {
	Now() time.Duration
}

// StateMachine is the deterministic state that a group replicates. Its methods
// are called from one goroutine.
type StateMachine interface {
	// Apply applies the committed command at the index and returns its result.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded snapshot.
	Restore(index uint64, snapshot []byte) error
}

// ReplicatedLog is a group's replicated log as its users see it.
type ReplicatedLog interface {
	// Propose commits the command and returns the result of applying it. The
	// error is a *NotLeaderError if another replica leads; after any other
	// error the command may or may not be committed.
	Propose(ctx context.Context, command []byte) (any, error)
	// Lease reports whether this replica leads and holds a valid leader lease,
	// and since when it has led without interruption.
	Lease() (leaderSince time.Duration, valid bool)
	// Leader returns the id and address of the leader, empty if not known.
	Leader() (id, address string)
}

// LogStorage keeps a replica's log, hard state and last snapshot. A call that
// returns an error leaves the storage unusable: the replica must stop.
type LogStorage interface {
	// Load returns what is stored. Entries start after the snapshot's index.
	Load() (*peerv1.RaftHardState, *peerv1.RaftSnapshot, []*peerv1.RaftEntry, error)
	// Append stores the hard state (if not nil) and the entries, replacing any
	// stored entry with the same or a higher index, and syncs once.
	Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error
	// SaveSnapshot stores a snapshot and drops the entries it covers.
	SaveSnapshot(snapshot *peerv1.RaftSnapshot) error
	// Durable is false for storage that does not survive the process.
	Durable() bool
	Close() error
}

// PeerTransport delivers raft messages to other replicas, best effort and
// without blocking.
type PeerTransport interface {
	Send(group string, messages []*peerv1.RaftMessage)
}
