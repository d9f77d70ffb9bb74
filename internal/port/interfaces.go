package port

import (
	"context"
	"errors"
	"time"

	"laburnumgrade/gen/peerv1"
)

// Clock returns the monotonic time since an arbitrary origin. Its values have no
// meaning in another process.
type Clock interface {
	Now() time.Duration
}

// StateMachine is the deterministic state that a group of replicas keeps. Its
// methods are called from one goroutine at a time.
type StateMachine interface {
	// Apply applies the committed command at the index of the log and returns its
	// result.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded snapshot, which covers the log up
	// to and including index.
	Restore(index uint64, snapshot []byte) error
}

// ReplicatedLog is the interface of a group's replicated log for its clients on
// the same process.
type ReplicatedLog interface {
	// Propose commits the command and returns the result of applying it. The
	// error is a *NotLeaderError if another replica leads; after any other
	// error the command may or may not be committed.
	Propose(ctx context.Context, command []byte) (any, error)
	// Lease reports whether this replica leads and holds a valid leader lease, and
	// the time, by the clock of the replica, since which it has led without
	// interruption.
	Lease() (leaderSince time.Duration, valid bool)
	// Leader returns the id and address of the leader, both empty if it is not
	// known.
	Leader() (id, address string)
}

// ErrNotStored is wrapped by an error of LogStorage that leaves the storage usable, as when
// the disk is full or a temporary file cannot be opened. The call may be repeated.
var ErrNotStored = errors.New("the data was not stored")

// LogStorage keeps a replica's log, hard state and last snapshot. A call that
// returns an error other than ErrNotStored leaves the storage unusable: the replica must
// stop.
type LogStorage interface {
	// Load returns the stored hard state, snapshot and entries. The entries start
	// after the index of the snapshot.
	Load() (*peerv1.RaftHardState, *peerv1.RaftSnapshot, []*peerv1.RaftEntry, error)
	// Append stores the hard state, if it is not nil, and the entries, and syncs
	// once. The entries replace all stored entries with the same or a higher index. After
	// ErrNotStored the storage is as it was before the call.
	Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error
	// Truncate drops the entries from index on, so that others have space, and reports whether
	// there were any. They may come back after a crash. After ErrNotStored they are still there.
	Truncate(index uint64) (dropped bool, err error)
	// SaveSnapshot stores a snapshot and drops the entries it covers. After ErrNotStored
	// all that was stored before is still there.
	SaveSnapshot(snapshot *peerv1.RaftSnapshot) error
	// Size returns the bytes of the log, replaced entries included, and of the newest
	// snapshot. It does not wait for other calls.
	Size() (log, snapshot int64)
	// Durable reports whether the storage survives the end of the process.
	Durable() bool
	Close() error
}

// PeerTransport sends raft messages to other replicas without blocking. Messages
// may be lost.
type PeerTransport interface {
	Send(group string, messages []*peerv1.RaftMessage)
}
