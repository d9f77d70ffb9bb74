package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

// commitTime is how long a commit takes in a recordedLog.
const commitTime = 2 * time.Millisecond

// recordedLog commits each command after commitTime, unless commits are held up, and keeps the
// commands, so that the state can be restored from an old snapshot and the commands after it.
type recordedLog struct {
	*fakeLog
	mu        sync.Mutex
	random    *rand.Rand
	heldUntil time.Time
	pending   []*pendingCommand
	committed [][]byte
	// snapshot is the state after the first snapshotLength commands.
	snapshot       []byte
	snapshotLength int
}

// pendingCommand is a proposed command that is not committed yet.
type pendingCommand struct {
	command []byte
	// settled receives the result or, with a nil result, that the outcome is unknown.
	settled chan any
}

// Propose implements port.ReplicatedLog.
func (l *recordedLog) Propose(ctx context.Context, command []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p := &pendingCommand{command, make(chan any, 1)}
	l.mu.Lock()
	if _, leads := l.Lease(); !leads {
		l.mu.Unlock()
		return nil, &port.NotLeaderError{Group: "cell"}
	}
	l.pending = append(l.pending, p)
	l.mu.Unlock()
	time.AfterFunc(commitTime, l.commitPending)
	select {
	case result := <-p.settled:
		if result == nil {
			return nil, &replica.OutcomeUnknownError{Group: "cell", Err: context.Canceled}
		}
		return result, nil
	case <-ctx.Done():
		return nil, &replica.OutcomeUnknownError{Group: "cell", Err: ctx.Err()}
	}
}

// commitPending commits the pending commands in order, unless commits are held up or the
// process does not lead.
func (l *recordedLog) commitPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, leads := l.Lease(); !leads || time.Now().Before(l.heldUntil) {
		return
	}
	l.commitAll(l.pending)
	l.pending = nil
}

// commitAll commits commands. The caller holds mu.
func (l *recordedLog) commitAll(commands []*pendingCommand) {
	for _, p := range commands {
		l.committed = append(l.committed, p.command)
		p.settled <- l.applyNext(p.command)
	}
}

// applyNext applies a command with the next index of the log.
func (l *recordedLog) applyNext(command []byte) any {
	l.fakeLog.mu.Lock()
	defer l.fakeLog.mu.Unlock()
	l.index++
	return l.apply(l.index, command)
}

// hold holds up commits.
func (l *recordedLog) hold(d time.Duration) {
	l.mu.Lock()
	l.heldUntil = time.Now().Add(d)
	l.mu.Unlock()
	time.AfterFunc(d, l.commitPending)
}

// takeSnapshot keeps a snapshot of the state.
func (l *recordedLog) takeSnapshot(b *testCell) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := b.store.Snapshot()
	assert.NilError(b.t, err)
	l.snapshot, l.snapshotLength = data, len(l.committed)
}

// restart ends the term and starts another one after a while. With restore the state is
// restored from the last snapshot and the commands after it. The outcome of pending commands
// is unknown to their proposers: the next leader commits all of them or drops them.
func (l *recordedLog) restart(b *testCell, term uint64, after time.Duration, restore bool) {
	l.mu.Lock()
	l.setTerm(0)
	inherited := l.pending
	l.pending = nil
	for _, p := range inherited {
		p.settled <- nil
	}
	l.mu.Unlock()
	time.Sleep(after)
	l.mu.Lock()
	defer l.mu.Unlock()
	if restore && l.snapshot != nil {
		assert.NilError(b.t, b.store.Restore(uint64(l.snapshotLength), l.snapshot))
		l.fakeLog.mu.Lock()
		l.index = uint64(l.snapshotLength)
		l.fakeLog.mu.Unlock()
		for _, command := range l.committed[l.snapshotLength:] {
			l.applyNext(command)
		}
	}
	if l.random.IntN(2) == 0 {
		for _, p := range inherited {
			l.committed = append(l.committed, p.command)
			l.applyNext(p.command)
		}
	}
	l.setTerm(term)
}

// completedJobs adds the jobs of the state that are complete to a set.
func (b *testCell) completedJobs(complete map[string]bool) {
	b.store.View(func(v *cell.View) {
		for id, j := range v.Jobs() {
			if j.State == cell.Complete {
				complete[id] = true
			}
		}
	})
}
