package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/replica"
)

// slowLog commits one command after the other, each in entryTime. Like the replicated
// log, it commits a command even if the proposer stops waiting.
type slowLog struct {
	*fakeLog
	mu        sync.Mutex
	entryTime time.Duration
	busyUntil time.Time
	proposed  atomic.Int64
}

// pause makes the log commit nothing for d.
func (l *slowLog) pause(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busyUntil = time.Now().Add(d)
}

func (l *slowLog) Propose(ctx context.Context, command []byte) (any, error) {
	l.proposed.Add(1)
	l.mu.Lock()
	if l.busyUntil.Before(time.Now()) {
		l.busyUntil = time.Now()
	}
	l.busyUntil = l.busyUntil.Add(l.entryTime)
	due := time.Until(l.busyUntil)
	l.mu.Unlock()
	type outcome struct {
		result any
		err    error
	}
	committed := make(chan outcome, 1)
	time.AfterFunc(due, func() {
		result, err := l.fakeLog.Propose(context.Background(), command)
		committed <- outcome{result, err}
	})
	select {
	case o := <-committed:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &replica.OutcomeUnknownError{Group: "cell", Err: ctx.Err()}
	}
}

// submitAsGateway submits a job as a gateway does: it gives up an attempt after 450 ms,
// repeats it, and ends after 1.2 s. It reports whether the job was accepted in time.
func submitAsGateway(b *testCell, id string) bool {
	ctx, cancel := context.WithTimeout(b.t.Context(), 1200*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, 450*time.Millisecond)
		r := b.leader.Do(attempt, &cellapi.Call{Submit: &cell.Submit{Request: jobRequest(id), Job: cell.Submission{Spec: "s", Steps: []cell.Step{taskStep(1, 1)}}}})
		cancel()
		if r.Verdict == cell.Accepted {
			return true
		}
	}
	return false
}

// Guards against calls that are repeated while the leader still commits them and whose
// repetitions keep commits slow after their cause is over.
func TestSubmissionsRecoverAfterSlowCommits(t *testing.T) {
	var log *slowLog
	runCellWith(t, 0, func(c *Config) {
		log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: 5 * time.Millisecond}
		c.Log = log
	}, func(b *testCell) {
		const (
			jobs     = 2000
			interval = 10 * time.Millisecond // half of what the log can commit
		)
		log.pause(2 * time.Second)
		log.proposed.Store(0)
		var calls sync.WaitGroup
		var lateAccepted atomic.Int64
		for i := range jobs {
			calls.Go(func() {
				if submitAsGateway(b, fmt.Sprintf("%016x", i)) && i >= jobs/2 {
					lateAccepted.Add(1)
				}
			})
			time.Sleep(interval)
		}
		calls.Wait()
		t.Logf("%d of the last %d jobs accepted in time, %d commands for %d jobs", lateAccepted.Load(), jobs/2, log.proposed.Load(), jobs)
		assert.Equal(t, lateAccepted.Load(), int64(jobs/2))
		assert.Equal(t, log.proposed.Load(), int64(jobs))
	})
}

// Guards against a command that is carried out although it was refused because its caller's
// time has passed while it waited for another command of the job, and against Refused for the
// command that was proposed.
func TestRefusedCommandIsNotCommitted(t *testing.T) {
	var log *slowLog
	runCellWith(t, 1, func(c *Config) {
		log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: time.Millisecond}
		c.Log = log
	}, func(b *testCell) {
		log.pause(2 * time.Second)
		replies := make(chan *cellapi.Reply, 1)
		send := func(c *cellapi.Call) *cellapi.Reply {
			ctx, cancel := context.WithTimeout(b.t.Context(), 450*time.Millisecond)
			defer cancel()
			return b.leader.Do(ctx, c)
		}
		go func() { replies <- send(submitCall(jobID1)) }()
		time.Sleep(50 * time.Millisecond)
		cancelled := send(cancelCall(jobID1))
		submitted := <-replies
		assert.Assert(t, cancelled.Refused != "" && cancelled.Unknown == "", "%+v", cancelled)
		assert.Assert(t, submitted.Refused == "" && submitted.Unknown != "", "%+v", submitted)
		time.Sleep(2 * time.Second)
		b.waitForState(jobID1, cell.Complete, 10*time.Second)
	})
}
