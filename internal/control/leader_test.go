package control

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// baseUnixMs is the wall clock time, in Unix milliseconds, at time 0 of the test clock.
const baseUnixMs = 1_800_000_000_000

// testingT is what *testing.T and *rapid.T have in common.
type testingT interface {
	assert.TestingT
	Fatal(args ...any)
	Helper()
}

// testLeader is a control process that leads the group of data centre x.
type testLeader struct {
	t       testingT
	clock   *testClock
	log     *testLog
	group   *DataCentreGroup
	server  *Server
	dc      *DataCentreServer
	workers map[string]*testWorker
	grants  map[string]uint64 // number of the last grant by team
	index   uint64            // of the last change of the configuration
}

// testWorker runs the attempts assigned to it until the test ends them.
type testWorker struct {
	id          string
	incarnation uint64
	capacity    structs.Resources
	sequence    uint64
	running     map[uint64]*apiv1.Assignment
	ended       map[uint64]*apiv1.EndedAttempt // not yet acknowledged
}

func cores(n int64) structs.Resources { return structs.Resources{MilliCPU: n * 1000} }

func newLeader(t testingT, dataCentres ...string) *testLeader {
	if len(dataCentres) == 0 {
		dataCentres = []string{"x"}
	}
	l := &testLeader{t: t, clock: &testClock{}, workers: map[string]*testWorker{}, grants: map[string]uint64{}}
	l.group = NewDataCentreGroup("x")
	l.log = &testLog{group: l.group}
	l.group.Log = l.log
	l.server = New(Config{
		Name: "c", DataCentre: "x", Clock: l.clock, Logger: slog.New(slog.DiscardHandler),
		Groups: []*DataCentreGroup{l.group}, DataCentres: dataCentres, Scheduler: scheduler.DefaultOptions(),
	})
	l.server.wallClock = func() time.Time { return time.UnixMilli(baseUnixMs + l.clock.now.Milliseconds()) }
	// The result of a test must not depend on a random number that is not drawn by it.
	l.group.mirror.random = func() float64 { return 0.5 }
	l.dc = &DataCentreServer{l.server}
	l.advance(time.Millisecond)
	return l
}

// apply commits a command directly, without the log's simulated faults.
func (l *testLeader) apply(c *statev1.DataCentreCommand) *state.Result {
	b, err := proto.Marshal(c)
	if err != nil {
		l.t.Fatal(err)
	}
	return l.log.apply(b).(*state.Result)
}

// advance advances the clock and the log time.
func (l *testLeader) advance(d time.Duration) {
	l.clock.now += d
	l.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{UnixMs: l.server.wallClock().UnixMilli()}}})
}

// allot adds the amount to the team's allotment.
func (l *testLeader) allot(team string, amount structs.Resources) {
	l.grants[team]++
	l.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_TakeAllotment{TakeAllotment: &statev1.TakeAllotment{
		Team: team, Grant: l.grants[team], Amount: amount.Proto(),
	}}})
}

func (l *testLeader) addWorker(id string, capacity structs.Resources) *testWorker {
	w := &testWorker{id: id, incarnation: 1, capacity: capacity, running: map[uint64]*apiv1.Assignment{}, ended: map[uint64]*apiv1.EndedAttempt{}}
	l.workers[id] = w
	l.heartbeat(w)
	return w
}

// report returns the worker's next heartbeat.
func (l *testLeader) report(w *testWorker) *apiv1.HeartbeatRequest {
	w.sequence++
	r := &apiv1.HeartbeatRequest{WorkerId: w.id, Incarnation: w.incarnation, DataCentre: "x", Rack: "r", Capacity: w.capacity.Proto(), Sequence: w.sequence}
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		r.Running = append(r.Running, id)
		r.Attempts = append(r.Attempts, &apiv1.RunningAttempt{AttemptId: id, Size: w.running[id].Size})
	}
	for _, id := range slices.Sorted(maps.Keys(w.ended)) {
		r.Ended = append(r.Ended, w.ended[id])
	}
	return r
}

// heartbeat sends the worker's next heartbeat and carries out the reply. If the call
// fails, the worker is unchanged.
func (l *testLeader) heartbeat(w *testWorker) {
	reply, err := l.dc.Heartbeat(context.Background(), l.report(w))
	if err != nil {
		return
	}
	for _, id := range reply.Acknowledged {
		delete(w.ended, id)
	}
	for _, a := range reply.Start {
		w.running[a.AttemptId] = a
	}
	for _, id := range reply.Stop {
		w.end(id, apiv1.Outcome_OUTCOME_CANCELLED)
	}
}

// end ends an attempt; the worker reports it from its next heartbeat on until it is
// acknowledged.
func (w *testWorker) end(id uint64, outcome apiv1.Outcome) {
	e := &apiv1.EndedAttempt{AttemptId: id, Outcome: outcome, NeverStarted: true}
	if a := w.running[id]; a != nil {
		e.NeverStarted = false
		e.JobId, e.Task = a.JobId, a.Task
	}
	delete(w.running, id)
	w.ended[id] = e
}

