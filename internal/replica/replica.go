package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// Replica is one running replica of a group. It implements port.ReplicatedLog.
type Replica struct {
	cfg    Config
	log    *slog.Logger
	wake   chan struct{}
	stop   chan struct{}
	once   sync.Once
	done   chan struct{}
	view   atomic.Pointer[view]
	mu     sync.Mutex
	queue  queue
	failed error

	// The rest belongs to the goroutine of run.
	node     *raft.Node
	snapshot uint64 // index of the newest snapshot
	waiters  map[uint64]*proposal
	role     raft.Role
}

// queue holds what waits for the next turn.
type queue struct {
	proposals []*proposal
	messages  []*peerv1.RaftMessage
	calls     []func()
}

// view is what other goroutines see of the core.
type view struct {
	status     raft.Status
	leaseUntil time.Duration
	since      time.Duration
	lease      bool
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
		// A founder that restarts before its first snapshot needs the initial
		// membership again, so it is kept as a snapshot of index 0.
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
		cfg:      c,
		log:      c.Logger.With("group", c.Group, "replica", c.ID),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		snapshot: snapshot.GetIndex(),
		waiters:  map[uint64]*proposal{},
		node: raft.New(raft.Config{
			ID: c.ID, Membership: c.Membership, HardState: hard, Snapshot: snapshot, Entries: entries,
			RetainedEntries: c.SnapshotThreshold / 2, Seed: seed, Now: c.Clock.Now(),
		}),
	}
	r.publish()
	go r.run()
	return r, nil
}

// Stop stops the replica without a transfer of leadership and closes its
// storage. Waiting proposals end with an OutcomeUnknownError.
func (r *Replica) Stop() {
	r.once.Do(func() { close(r.stop) })
	<-r.done
}

// Done is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error that stopped the replica, nil if it runs or Stop was
// called.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// Step queues messages received from other replicas. If too many wait, the
// oldest are dropped, as by a network that loses messages.
func (r *Replica) Step(messages []*peerv1.RaftMessage) {
	r.mu.Lock()
	r.queue.messages = append(r.queue.messages, messages...)
	if over := len(r.queue.messages) - maxQueuedMessages; over > 0 {
		r.queue.messages = r.queue.messages[over:]
	}
	r.mu.Unlock()
	r.signal()
}

func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Replica) run() {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	err := r.turn(false)
	for err == nil {
		select {
		case <-r.stop:
			r.finish(nil)
			return
		case <-ticker.C:
			err = r.turn(true)
		case <-r.wake:
			err = r.turn(false)
		}
	}
	r.finish(err)
}

// finish ends the replica: it holds no lease and answers nothing any more.
func (r *Replica) finish(err error) {
	if err != nil {
		r.log.Error("replica stopped by an error", "err", err)
	}
	status := r.view.Load().status
	status.Role = raft.Follower
	status.Leader = ""
	status.Match = nil
	r.view.Store(&view{status: status})
	r.mu.Lock()
	r.failed = err
	r.mu.Unlock()
	if closeErr := r.cfg.Storage.Close(); closeErr != nil {
		r.log.Warn("closing the storage failed", "err", closeErr)
	}
	r.failWaiters(ErrStopped)
	close(r.done)
}

// turn handles everything that is queued.
func (r *Replica) turn(tick bool) error {
	r.mu.Lock()
	q := r.queue
	r.queue = queue{}
	r.mu.Unlock()
	// The time is read after the messages were taken: a promise counted from
	// it starts after the leader sent the heartbeat.
	now := r.cfg.Clock.Now()
	if tick {
		r.node.Tick(now)
	}
	for _, m := range q.messages {
		r.node.Step(now, m)
	}
	for _, call := range q.calls {
		call()
	}
	r.propose(q.proposals)
	if err := r.settle(); err != nil {
		return err
	}
	return r.takeSnapshot()
}

// settle handles Readys until the core has nothing more to do.
func (r *Replica) settle() error {
	for {
		ready := r.node.Ready()
		// A lost lease is published before any message that lets another
		// replica gain one.
		r.publish()
		r.noteRole()
		if ready.Empty() {
			return nil
		}
		if err := r.handle(&ready); err != nil {
			return err
		}
		r.node.Advance()
	}
}

