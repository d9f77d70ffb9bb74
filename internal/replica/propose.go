package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// proposal is a command, or a membership change, that waits for its commit.
type proposal struct {
	command []byte
	taken   atomic.Bool // by the loop, or by the caller that gave up
	term    uint64
	result  any
	err     error
	done    chan struct{}
}

func newProposal(command []byte) *proposal {
	return &proposal{command: command, done: make(chan struct{})}
}

func (p *proposal) finish(result any, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// Propose implements port.ReplicatedLog. It returns when the command is applied here, or
// when the context ends. The error is a *port.NotLeaderError if the command was
// certainly not proposed because this replica does not lead, ErrOverloaded or
// the context's error if it was not proposed for another reason, and an
// *OutcomeUnknownError if it may or may not be committed.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if r.view.Load().status.Role != raft.Leader {
		if r.stopped() {
			return nil, ErrStopped
		}
		return nil, r.notLeader()
	}
	p := newProposal(command)
	if err := r.enqueue(p); err != nil {
		return nil, err
	}
	return r.await(ctx, p)
}

func (r *Replica) stopped() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *Replica) enqueue(p *proposal) error {
	r.mu.Lock()
	full := len(r.queue.proposals) >= maxQueuedProposals
	first := len(r.queue.proposals) == 0
	if !full {
		r.queue.proposals = append(r.queue.proposals, p)
	}
	r.mu.Unlock()
	switch {
	case full:
		return ErrOverloaded
	case r.cfg.BatchDelay == 0:
		r.signal()
	case first:
		time.AfterFunc(r.cfg.BatchDelay, r.signal)
	}
	return nil
}

// await waits for the end of a queued proposal.
func (r *Replica) await(ctx context.Context, p *proposal) (any, error) {
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, r.giveUp(p, ctx.Err())
	case <-r.done:
	}
	select {
	case <-p.done:
		return p.result, p.err
	default:
		return nil, r.giveUp(p, ErrStopped)
	}
}

// giveUp ends the wait: a proposal that is still queued will not be proposed.
func (r *Replica) giveUp(p *proposal, cause error) error {
	if p.taken.CompareAndSwap(false, true) {
		return cause
	}
	return &OutcomeUnknownError{r.cfg.Group, cause}
}

// propose hands queued proposals to the core as one batch.
func (r *Replica) propose(queued []*proposal) {
	var batch []*proposal
	var commands [][]byte
	for _, p := range queued {
		if p.taken.CompareAndSwap(false, true) {
			batch = append(batch, p)
			commands = append(commands, p.command)
		}
	}
	if len(batch) == 0 {
		return
	}
	first, term, err := r.node.Propose(commands)
	for i, p := range batch {
		if err != nil {
			p.finish(nil, r.refusal(err))
			continue
		}
		p.term = term
		r.waiters[first+uint64(i)] = p
	}
}

// refusal translates the core's refusal of a proposal.
func (r *Replica) refusal(err error) error {
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrTransferring) {
		return r.notLeader()
	}
	return err
}

func (r *Replica) notLeader() error {
	id, address := r.Leader()
	if id == r.cfg.ID {
		id, address = "", "" // leading, but about to transfer
	}
	return &port.NotLeaderError{Group: r.cfg.Group, Leader: id, Address: address}
}
