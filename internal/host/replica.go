package host

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

// ReplicaHandle refers to a group's replica, which may not be started yet: a process
// serves calls before it has determined whether to bootstrap the group or to join it.
// Until the start, the handle behaves like a replica that does not lead.
type ReplicaHandle struct {
	group string
	inner atomic.Pointer[replica.Replica]
	// folderEmpty is set once it is known that the data folder holds no replica.
	folderEmpty atomic.Bool
}

var _ port.ReplicatedLog = (*ReplicaHandle)(nil)

// ID returns the id of the replica, empty before it is started.
func (r *ReplicaHandle) ID() string {
	if inner := r.inner.Load(); inner != nil {
		return inner.Status().ID
	}
	return ""
}

// HasState reports whether the replica is started and holds any state of the group.
func (r *ReplicaHandle) HasState() bool {
	inner := r.inner.Load()
	return inner != nil && inner.Status().Term > 0
}

// StateKnown reports whether it is known if the process holds state of the group. It is not
// while a replica in the data folder is being opened, which may have to wait for room on the
// disk.
func (r *ReplicaHandle) StateKnown() bool { return r.inner.Load() != nil || r.folderEmpty.Load() }

// Membership returns the membership in the replica's log, empty before the start.
func (r *ReplicaHandle) Membership() *peerv1.RaftMembership {
	inner := r.inner.Load()
	if inner == nil {
		return &peerv1.RaftMembership{}
	}
	s := inner.Status()
	return &peerv1.RaftMembership{Voters: s.Voters, Learners: s.Learners}
}

// Term returns the replica's current term and commit index, 0 before the start.
func (r *ReplicaHandle) Term() (term, commit uint64) {
	inner := r.inner.Load()
	if inner == nil {
		return 0, 0
	}
	s := inner.Status()
	return s.Term, s.CommitIndex
}

// Propose implements port.ReplicatedLog.
func (r *ReplicaHandle) Propose(ctx context.Context, command []byte) (any, error) {
	inner := r.inner.Load()
	if inner == nil {
		return nil, &port.NotLeaderError{Group: r.group}
	}
	return inner.Propose(ctx, command)
}

// Lease implements port.ReplicatedLog.
func (r *ReplicaHandle) Lease() (time.Duration, bool) {
	if inner := r.inner.Load(); inner != nil {
		return inner.Lease()
	}
	return 0, false
}

// Leader implements port.ReplicatedLog.
func (r *ReplicaHandle) Leader() (id, address string) {
	if inner := r.inner.Load(); inner != nil {
		return inner.Leader()
	}
	return "", ""
}

// Add makes a new replica a voter; see replica.Replica.Add.
func (r *ReplicaHandle) Add(ctx context.Context, added *peerv1.RaftReplica) error {
	inner, err := r.started()
	if err != nil {
		return err
	}
	return inner.Add(ctx, added)
}

// Replace replaces a member with a new replica; see replica.Replica.Replace.
func (r *ReplicaHandle) Replace(ctx context.Context, old string, added *peerv1.RaftReplica) error {
	inner, err := r.started()
	if err != nil {
		return err
	}
	return inner.Replace(ctx, old, added)
}

// Remove removes a member other than the leader.
func (r *ReplicaHandle) Remove(ctx context.Context, id string) error {
	inner, err := r.started()
	if err != nil {
		return err
	}
	return inner.Remove(ctx, id)
}

// Recover makes the replica the only voter of a new generation of its group.
func (r *ReplicaHandle) Recover(ctx context.Context) error {
	inner, err := r.started()
	if err != nil {
		return err
	}
	return inner.Recover(ctx)
}

// Step passes messages of other replicas to the replica. They are dropped before the
// start.
func (r *ReplicaHandle) Step(messages []*peerv1.RaftMessage) {
	if inner := r.inner.Load(); inner != nil {
		inner.Step(messages)
	}
}

// Err returns the error that stopped the replica; nil if it is running, not yet
// started or was stopped by Stop.
func (r *ReplicaHandle) Err() error {
	if inner := r.inner.Load(); inner != nil {
		return inner.Err()
	}
	return nil
}

// transferTimeout is the time allowed for the transfer of leadership at shutdown.
const transferTimeout = 2 * time.Second

// stop transfers leadership, if the replica holds a lease, and stops the replica.
func (r *ReplicaHandle) stop() {
	inner := r.inner.Load()
	if inner == nil {
		return
	}
	if _, leads := inner.Lease(); leads {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		_ = inner.TransferLeadership(ctx)
		cancel()
	}
	inner.Stop()
}

// started returns the replica, or a *port.NotLeaderError before the start.
func (r *ReplicaHandle) started() (*replica.Replica, error) {
	inner := r.inner.Load()
	if inner == nil {
		return nil, &port.NotLeaderError{Group: r.group}
	}
	return inner, nil
}
