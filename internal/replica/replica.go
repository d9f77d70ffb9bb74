package replica

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// Replica is one running replica of a group. It implements port.ReplicatedLog.
type Replica struct {
	cfg           Config
	log           *slog.Logger
	wake          chan struct{} // starts a turn
	stopRequested chan struct{} // closed by Stop
	stopOnce      sync.Once
	done          chan struct{} // closed when the replica has stopped
	view          atomic.Pointer[view]
	mu            sync.Mutex // guards queue and stopErr
	queue         queue
	stopErr       error

	// The following fields are used only by the goroutine of run.
	node          *raft.Node
	applier       *applier
	snapshotIndex uint64 // index of the newest snapshot
	encoding      bool   // the applier was asked for a snapshot
	// snapshotRetryAt is the earliest time of the next snapshot after one that could not
	// be stored.
	snapshotRetryAt time.Duration
	// compactedBytes is the size of the stored log after its last compaction, 0 since the
	// start of the replica.
	compactedBytes int64
	// full is set while the state of the core cannot be stored, fullSince is since when, and
	// storeRetryAt when it is tried again.
	full         bool
	fullSince    time.Duration
	storeRetryAt time.Duration
	// fullGauge is 1 while full is set; logGauge is the size of the stored log in bytes.
	fullGauge, logGauge tally.Gauge
	waiters             map[uint64]*proposal // proposals in the log that are not handed out, by index
	role                raft.Role            // as last seen by recordRole
	ticks               <-chan time.Time
}

// queue holds the input for the next turn.
type queue struct {
	proposals []*proposal
	messages  []*peerv1.RaftMessage
	calls     []func()
	applied   applyReport
}

// view is the state of the core that is published to other goroutines.
type view struct {
	status      raft.Status
	leaseUntil  time.Duration
	leaderSince time.Duration
	hasLease    bool
	unapplied   uint64 // see Replica.unapplied
	full        bool
	logBytes    int64
}

var _ port.ReplicatedLog = (*Replica)(nil)

// Start loads the storage, restores the state machine and runs the replica.
func Start(c Config) (*Replica, error) {
	c.setDefaults()
	hard, snapshot, entries, err := c.Storage.Load()
	if err != nil {
		return nil, port.AtStep("load log of group "+c.Group, "", err)
	}
	if hard == nil && snapshot == nil && len(c.Membership.GetVoters()) > 0 {
		// A replica that bootstrapped the group and restarts before its first
		// snapshot needs the initial membership again. It is therefore stored as
		// a snapshot of index 0.
		snapshot = &peerv1.RaftSnapshot{Membership: c.Membership}
		if err := c.Storage.SaveSnapshot(snapshot); err != nil {
			return nil, port.AtStep("store initial membership of group "+c.Group, "", err)
		}
	}
	if snapshot.GetIndex() > 0 {
		if err := c.StateMachine.Restore(snapshot.Index, snapshot.Data); err != nil {
			return nil, port.AtStep("restore snapshot of group "+c.Group, "", err)
		}
	}
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	r := &Replica{
		cfg:           c,
		log:           c.Logger.With("group", c.Group, "replica", c.ID),
		wake:          make(chan struct{}, 1),
		stopRequested: make(chan struct{}),
		done:          make(chan struct{}),
		snapshotIndex: snapshot.GetIndex(),
		waiters:       map[uint64]*proposal{},
		fullGauge:     c.Scope.Gauge("disk_full"),
		logGauge:      c.Scope.Gauge("log_bytes"),
		node: raft.New(raft.Config{
			ID: c.ID, Membership: c.Membership, HardState: hard, Snapshot: snapshot, Entries: entries,
			RetainedEntries: c.SnapshotThreshold / 2, RetainedBytes: c.MaxLogBytes / 2, Seed: seed, Now: c.Clock.Now(),
		}),
	}
	r.publish()
	r.applier = startApplier(r, snapshot.GetIndex())
	go r.run()
	return r, nil
}

// Stop stops the replica without a transfer of leadership, closes its storage and
// waits until this is done, including a call of the state machine in progress. Proposals
// that are not yet applied fail with an OutcomeUnknownError.
func (r *Replica) Stop() {
	r.stopOnce.Do(func() { close(r.stopRequested) })
	<-r.done
}

// Done returns a channel that is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error that stopped the replica; nil if it is running or was stopped
// by Stop.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopErr
}

// Step queues messages received from other replicas. If the queue is full, the oldest
// messages are dropped, which is safe because Raft tolerates the loss of messages.
func (r *Replica) Step(messages []*peerv1.RaftMessage) {
	r.mu.Lock()
	r.queue.messages = append(r.queue.messages, messages...)
	if over := len(r.queue.messages) - maxQueuedMessages; over > 0 {
		r.queue.messages = r.queue.messages[over:]
	}
	r.mu.Unlock()
	r.wakeUp()
}

