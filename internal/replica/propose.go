package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// proposal is a command, or a membership change, that is not yet applied.
type proposal struct {
	command []byte
	// claimed is set by the replica's goroutine when it proposes the command, or by
	// the caller when it stops waiting before that.
	claimed atomic.Bool
	term    uint64 // in which it was proposed
	// proposedAt is when it was appended to the log.
	proposedAt time.Duration
	result     any
	err        error
	done       chan struct{} // closed when result and err are set
}

func newProposal(command []byte) *proposal {
	return &proposal{command: command, done: make(chan struct{})}
}

func (p *proposal) finish(result any, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// Propose implements port.ReplicatedLog. It returns when this replica has applied
// the command, or when the context ends. The error is an *OutcomeUnknownError if the
// command may or may not be committed. With any other error the command was not
// proposed: a *port.NotLeaderError if this replica does not lead, ErrOverloaded,
// ErrStopped or the context's error.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if r.view.Load().status.Role != raft.Leader {
		if r.stopped() {
			return nil, ErrStopped
		}
		return nil, r.notLeaderError()
	}
	p := newProposal(command)
	if err := r.enqueue(p); err != nil {
		return nil, err
	}
	return r.awaitProposal(ctx, p)
}

func (r *Replica) stopped() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// enqueue queues a proposal for the next turn.
func (r *Replica) enqueue(p *proposal) error {
	lagging := r.view.Load().unapplied >= maxUnappliedEntries
	r.mu.Lock()
	full := lagging || len(r.queue.proposals) >= maxQueuedProposals
	first := len(r.queue.proposals) == 0
	if !full {
		r.queue.proposals = append(r.queue.proposals, p)
	}
	r.mu.Unlock()
	switch {
	case full:
		return ErrOverloaded
	case r.cfg.BatchDelay == 0:
		r.wakeUp()
	case first:
		time.AfterFunc(r.cfg.BatchDelay, r.wakeUp)
	}
	return nil
}

// awaitProposal waits until a queued proposal is applied or fails.
func (r *Replica) awaitProposal(ctx context.Context, p *proposal) (any, error) {
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, r.abandon(p, ctx.Err())
	case <-r.done:
	}
	select {
	case <-p.done:
		return p.result, p.err
	default:
		return nil, r.abandon(p, ErrStopped)
	}
}

// abandon stops the wait for a proposal. A proposal that is still queued will not be
// proposed, and cause is returned. Otherwise its outcome is unknown.
func (r *Replica) abandon(p *proposal, cause error) error {
	if p.claimed.CompareAndSwap(false, true) {
		return cause
	}
	return &OutcomeUnknownError{r.cfg.Group, cause}
}

// proposeBatch passes the queued proposals to the core as one batch. It refuses those for
// which there is no room below maxUnappliedEntries.
func (r *Replica) proposeBatch(queued []*proposal) {
	if len(queued) == 0 {
		return
	}
	status := r.node.Status()
	unapplied := r.unapplied(&status)
	// While no majority can store, entries only pile up.
	uncommitted := r.node.UncommittedBytes()
	var batch []*proposal
	var commands [][]byte
	for _, p := range queued {
		if !p.claimed.CompareAndSwap(false, true) {
			continue
		}
		size := int64(len(p.command))
		tooLarge := r.cfg.MaxLogBytes > 0 && uncommitted > 0 && uncommitted+size > r.cfg.MaxLogBytes
		if r.full || tooLarge || unapplied+uint64(len(batch)) >= maxUnappliedEntries {
			p.finish(nil, ErrOverloaded)
			continue
		}
		uncommitted += size
		batch = append(batch, p)
		commands = append(commands, p.command)
	}
	if len(batch) == 0 {
		return
	}
	first, term, err := r.node.Propose(commands)
	now := r.cfg.Clock.Now()
	for i, p := range batch {
		if err != nil {
			p.finish(nil, r.translateError(err))
			continue
		}
		p.term, p.proposedAt = term, now
		r.waiters[first+uint64(i)] = p
	}
}

// translateError converts an error with which the core refuses a proposal to one of
// package port, if there is an equivalent.
func (r *Replica) translateError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrTransferring) {
		return r.notLeaderError()
	}
	return err
}

func (r *Replica) notLeaderError() error {
	id, address := r.Leader()
	if id == r.cfg.ID {
		id, address = "", "" // this replica leads, but is transferring leadership
	}
	return &port.NotLeaderError{Group: r.cfg.Group, Leader: id, Address: address}
}
