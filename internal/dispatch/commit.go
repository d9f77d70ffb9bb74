package dispatch

import (
	"context"

	"github.com/pkg/errors"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

// pendingCommit is a command of a caller that is being committed. result and err are set
// when done is closed.
type pendingCommit struct {
	done   chan struct{}
	result any
	err    error
}

// commitOnce commits a command of a caller and returns the result of applying it. A call
// with the same command as one that is being committed waits for that one: callers repeat
// calls that take long, and the log cannot take back a command whose caller has gone. The
// error is as that of port.ReplicatedLog, a *replica.OutcomeUnknownError if ctx ends
// first. done, which may be nil, returns the result of a command that the state shows as
// applied.
func (t *term) commitOnce(ctx context.Context, c *cell.Command, done func() (result any, applied bool)) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	data, err := cell.Encode(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p, result := t.pendingCommit(data, done)
	if p == nil {
		return result, nil
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, &replica.OutcomeUnknownError{Group: "cell", Err: errors.Wrap(ctx.Err(), "wait for commit")}
	}
}

// pendingCommit returns the commit of an encoded command that is in progress, and begins
// one if there is none. It ends with the term. If done shows the command as applied, it
// returns the result instead: the command may have been applied, and its commit removed,
// since the caller looked at the state.
func (t *term) pendingCommit(data []byte, done func() (any, bool)) (p *pendingCommit, result any) {
	t.commitsMu.Lock()
	defer t.commitsMu.Unlock()
	key := string(data)
	if p := t.commits[key]; p != nil {
		return p, nil
	}
	if done != nil {
		if result, applied := done(); applied {
			return nil, result
		}
	}
	p = &pendingCommit{done: make(chan struct{})}
	t.commits[key] = p
	go func() {
		p.result, p.err = t.leader.proposeEncoded(t.ctx, data)
		if errors.Is(p.err, context.Canceled) && !isOutcomeUnknown(p.err) {
			p.err = &port.NotLeaderError{Group: "cell"} // the term ended before the command was proposed
		}
		t.commitsMu.Lock()
		delete(t.commits, key)
		t.commitsMu.Unlock()
		close(p.done)
	}()
	return p, nil
}