// wakeUp makes the replica's goroutine start a turn.
func (r *Replica) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run is the replica's goroutine. It runs a turn with each tick and whenever something
// was queued, until the replica is stopped or a turn fails.
func (r *Replica) run() {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	r.ticks = ticker.C
	err := r.processQueue(false)
	for err == nil {
		select {
		case <-r.stopRequested:
			r.shutDown(nil)
			return
		case <-r.ticks:
			err = r.processQueue(true)
		case <-r.wake:
			err = r.processQueue(false)
		}
	}
	r.shutDown(err)
}

// shutDown stops the replica. It publishes a state without a lease, closes the storage,
// stops the applier and fails the proposals that wait for their commit. Those that were
// handed out and are not applied fail when done is closed.
func (r *Replica) shutDown(err error) {
	if err != nil {
		r.log.Error("replica stopped by an error", "err", err)
	}
	status := r.view.Load().status
	status.Role = raft.Follower
	status.Leader = ""
	status.Match = nil
	r.view.Store(&view{status: status})
	r.mu.Lock()
	r.stopErr = err
	r.mu.Unlock()
	if closeErr := r.cfg.Storage.Close(); closeErr != nil {
		r.log.Warn("closing the storage failed", "err", closeErr)
	}
	r.applier.stop()
	r.failWaiters(ErrStopped)
	close(r.done)
}

// processQueue runs one turn: it handles everything that is queued, and a tick if the
// flag is set.
func (r *Replica) processQueue(tick bool) error {
	r.mu.Lock()
	q := r.queue
	r.queue = queue{}
	r.mu.Unlock()
	// The clock is read after the messages were taken from the queue, so that a
	// promise counted from this time starts after the leader sent its heartbeat.
	now := r.cfg.Clock.Now()
	if q.applied.err != nil {
		return q.applied.err
	}
	r.node.Applied(q.applied.index)
	if r.full {
		r.stepWhileFull(now, tick, q.messages)
	} else {
		r.step(now, tick, q.messages)
	}
	for _, call := range q.calls {
		call()
	}
	r.proposeBatch(q.proposals)
	if !r.full || now >= r.storeRetryAt {
		if err := r.handleReadys(); err != nil {
			return err
		}
	}
	if err := r.storeEncoded(q.applied); err != nil {
		return err
	}
	r.maybeRequestSnapshot()
	return nil
}

// step passes a tick, if the flag is set, and the messages to the core.
func (r *Replica) step(now time.Duration, tick bool, messages []*peerv1.RaftMessage) {
	if tick {
		r.node.Tick(now)
	}
	lagging := r.view.Load().unapplied >= maxUnappliedEntries
	for _, m := range messages {
		// The leader sends lost appends again, and heartbeats are still answered.
		if lagging && m.Type == peerv1.RaftMessage_APPEND {
			continue
		}
		r.node.Step(now, m)
	}
}

// handleReadys handles Readys until the core has nothing left to do.
func (r *Replica) handleReadys() error {
	for {
		ready := r.node.Ready()
		// The loss of a lease is published before any message is sent that allows
		// another replica to get one.
		r.publish()
		r.recordRole()
		if ready.Empty() {
			return nil
		}
		err := r.handleReady(&ready)
		if errors.Is(err, port.ErrNotStored) {
			r.recordFull(err)
			return nil
		}
		if err != nil {
			return err
		}
		r.recordSpace()
		r.node.Advance()
	}
}

// handleReady sends, stores and hands out the contents of a Ready in the order that
// raft.Ready requires.
func (r *Replica) handleReady(ready *raft.Ready) error {
	r.send(ready.ImmediateMessages)
	if err := r.write(func() error { return r.store(ready) }); err != nil {
		return err
	}
	r.send(ready.Messages)
	if ready.Snapshot != nil {
		r.recordSnapshot(ready.Snapshot.Index)
	}
	r.handOut(ready.Snapshot, ready.CommittedEntries)
	return nil
}

// store stores the hard state, the snapshot and the entries of a Ready. If the disk is full, it
// drops what they replace first.
func (r *Replica) store(ready *raft.Ready) error {
	hard := ready.HardState
	if ready.Snapshot != nil {
		if err := r.storeReceived(hard, ready.Snapshot); err != nil {
			return err
		}
		hard = nil
	}
	if hard == nil && len(ready.Entries) == 0 {
		return nil
	}
	err := r.cfg.Storage.Append(hard, ready.Entries)
	if errors.Is(err, port.ErrNotStored) && len(ready.Entries) > 0 {
		dropped, truncateErr := r.cfg.Storage.Truncate(ready.Entries[0].Index)
		if truncateErr != nil && !errors.Is(truncateErr, port.ErrNotStored) {
			return port.AtStep("truncate log", "", truncateErr)
		}
		if dropped {
			err = r.cfg.Storage.Append(hard, ready.Entries)
		}
	}
	return port.AtStep("append to log", "", err)
}

