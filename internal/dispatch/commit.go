package dispatch

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

// pendingCommit is a command of a caller that is being committed. result and err are set
// when done is closed.
type pendingCommit struct {
	// command is the encoding of the command, and subject what it changes, as subjectOf has it.
	command, subject string
	done             chan struct{}
	result           any
	err              error
}

// pendingCommits holds the commands that are being committed: one for each encoding, and at
// most one for each subject. The zero value is ready to use.
type pendingCommits struct {
	// mu is held while the state is read, so it must not be taken in a view.
	mu        sync.Mutex
	byCommand map[string]*pendingCommit
	bySubject map[string]*pendingCommit
}

// find returns the commit in progress that a command has to wait for, nil if there is none.
// The caller holds mu.
func (c *pendingCommits) find(command, subject string) *pendingCommit {
	if p := c.byCommand[command]; p != nil || subject == "" {
		return p
	}
	return c.bySubject[subject]
}

// add adds a commit. The caller holds mu.
func (c *pendingCommits) add(p *pendingCommit) {
	if c.byCommand == nil {
		c.byCommand, c.bySubject = map[string]*pendingCommit{}, map[string]*pendingCommit{}
	}
	c.byCommand[p.command] = p
	if p.subject != "" {
		c.bySubject[p.subject] = p
	}
}

// remove removes a commit that is done.
func (c *pendingCommits) remove(p *pendingCommit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byCommand, p.command)
	if p.subject != "" {
		delete(c.bySubject, p.subject)
	}
}

// subjectOf returns what a command changes if commands that change the same are committed one
// after the other: the id of the job that it submits or cancels, or the data centre whose
// evacuation it starts or stops, in a form that no id has. It is empty for other commands.
func subjectOf(c *cell.Command) string {
	switch {
	case c.Submit != nil:
		return jobID(c.Submit.Path)
	case c.Cancel != nil:
		return jobID(c.Cancel.Path)
	case c.Evacuate != nil:
		return "evacuation/" + c.Evacuate.DataCentre
	}
	return ""
}

// commitOnce commits a command of a caller and returns the result of applying it. A call
// with the same command as one that is being committed waits for that one: callers repeat
// calls that take long, and the log cannot take back a command whose caller has gone. The
// submission and the cancellation of a job are committed one after the other, so that each is
// decided in the state that the other has left; so are the start and the stop of an
// evacuation, since the start that is repeated after a stop must not be answered with the
// commit of one before it. The error is as that of port.ReplicatedLog, a
// *replica.OutcomeUnknownError if ctx ends first. done, which may be nil, returns the result
// of a command that need not be committed according to the state.
func (t *term) commitOnce(ctx context.Context, c *cell.Command, done func() (result any, decided bool)) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	data, err := cell.Encode(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		p, result := t.pendingCommit(data, subjectOf(c), done)
		if p == nil {
			return result, nil
		}
		isOwn := p.command == string(data)
		select {
		case <-p.done:
			if isOwn {
				return p.result, p.err
			}
		case <-ctx.Done():
			if isOwn {
				return nil, &replica.OutcomeUnknownError{Group: "cell", Err: errors.Wrap(ctx.Err(), "wait for commit")}
			}
			return nil, errors.Wrap(ctx.Err(), "wait for another command with the same subject")
		}
	}
}

// pendingCommit returns the commit in progress of an encoded command or, if there is one, of
// another command with the same subject, and otherwise begins to commit the command. The commit ends
// with the term. If done shows that the command need not be committed, it returns the result
// instead: the state may have changed since the caller looked at it.
func (t *term) pendingCommit(data []byte, subject string, done func() (any, bool)) (p *pendingCommit, result any) {
	t.commits.mu.Lock()
	defer t.commits.mu.Unlock()
	if p := t.commits.find(string(data), subject); p != nil {
		return p, nil
	}
	if done != nil {
		if result, decided := done(); decided {
			return nil, result
		}
	}
	p = &pendingCommit{command: string(data), subject: subject, done: make(chan struct{})}
	t.commits.add(p)
	go func() {
		p.result, p.err = t.leader.proposeEncoded(t.ctx, data)
		if errors.Is(p.err, context.Canceled) && !isOutcomeUnknown(p.err) {
			p.err = &port.NotLeaderError{Group: "cell"} // the term ended before the command was proposed
		}
		t.commits.remove(p)
		close(p.done)
	}()
	return p, nil
}
