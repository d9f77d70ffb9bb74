package replica

import (
	"errors"
	"sync"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

const (
	// maxUnappliedEntries is the number of entries by which the state machine may lag
	// behind before no more are accepted. Entries that are not applied cannot be compacted.
	maxUnappliedEntries = 16_384
	// snapshotRetryDelay is the delay after a snapshot that could not be stored until the
	// next one is encoded.
	snapshotRetryDelay = time.Second
)

// applier calls the state machine on a goroutine of its own, because a call may take
// longer than an election timeout. It carries out tasks in the order of their queueing.
type applier struct {
	r    *Replica
	wake chan struct{} // signals a new task
	quit chan struct{} // closed by stop
	done chan struct{} // closed when the goroutine has ended

	mu    sync.Mutex // guards tasks
	tasks []applyTask

	index uint64 // up to which the state machine has applied the log
}

// applyTask is one task of the applier: to restore a snapshot, to apply entries or to
// encode the state.
type applyTask struct {
	snapshot *peerv1.RaftSnapshot
	entries  []*peerv1.RaftEntry
	// proposals are those that wait for the entries, by index.
	proposals map[uint64]*proposal
	encode    bool
}

// applyReport is what the applier has done since the last turn of the replica.
type applyReport struct {
	index         uint64 // up to which the log is applied
	snapshotIndex uint64 // at which snapshot was encoded, 0 if none was
	snapshot      []byte
	err           error // ends the applier
}

func startApplier(r *Replica, index uint64) *applier {
	a := &applier{
		r: r, index: index,
		wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}),
	}
	go a.run()
	return a
}