func (r *Replica) handle(ready *raft.Ready) error {
	r.send(ready.ImmediateMessages)
	if err := r.store(ready); err != nil {
		return err
	}
	r.send(ready.Messages)
	if ready.Snapshot != nil {
		r.snapshot = ready.Snapshot.Index
		if err := r.cfg.StateMachine.Restore(ready.Snapshot.Index, ready.Snapshot.Data); err != nil {
			return port.AtStep("restore snapshot", "", err)
		}
		r.log.Info("installed snapshot", "index", ready.Snapshot.Index)
	}
	for _, e := range ready.CommittedEntries {
		r.apply(e)
	}
	return nil
}

func (r *Replica) store(ready *raft.Ready) error {
	hard := ready.HardState
	if ready.Snapshot != nil {
		if hard != nil {
			if err := r.cfg.Storage.Append(hard, nil); err != nil {
				return port.AtStep("append to log", "", err)
			}
		}
		if err := r.cfg.Storage.SaveSnapshot(ready.Snapshot); err != nil {
			return port.AtStep("store snapshot", "", err)
		}
		hard = nil
	}
	if hard == nil && len(ready.Entries) == 0 {
		return nil
	}
	return port.AtStep("append to log", "", r.cfg.Storage.Append(hard, ready.Entries))
}

func (r *Replica) send(messages []*peerv1.RaftMessage) {
	if len(messages) > 0 {
		r.cfg.Transport.Send(r.cfg.Group, messages)
	}
}

func (r *Replica) apply(e *peerv1.RaftEntry) {
	var result any
	switch e.Kind {
	case peerv1.RaftEntry_COMMAND:
		result = r.cfg.StateMachine.Apply(e.Index, e.Data)
	case peerv1.RaftEntry_MEMBERSHIP:
		r.log.Info("membership changed", "index", e.Index, "term", e.Term)
	}
	w := r.waiters[e.Index]
	if w == nil {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.finish(nil, &OutcomeUnknownError{r.cfg.Group, errLeadershipLost})
		return
	}
	w.finish(result, nil)
}

// takeSnapshot takes a snapshot if enough entries were applied since the last.
func (r *Replica) takeSnapshot() error {
	if r.node.Status().AppliedIndex < r.snapshot+r.cfg.SnapshotThreshold {
		return nil
	}
	data, err := r.cfg.StateMachine.Snapshot()
	if err != nil {
		return port.AtStep("take snapshot", "", err)
	}
	s := r.node.Snapshot(data)
	if err := r.cfg.Storage.SaveSnapshot(s); err != nil {
		return port.AtStep("store snapshot", "", err)
	}
	r.node.Compact(s)
	r.snapshot = s.Index
	return nil
}

// publish makes the core's state visible to other goroutines.
func (r *Replica) publish() {
	v := &view{status: r.node.Status()}
	v.leaseUntil, v.since, v.lease = r.node.Lease()
	r.view.Store(v)
}

// noteRole logs changes of role and ends the proposals of a lost leadership.
func (r *Replica) noteRole() {
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

func (r *Replica) failWaiters(cause error) {
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.finish(nil, &OutcomeUnknownError{r.cfg.Group, cause})
	}
}

// Lease implements port.ReplicatedLog.
func (r *Replica) Lease() (leaderSince time.Duration, valid bool) {
	v := r.view.Load()
	return v.since, v.lease && r.cfg.Clock.Now() < v.leaseUntil
}

// Leader implements port.ReplicatedLog.
func (r *Replica) Leader() (id, address string) {
	s := r.view.Load().status
	return s.Leader, addressOf(s.Membership, s.Leader)
}

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

// Status returns a view of the replica and its group.
func (r *Replica) Status() Status {
	s := r.view.Load().status
	return Status{
		ID: s.ID, Role: s.Role, Term: s.Term, Generation: s.Generation, Leader: s.Leader,
		CommitIndex: s.CommitIndex, AppliedIndex: s.AppliedIndex,
		Voters: s.Membership.GetVoters(), Learners: s.Membership.GetLearners(), Match: s.Match,
	}
}

// wait calls ready every poll interval until it returns true or an error, the
// context ends or the replica stops.
func (r *Replica) wait(ctx context.Context, ready func() (bool, error)) error {
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
