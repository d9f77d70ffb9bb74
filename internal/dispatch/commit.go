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
// first.
func (t *term) commitOnce(ctx context.Context, c *cell.Command) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	data, err := cell.Encode(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p := t.pendingCommit(data)
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, &replica.OutcomeUnknownError{Group: "cell", Err: errors.Wrap(ctx.Err(), "wait for commit")}
	}
}

// pendingCommit returns the commit of an encoded command that is in progress, and begins
// one if there is none. It ends with the term.
func (t *term) pendingCommit(data []byte) *pendingCommit {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := string(data)
	if p := t.commits[key]; p != nil {
		return p
	}
	p := &pendingCommit{done: make(chan struct{})}
	t.commits[key] = p
	go func() {
		p.result, p.err = t.leader.proposeEncoded(t.ctx, data)
		if errors.Is(p.err, context.Canceled) && !isOutcomeUnknown(p.err) {
			p.err = &port.NotLeaderError{Group: "cell"} // the term ended before the command was proposed
		}
		t.mu.Lock()
		delete(t.commits, key)
		t.mu.Unlock()
		close(p.done)
	}()
	return p
}
