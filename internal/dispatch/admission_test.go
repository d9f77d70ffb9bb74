package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/overload"
	"laburnumgrade/internal/structs"
)

// Load: a queue at several times what the workers run, for half a minute. Guards against a
// backlog that grows as long as the load lasts, against accepted jobs that are lost and refused
// ones that run, and against a cell that goes on refusing when the load
// has passed.
func TestBurstIsRefusedBeyondObjective(t *testing.T) {
	const perSecond = 10
	runCell(t, 4, func(b *testCell) {
		submittedAt, refused := map[string]time.Time{}, map[string]bool{}
		send := func(i int) {
			id := fmt.Sprintf("%016x", i)
			r := b.leader.Do(b.t.Context(), jobCall(shortObjectivePath, id, taskStep(4, 4)))
			switch {
			case r.Refused != "":
				assert.Assert(b.t, r.RetryAfterMS > 0)
				refused[id] = true
			default:
				assert.Equal(b.t, r.Verdict, cell.Accepted)
				submittedAt[id] = time.Now()
			}
		}
		for i := range 30 * perSecond {
			send(i)
			time.Sleep(time.Second / perSecond)
			if i%perSecond == 0 {
				b.reportAll()
			}
		}
		assert.Assert(b.t, len(refused) > perSecond && len(submittedAt) > perSecond, "%d refused, %d accepted", len(refused), len(submittedAt))
		for id := range submittedAt { // a submission that is sent again is known
			assert.Equal(b.t, b.leader.Do(b.t.Context(), jobCall(shortObjectivePath, id, taskStep(4, 4))).Verdict, cell.Accepted)
		}
		// Before the cell counts as overloaded it accepts work for 30 s.
		for range 60 {
			time.Sleep(time.Second)
			b.reportAll()
		}
		for id := range submittedAt {
			assert.Equal(b.t, b.state(shortObjectivePath, id), cell.Complete, "an accepted job has not ended")
		}
		for id := range refused {
			assert.Equal(b.t, b.startCount(id, 0), 0, "a refused job has run")
		}
		before := len(refused)
		for i := range 3 {
			send(1000 + i)
			time.Sleep(time.Second)
		}
		assert.Equal(b.t, len(refused), before, "jobs are refused after the load has passed")
	})
}

// Guards against refusals after a change of the leader, while the workers have not answered the
// new one yet and some work waits.
func TestNewLeaderDoesNotRefuseForWantOfAnswers(t *testing.T) {
	runCell(t, 4, func(b *testCell) {
		b.submit(jobID1, taskStep(16, 4))
		b.changeLeader(2)
		for i := range 10 {
			r := b.leader.Do(b.t.Context(), jobCall(queuePath, fmt.Sprintf("%016x", i), taskStep(1, 1)))
			assert.Equal(b.t, r.Refused, "")
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against daemons and scheduled jobs, which have no objective, that are refused while
// the cell is overloaded.
func TestJobWithoutObjectiveIsNotRefused(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		for i := range 100 {
			b.leader.Do(b.t.Context(), jobCall(shortObjectivePath, fmt.Sprintf("%016x", i), taskStep(8, 4)))
		}
		time.Sleep(minJudgedTerm)
		assert.Assert(b.t, b.leader.Do(b.t.Context(), jobCall(shortObjectivePath, jobID1, taskStep(8, 4))).Refused != "")
		daemon := taskStep(1, 1)
		daemon.Daemon = true
		assert.Equal(b.t, b.leader.Do(b.t.Context(), jobCall(shortObjectivePath, jobID1, daemon)).Verdict, cell.Accepted)
	})
}

// Guards against a submission that is refused as not run although an earlier attempt of the
// same call is still being committed.
func TestResendOfPendingSubmissionIsNotRefused(t *testing.T) {
	var log *slowLog
	runCellWith(t, 1, func(c *Config) {
		log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: 3 * time.Millisecond}
		c.Log = log
	}, func(b *testCell) {
		time.Sleep(time.Second)
		b.reportAll()
		call := jobCall(shortObjectivePath, jobID1, taskStep(1, 1))
		log.pause(700 * time.Millisecond)
		attempt, cancel := context.WithTimeout(b.t.Context(), 450*time.Millisecond)
		defer cancel()
		assert.Assert(b.t, b.leader.Do(attempt, call).Unknown != "")
		w := b.leader.currentTerm().load
		w.mu.Lock()
		w.overloaded = true
		w.load.Add("", overload.ClassOf(0, 0), waitingTasks(&cell.Step{Size: structs.Resources{MilliCPU: 1_000_000}}, 1, 1000))
		w.mu.Unlock()
		assert.Assert(b.t, b.leader.Do(b.t.Context(), jobCall(shortObjectivePath, jobID2, taskStep(1, 1))).Refused != "")
		assert.Equal(b.t, b.leader.Do(b.t.Context(), call).Verdict, cell.Accepted)
	})
}

// jobCall is the submission of a job with one step to a queue.
func jobCall(path, id string, step cell.Step) *cellapi.Call {
	return &cellapi.Call{Submit: &cell.Submit{Request: cell.Request{Host: "h", Path: path + id}, Job: cell.Submission{Spec: "s", Steps: []cell.Step{step}}}}
}

// Guards against refusals of work that is not urgent while workers are free, because gangs of its
// priority have waited long for their room.
func TestOnlyWaitsOfMostUrgentQueuesShowDelay(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.do(&cellapi.Call{Configure: &cell.Configuration{
			Version: 2, Services: []cell.Service{{Name: service}},
			Queues: []cell.Queue{
				{Name: "q", Host: "h", Prefix: queuePath, Service: service, TimeoutMS: 1000, ObjectiveMS: 1000, Priority: 1, Public: true},
				{Name: "b", Host: "h", Prefix: shortObjectivePath, Service: service, TimeoutMS: 1000, ObjectiveMS: 1000, Public: true},
			},
		}})
		b.submit(jobID1, taskStep(1, 8)) // the worker has 4 cores
		b.submitTo(shortObjectivePath, jobID2, taskStep(1, 8))
		time.Sleep(time.Second)
		load := b.leader.currentTerm().deriveLoad(b.leader.Clock.Now())
		assert.Equal(b.t, len(load.Waits), 1)
		for c := range load.Waits {
			assert.Equal(b.t, c.Priority, 0)
		}
	})
}