// enqueue adds a task.
func (a *applier) enqueue(t applyTask) {
	a.mu.Lock()
	a.tasks = append(a.tasks, t)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// stop waits for the call of the state machine in progress and ends the goroutine.
// The remaining tasks are dropped.
func (a *applier) stop() {
	close(a.quit)
	<-a.done
}

func (a *applier) stopping() bool {
	select {
	case <-a.quit:
		return true
	default:
		return false
	}
}

// run is the applier's goroutine.
func (a *applier) run() {
	defer close(a.done)
	for {
		select {
		case <-a.quit:
			return
		case <-a.wake:
		}
		a.mu.Lock()
		tasks := a.tasks
		a.tasks = nil
		a.mu.Unlock()
		for _, t := range tasks {
			report := a.do(t)
			report.index = a.index
			a.r.recordApplied(report)
			if report.err != nil || a.stopping() {
				return
			}
		}
	}
}

// do carries out a task. It ends early if the applier is being stopped.
func (a *applier) do(t applyTask) applyReport {
	var report applyReport
	if t.snapshot != nil {
		if err := a.r.cfg.StateMachine.Restore(t.snapshot.Index, t.snapshot.Data); err != nil {
			report.err = port.AtStep("restore snapshot", "", err)
			return report
		}
		a.index = t.snapshot.Index
		a.r.log.Info("installed snapshot", "index", t.snapshot.Index)
	}
	for _, e := range t.entries {
		if a.stopping() {
			return report
		}
		a.apply(e, t.proposals[e.Index])
	}
	if t.encode {
		data, err := a.r.cfg.StateMachine.Snapshot()
		if err != nil {
			report.err = port.AtStep("take snapshot", "", err)
			return report
		}
		report.snapshot, report.snapshotIndex = data, a.index
	}
	return report
}

// apply applies a committed entry and completes the proposal that waits for it, if
// there is one.
func (a *applier) apply(e *peerv1.RaftEntry, p *proposal) {
	var result any
	switch e.Kind {
	case peerv1.RaftEntry_COMMAND:
		result = a.r.cfg.StateMachine.Apply(e.Index, e.Data)
	case peerv1.RaftEntry_MEMBERSHIP:
		a.r.log.Info("membership changed", "index", e.Index, "term", e.Term)
	}
	a.index = e.Index
	if p != nil {
		p.finish(result, nil)
	}
}

// recordApplied queues a report of the applier for the next turn.
func (r *Replica) recordApplied(report applyReport) {
	r.mu.Lock()
	q := &r.queue.applied
	q.index = report.index
	if report.snapshotIndex > 0 {
		q.snapshot, q.snapshotIndex = report.snapshot, report.snapshotIndex
	}
	q.err = report.err
	r.mu.Unlock()
	r.wakeUp()
}

// storeEncoded stores the snapshot that a report may contain and compacts the log.
func (r *Replica) storeEncoded(report applyReport) error {
	if report.snapshotIndex == 0 {
		return nil
	}
	r.encoding = false
	s := r.node.Snapshot(report.snapshotIndex, report.snapshot)
	if s == nil {
		return nil // a newer one was received
	}
	err := r.write(func() error { return r.cfg.Storage.SaveSnapshot(s) })
	if errors.Is(err, port.ErrNotStored) {
		if !r.full { // else it is known that the disk is full
			r.log.Warn("snapshot not stored, tried again later", "index", s.Index, "err", err)
		}
		r.snapshotRetryAt = r.cfg.Clock.Now() + snapshotRetryDelay
		return nil
	}
	if err != nil {
		return port.AtStep("store snapshot", "", err)
	}
	r.node.Compact(s)
	r.recordSnapshot(s.Index)
	r.storeRetryAt = 0 // compaction may have made space
	return nil
}

// handOut passes the snapshot and the committed entries of a Ready to the applier, with
// the proposals that wait for them. If an entry has another term than its proposal,
// another leader has written that index.
func (r *Replica) handOut(snapshot *peerv1.RaftSnapshot, entries []*peerv1.RaftEntry) {
	if snapshot == nil && len(entries) == 0 {
		return
	}
	t := applyTask{snapshot: snapshot, entries: entries}
	for _, e := range entries {
		p := r.waiters[e.Index]
		if p == nil {
			continue
		}
		delete(r.waiters, e.Index)
		if p.term != e.Term {
			p.finish(nil, &OutcomeUnknownError{r.cfg.Group, errLeadershipLost})
			continue
		}
		if t.proposals == nil {
			t.proposals = map[uint64]*proposal{}
		}
		t.proposals[e.Index] = p
	}
	r.applier.enqueue(t)
}

// recordSnapshot records that a snapshot was stored and the log was compacted.
func (r *Replica) recordSnapshot(index uint64) {
	r.snapshotIndex = index
	r.compactedBytes, _ = r.cfg.Storage.Size()
}

// maybeRequestSnapshot requests a snapshot if one is due, and not shortly after one that could
// not be stored.
func (r *Replica) maybeRequestSnapshot() {
	now := r.cfg.Clock.Now()
	if r.encoding || now < r.snapshotRetryAt || !r.snapshotDue() {
		return
	}
	if r.full {
		// A snapshot that is older than a received one is dropped and would be due at once.
		r.snapshotRetryAt = now + snapshotRetryDelay
	}
	r.encoding = true
	r.applier.enqueue(applyTask{encode: true})
}

// snapshotDue reports whether Config.SnapshotThreshold entries were applied since the last
// snapshot, or the log has grown by Config.MaxLogBytes since it was compacted, or the disk is
// full and compaction may make space.
//
// The log must also have grown by the size of the last snapshot, so that a state larger than
// MaxLogBytes is not written for each entry. With M for MaxLogBytes, S for the size of a
// snapshot and F for what is appended while one is taken, the log has at most max(M, S) + 2F
// bytes. Beside it there are a snapshot, either its replacement, S, or that of the log, F, and
// the reserve of the storage, 1.25 S.
func (r *Replica) snapshotDue() bool {
	applied := r.node.Status().AppliedIndex
	if applied >= r.snapshotIndex+r.cfg.SnapshotThreshold {
		return true
	}
	log, snapshot := r.cfg.Storage.Size()
	grown := log-r.compactedBytes >= max(r.cfg.MaxLogBytes, snapshot)
	return applied > r.snapshotIndex && (grown || r.full)
}