func (w *testWorker) endAll(outcome apiv1.Outcome) {
	for id := range w.running {
		w.end(id, outcome)
	}
}

func (l *testLeader) heartbeats() {
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		l.heartbeat(l.workers[id])
	}
}

func (l *testLeader) schedule() {
	l.server.scheduleOnce(context.Background(), l.group, l.log.since)
}

// runRound runs each of the periodic tasks of the process once, and all heartbeats.
func (l *testLeader) runRound() {
	l.advance(300 * time.Millisecond)
	l.server.runServicesOnce(context.Background(), l.group)
	l.schedule()
	l.heartbeats()
	l.server.expireOnce(context.Background(), l.group, l.log.since)
}

func (l *testLeader) ctx() context.Context { return context.Background() }

// startLeadership starts a new leadership, after all delayed proposals have been applied.
func (l *testLeader) startLeadership() {
	l.log.commitAll()
	l.advance(time.Millisecond)
	l.log.since = l.clock.now
}

// jobID returns a UUIDv7 with the current time of the test clock.
func (l *testLeader) jobID(n int) string {
	ms := baseUnixMs + l.clock.now.Milliseconds()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

func batchSpec(team string, size structs.Resources) structs.WorkSpec {
	return structs.WorkSpec{
		Team: team, Service: "s", Class: structs.ClassBatch, Size: size, Tasks: 1, Idempotent: true, WaitWhenFull: true, RunTime: time.Second,
	}
}

// submit submits a job. The queue is open to all unless the test has put a document.
func (l *testLeader) submit(job *statev1.SubmitJob) (*peerv1.SubmitJobReply, error) {
	config := l.server.follower.Store()
	if team, service := job.Spec.GetTeam(), job.Spec.GetService(); config.Document(team, service) == nil {
		index := config.Index() + 1
		config.ApplyChanges(index, []*statev1.FleetChange{{Index: index, Document: &statev1.Document{
			Team: team, Service: service, Spec: &statev1.WorkSpec{Team: team, Service: service, OpenQueue: true},
		}}}, nil)
	}
	return l.dc.SubmitJob(context.Background(), &peerv1.SubmitJobCommand{DataCentre: "x", Job: job})
}

func (l *testLeader) mustSubmit(n int, spec structs.WorkSpec) string {
	l.t.Helper()
	id := l.jobID(n)
	reply, err := l.submit(&statev1.SubmitJob{JobId: id, Spec: spec.Proto()})
	assert.NilError(l.t, err)
	assert.Equal(l.t, reply.Refusal, "")
	return id
}

func (l *testLeader) job(id string) structs.Job {
	j, _ := l.group.Store.Job(id)
	return j
}

// TestAdmissionOfImpossibleWork guards against accepting work that does not fit on any
// worker, and against a refusal without the reason.
func TestAdmissionOfImpossibleWork(t *testing.T) {
	l := newLeader(t)
	reply, err := l.submit(&statev1.SubmitJob{JobId: l.jobID(1), Spec: batchSpec("a", cores(96)).Proto()})
	assert.NilError(t, err)
	assert.Equal(t, reply.Refusal, "", "no worker is known yet")
	l.addWorker("w1", structs.Resources{MilliCPU: 64_000, MemoryBytes: 32 << 30})
	l.addWorker("w2", structs.Resources{MilliCPU: 16_000, MemoryBytes: 128 << 30, Accelerators: 2})
	l.schedule()
	for i, c := range []struct {
		size structs.Resources
		want string
	}{
		{cores(96), "needs 96 cores; the largest worker has 64"},
		{structs.Resources{MemoryBytes: 256 << 30}, "needs 256 GiB of memory; the largest worker has 128 GiB"},
		{structs.Resources{Accelerators: 4}, "needs 4 accelerators; the largest worker has 2"},
		{structs.Resources{MilliCPU: 32_000, Accelerators: 1}, "needs 32 cores, 0 GiB of memory and 1 accelerators on one worker; no worker has all of them"},
	} {
		id := l.jobID(10 + i)
		reply, err := l.submit(&statev1.SubmitJob{JobId: id, Spec: batchSpec("a", c.size).Proto()})
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal, c.want)
		_, known := l.group.Store.Job(id)
		assert.Assert(t, !known)
	}
}

// TestResendIsNotRefused guards against "not run" as the reply to a resent submission of
// a job that was accepted, or whose first submission is committed late.
func TestResendIsNotRefused(t *testing.T) {
	for _, first := range []int{outcomeApplied, unknownApplied, unknownDelayed} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			l := newLeader(t)
			l.addWorker("w1", cores(8))
			l.schedule()
			job := &statev1.SubmitJob{JobId: l.jobID(1), Spec: batchSpec("a", cores(8)).Proto()}
			l.log.outcome = func() int { return first }
			_, _ = l.submit(job)
			l.log.outcome = nil
			// Shrink the worker only in the mirror: a command would commit the delayed
			// submission.
			l.group.mirror.scheduler.UpsertWorker(placementWorker(&structs.Worker{ID: "w1", Capacity: cores(4)}, false))
			reply, err := l.submit(job)
			assert.NilError(t, err)
			assert.Equal(t, reply.Refusal, "")
			assert.Assert(t, reply.Duplicate)
			other, err := l.submit(&statev1.SubmitJob{JobId: l.jobID(2), Spec: job.Spec})
			assert.NilError(t, err)
			assert.Equal(t, other.Refusal, "needs 8 cores; the largest worker has 4")
		})
	}
}

