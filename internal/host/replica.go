package host

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

// Replica is a replica that may not have been started yet: a process serves
// before it knows whether it founds a group or joins it.
type Replica struct {
	group string
	inner atomic.Pointer[replica.Replica]
}

var _ port.Log = (*Replica)(nil)

// ID returns the id of the replica, empty before it is started.
func (r *Replica) ID() string {
	if in := r.inner.Load(); in != nil {
		return in.Status().ID
	}
	return ""
}

// Known reports whether the replica holds any state of the group.
func (r *Replica) Known() bool {
	in := r.inner.Load()
	return in != nil && in.Status().Term > 0
}

// Membership returns the members as far as the replica knows.
func (r *Replica) Membership() *peerv1.RaftMembership {
	in := r.inner.Load()
	if in == nil {
		return &peerv1.RaftMembership{}
	}
	s := in.Status()
	return &peerv1.RaftMembership{Voters: s.Voters, Learners: s.Learners}
}

// Term returns the current term and the commit index.
func (r *Replica) Term() (term, commit uint64) {
	in := r.inner.Load()
	if in == nil {
		return 0, 0
	}
	s := in.Status()
	return s.Term, s.Commit
}

// Propose implements port.Log.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	in := r.inner.Load()
	if in == nil {
		return nil, &port.NotLeaderError{Group: r.group}
	}
	return in.Propose(ctx, command)
}

// Lease implements port.Log.
func (r *Replica) Lease() (time.Duration, bool) {
	if in := r.inner.Load(); in != nil {
		return in.Lease()
	}
	return 0, false
}

// Leader implements port.Log.
func (r *Replica) Leader() (id, address string) {
	if in := r.inner.Load(); in != nil {
		return in.Leader()
	}
	return "", ""
}

// Add makes a new replica a voter once it holds every entry.
func (r *Replica) Add(ctx context.Context, added *peerv1.RaftReplica) error {
	in, err := r.started()
	if err != nil {
		return err
	}
	return in.Add(ctx, added)
}

// Replace makes a new replica a voter in the place of another.
func (r *Replica) Replace(ctx context.Context, old string, added *peerv1.RaftReplica) error {
	in, err := r.started()
	if err != nil {
		return err
	}
	return in.Replace(ctx, old, added)
}

// Remove removes a replica.
func (r *Replica) Remove(ctx context.Context, id string) error {
	in, err := r.started()
	if err != nil {
		return err
	}
	return in.Remove(ctx, id)
}

// Recover makes the replica the only voter of a new generation of its group.
func (r *Replica) Recover(ctx context.Context) error {
	in, err := r.started()
	if err != nil {
		return err
	}
	return in.Recover(ctx)
}

// Step hands messages of other replicas to the replica.
func (r *Replica) Step(messages []*peerv1.RaftMessage) {
	if in := r.inner.Load(); in != nil {
		in.Step(messages)
	}
}

// Err returns the error that stopped the replica, nil if it runs.
func (r *Replica) Err() error {
	if in := r.inner.Load(); in != nil {
		return in.Err()
	}
	return nil
}

// transferTimeout bounds the transfer of leadership at shutdown.
const transferTimeout = 2 * time.Second

// stop hands leadership over, if the replica leads, and stops it.
func (r *Replica) stop() {
	in := r.inner.Load()
	if in == nil {
		return
	}
	if _, leads := in.Lease(); leads {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		_ = in.TransferLeadership(ctx)
		cancel()
	}
	in.Stop()
}

func (r *Replica) started() (*replica.Replica, error) {
	in := r.inner.Load()
	if in == nil {
		return nil, &port.NotLeaderError{Group: r.group}
	}
	return in, nil
}