// storeReceived stores a received snapshot and the hard state, if it is not nil.
func (r *Replica) storeReceived(hard *peerv1.RaftHardState, snapshot *peerv1.RaftSnapshot) error {
	// The commit index is left out: the log below it may differ from what the snapshot replaces,
	// and a restart must not apply it if the snapshot cannot be stored.
	appendHard := func() error {
		if hard == nil {
			return nil
		}
		withoutCommit := proto.Clone(hard).(*peerv1.RaftHardState)
		withoutCommit.Commit = 0
		return port.AtStep("append to log", "", r.cfg.Storage.Append(withoutCommit, nil))
	}
	hardErr := appendHard()
	if hardErr != nil {
		// On a full disk the snapshot may make space. It must not come before a generation
		// that the replica has adopted, but may come before a term or vote.
		stored, _, _, err := r.cfg.Storage.Load()
		if !errors.Is(hardErr, port.ErrNotStored) || err != nil || stored.GetGeneration() != hard.Generation {
			return hardErr
		}
	}
	if err := r.cfg.Storage.SaveSnapshot(snapshot); err != nil {
		return port.AtStep("store snapshot", "", err)
	}
	if hardErr != nil {
		return appendHard()
	}
	return nil
}

func (r *Replica) send(messages []*peerv1.RaftMessage) {
	if len(messages) > 0 {
		r.cfg.Transport.Send(r.cfg.Group, messages)
	}
}

// publish makes the core's state visible to other goroutines.
func (r *Replica) publish() {
	v := &view{status: r.node.Status()}
	v.leaseUntil, v.leaderSince, v.hasLease = r.node.Lease()
	v.unapplied = r.unapplied(&v.status)
	v.full = r.full
	v.logBytes, _ = r.cfg.Storage.Size()
	r.view.Store(v)
	r.logGauge.Update(float64(v.logBytes))
	if r.full {
		r.fullGauge.Update(1)
	} else {
		r.fullGauge.Update(0)
	}
}

// unapplied returns the number of entries that the state machine lacks. On a leader those
// that are not committed count too: it proposes them, while a follower may have to replace
// them.
func (r *Replica) unapplied(s *raft.Status) uint64 {
	last := s.CommitIndex
	if s.Role == raft.Leader {
		last = s.LastIndex
	}
	return last - max(s.AppliedIndex, r.snapshotIndex)
}

// recordRole logs a change of the role. If leadership was lost, it fails the proposals
// that wait for their commit.
func (r *Replica) recordRole() {
	s := r.view.Load().status
	if s.Role == r.role {
		return
	}
	r.log.Info("role changed", "role", s.Role.String(), "term", s.Term, "leader", s.Leader)
	if r.role == raft.Leader {
		r.failWaiters(errLeadershipLost)
	}
	r.role = s.Role
}

// failWaiters fails all proposals in the log that are not handed out with an
// OutcomeUnknownError.
func (r *Replica) failWaiters(cause error) {
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.finish(nil, &OutcomeUnknownError{r.cfg.Group, cause})
	}
}

// Lease implements port.ReplicatedLog.
func (r *Replica) Lease() (leaderSince time.Duration, valid bool) {
	v := r.view.Load()
	return v.leaderSince, v.hasLease && r.cfg.Clock.Now() < v.leaseUntil
}

// Leader implements port.ReplicatedLog.
func (r *Replica) Leader() (id, address string) {
	s := r.view.Load().status
	return s.Leader, addressOf(s.Membership, s.Leader)
}

// addressOf returns the address of a member, empty if it is not a member.
func addressOf(m *peerv1.RaftMembership, id string) string {
	for _, list := range [][]*peerv1.RaftReplica{m.GetVoters(), m.GetLearners()} {
		for _, v := range list {
			if v.Id == id {
				return v.Address
			}
		}
	}
	return ""
}

// Status returns a snapshot of the state of the replica and its group.
func (r *Replica) Status() Status {
	v := r.view.Load()
	s := v.status
	return Status{
		ID: s.ID, Role: s.Role, Term: s.Term, Generation: s.Generation, Leader: s.Leader,
		CommitIndex: s.CommitIndex, AppliedIndex: s.AppliedIndex,
		Voters: s.Membership.GetVoters(), Learners: s.Membership.GetLearners(), Match: s.Match,
		Full: v.full, LogBytes: v.logBytes,
	}
}

// pollUntil calls ready at each pollInterval until it returns true or an error, the
// context ends or the replica stops.
func (r *Replica) pollUntil(ctx context.Context, ready func() (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if ok, err := ready(); ok || err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.done:
			return ErrStopped
		}
	}
}