// TestStartDeadline guards against work that keeps waiting after its deadline without
// being reported, and against "not run" for work that had an attempt.
func TestStartDeadline(t *testing.T) {
	cases := []struct {
		name string
		// before is called after the submission, while the only worker has room for the job.
		before func(l *testLeader)
		want   structs.Outcome
	}{
		{"never placed", func(l *testLeader) { l.workers["w1"].capacity = cores(1); l.heartbeats() }, structs.OutcomeNotRun},
		{"rejection not committed at first", func(l *testLeader) {
			l.workers["w1"].capacity = cores(1)
			l.heartbeats()
			lost := 0
			l.log.outcome = func() int {
				if l.clock.now > 5*time.Second && lost < 3 {
					lost++
					return unknownLost
				}
				return outcomeApplied
			}
		}, structs.OutcomeNotRun},
		{"attempted and lost", func(l *testLeader) {
			l.schedule()
			l.heartbeats()
			w := l.workers["w1"]
			w.incarnation++
			w.capacity = cores(1)
			w.running = map[uint64]*apiv1.Assignment{}
			l.heartbeats()
		}, structs.OutcomeNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t)
			l.addWorker("w1", cores(8))
			l.allot("a", cores(100))
			l.schedule()
			id := l.jobID(1)
			_, err := l.submit(&statev1.SubmitJob{JobId: id, Spec: batchSpec("a", cores(8)).Proto(), DeadlineMs: 5000})
			assert.NilError(t, err)
			c.before(l)
			for range 30 {
				l.runRound()
			}
			j := l.job(id)
			assert.Equal(t, j.Tasks[0].Outcome, c.want, j.Tasks[0].Detail)
			assert.Equal(t, j.Tasks[0].Attempts > 0, c.want == structs.OutcomeNone)
		})
	}
}

// TestLateJobsAreRejectedInOneCommand guards against a command for each job of a burst
// whose deadlines pass together.
func TestLateJobsAreRejectedInOneCommand(t *testing.T) {
	l := newLeader(t)
	l.addWorker("w1", cores(1))
	l.schedule()
	for i := range 500 {
		_, err := l.submit(&statev1.SubmitJob{JobId: l.jobID(i), Spec: batchSpec("a", cores(1)).Proto(), DeadlineMs: 1000})
		assert.NilError(t, err)
	}
	l.schedule()
	l.advance(2 * time.Second)
	before := l.log.index
	l.schedule()
	assert.Equal(t, l.log.index-before, uint64(1))
	assert.Equal(t, len(l.group.Store.OpenJobs()), 0)
}

// TestLostPreemptionIsProposedAgain guards against a preemption decided by the scheduler
// that is never committed because its first proposal was lost.
func TestLostPreemptionIsProposedAgain(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w1", cores(8))
	l.allot("a", cores(100))
	spec := batchSpec("a", cores(8))
	spec.MayPreempt = true
	victim := l.mustSubmit(1, spec)
	l.runRound()
	assert.Equal(t, len(w.running), 1)
	urgent := l.jobID(2)
	_, err := l.submit(&statev1.SubmitJob{JobId: urgent, Spec: batchSpec("a", cores(8)).Proto(), Urgent: true})
	assert.NilError(t, err)
	l.log.outcome = func() int { return unknownLost }
	l.schedule()
	l.log.outcome = nil
	for range 3 {
		l.runRound()
	}
	j := l.job(urgent)
	assert.Equal(t, j.Tasks[0].State, structs.TaskRunning)
	assert.Equal(t, l.job(victim).Tasks[0].State, structs.TaskWaiting)
}

// TestExplain guards against a waiting job for which no reason is shown.
func TestExplain(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w1", cores(8))
	l.allot("a", cores(4))
	big := l.mustSubmit(1, batchSpec("a", cores(8)))
	failed := l.mustSubmit(2, batchSpec("a", cores(1)))
	l.runRound()
	w.endAll(apiv1.Outcome_OUTCOME_FAILED)
	l.heartbeats()
	l.schedule()
	explain := func(id string) *apiv1.ExplainJobResponse {
		e, err := l.dc.ExplainJob(context.Background(), &apiv1.ExplainJobRequest{JobId: id})
		assert.NilError(t, err)
		return e
	}
	assert.Equal(t, explain(big).Reasons[0], `team "a" is at its allotment: needs 8 cores; 0 of 4 are in use`)
	assert.Assert(t, len(explain(failed).Reasons) == 1)
	w.capacity = cores(4)
	l.heartbeats()
	l.schedule()
	assert.Assert(t, explain(big).Impossible)
	_, err := l.dc.ExplainJob(context.Background(), &apiv1.ExplainJobRequest{JobId: l.jobID(9)})
	assert.ErrorContains(t, err, "is not known")
}
