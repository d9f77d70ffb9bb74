package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

// cancelCall is the cancellation of a job of the first queue.
func cancelCall(id string) *cellapi.Call {
	request := jobRequest(id)
	return &cellapi.Call{Cancel: &request}
}

// submitCall is the submission of a job with one task to the first queue.
func submitCall(id string) *cellapi.Call {
	return &cellapi.Call{Submit: &cell.Submit{Request: jobRequest(id), Job: cell.Submission{Spec: "s", Steps: []cell.Step{taskStep(1, 1)}}}}
}

// Guards against a submission that was held up and is carried out after the client has
// cancelled the job, also under a new leader with a restored state, and against an id that
// can never be used again.
func TestSubmissionAfterCancellationIsRefused(t *testing.T) {
	const retention = 10 * time.Second
	for _, change := range []bool{false, true} {
		runCellWith(t, 1, func(c *Config) { c.Bounds.EndedJobRetention = retention }, func(b *testCell) {
			assert.Equal(t, b.leader.Do(b.t.Context(), cancelCall(jobID1)).Verdict, cell.NoJob)
			if change {
				b.changeLeader(2)
				data, err := b.store.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, b.store.Restore(0, data))
			}
			time.Sleep(4 * time.Second)
			r := b.leader.Do(b.t.Context(), submitCall(jobID1))
			assert.Equal(t, r.Verdict, cell.Withdrawn)
			time.Sleep(time.Second)
			assert.Equal(t, b.startCount(jobID1, 0), 0)
			time.Sleep(time.Duration(r.RetryAfterMS) * time.Millisecond)
			b.reportAll()
			b.do(submitCall(jobID1))
			b.waitForState(jobID1, cell.Complete, 5*time.Second)
		})
	}
}

// Guards against a job that runs although its cancellation was acknowledged, if the submission
// and the cancellation are committed at the same time: the log is slow, callers give up
// attempts and repeat them, and the cancellation is sent before, with or after the submission.
func TestSubmissionAndCancellationAtTheSameTime(t *testing.T) {
	for offset := -600 * time.Millisecond; offset <= 600*time.Millisecond; offset += 50 * time.Millisecond {
		for _, delay := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
			var log *slowLog
			runCellWith(t, 1, func(c *Config) {
				log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: 3 * time.Millisecond}
				c.Log = log
			}, func(b *testCell) {
				time.Sleep(time.Second)
				b.reportAll()
				log.pause(delay)
				// send repeats a call until it is answered.
				send := func(c *cellapi.Call, after time.Duration) chan *cellapi.Reply {
					answered := make(chan *cellapi.Reply, 1)
					go func() {
						time.Sleep(after)
						for {
							attempt, cancel := context.WithTimeout(context.Background(), 450*time.Millisecond)
							r := b.leader.Do(attempt, c)
							cancel()
							if r.Refused+r.Unknown == "" {
								answered <- r
								return
							}
						}
					}()
					return answered
				}
				submitted := send(submitCall(jobID1), max(0, -offset))
				cancelled := <-send(cancelCall(jobID1), max(0, offset))
				known := b.startCount(jobID1, 0)
				submission := <-submitted
				time.Sleep(5 * time.Second)
				name := fmt.Sprintf("offset %v, delay %v: %v, then %v", offset, delay, cancelled.Verdict, submission.Verdict)
				assert.Equal(t, b.startCount(jobID1, 0), known, name)
				switch cancelled.Verdict {
				case cell.NoJob:
					assert.Equal(t, submission.Verdict, cell.Withdrawn, name)
				default:
					assert.Equal(t, cancelled.Verdict, cell.Accepted, name)
					assert.Equal(t, b.state(queuePath, jobID1), cell.Cancelled, name)
				}
			})
		}
	}
}
