package state

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// fixture is a store with team a, worker w and one job.
type fixture struct {
	t     tester
	store *Store
	index uint64
	job   string
	// mirror receives the same commands, if set.
	mirror *fixture
}

func newFixture(t tester, spec *statev1.WorkSpec) *fixture {
	f := &fixture{t: t, store: New(noopObserver{}), job: testID(1)}
	f.do(&statev1.TakeAllotment{Team: "a", Grant: 1, Amount: &apiv1.Resources{MilliCpu: 1_000_000}})
	f.do(&statev1.BeginLeadership{})
	f.register(1)
	if spec != nil {
		spec.Team, spec.Service, spec.Tasks, spec.Size = "a", "s", 1, &apiv1.Resources{MilliCpu: 1000}
		f.do(&statev1.SubmitJob{JobId: f.job, Spec: spec})
	}
	return f
}

// do applies a command. It sets the field of DataCentreCommand that has the
// message's type.
func (f *fixture) do(m proto.Message) *Result {
	f.t.Helper()
	b := f.encode(m)
	if f.mirror != nil {
		f.mirror.do(m)
	}
	f.index++
	return f.store.Apply(f.index, b).(*Result)
}

func (f *fixture) encode(m proto.Message) []byte {
	c := &statev1.DataCentreCommand{}
	fields := c.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		if fields.Get(i).Message() == m.ProtoReflect().Descriptor() {
			c.ProtoReflect().Set(fields.Get(i), protoValue(m))
		}
	}
	b, err := proto.Marshal(c)
	assert.NilError(f.t, err)
	return b
}

func (f *fixture) register(sequence uint64, running ...*apiv1.RunningAttempt) *Result {
	return f.do(&statev1.RegisterWorker{WorkerId: "w", Incarnation: 1, Capacity: &apiv1.Resources{MilliCpu: 2000}, Sequence: sequence, Running: running})
}

// place advances the log time past every backoff delay and places the task.
func (f *fixture) place() PlacementResult {
	f.do(&statev1.AdvanceTime{UnixMs: f.store.LogTime() + 2*maxBackOff.Milliseconds()})
	return f.do(&statev1.Plan{Placements: []*statev1.Placement{{JobId: f.job, WorkerId: "w", Incarnation: 1}}}).Placements[0]
}

func (f *fixture) end(e *statev1.EndAttempt) {
	e.WorkerId, e.Incarnation, e.JobId = "w", 1, f.job
	f.do(e)
}

func (f *fixture) lose() *Result {
	w, _ := f.store.Worker("w")
	return f.do(&statev1.LoseWorker{WorkerId: "w", Incarnation: 1, Registration: w.Registration, Epoch: 1})
}

func (f *fixture) task() structs.Task {
	j, _ := f.store.Job(f.job)
	return j.Tasks[0]
}

// Guards against losing a worker whose lease another leader has renewed. This comes
// about if a leader is paused before it proposes the loss, and loses and regains
// leadership meanwhile.
func TestLoseWorkerOfEarlierLeadershipIsRefused(t *testing.T) {
	f := newFixture(t, &statev1.WorkSpec{Exclusive: true, Idempotent: true})
	attempt := f.place().AttemptID
	f.do(&statev1.BeginLeadership{})
	r := f.lose()
	assert.Assert(t, strings.HasPrefix(r.Refusal, RefusalLeadershipOver), r.Refusal)
	assert.Equal(t, f.task().Attempt, attempt)
}

// Guards against losing a worker a second time by a late duplicate of the command,
// after the worker has registered again and has received work.
func TestLateDuplicateOfLoseWorkerIsRefused(t *testing.T) {
	f := newFixture(t, &statev1.WorkSpec{Exclusive: true, Idempotent: true})
	w, _ := f.store.Worker("w")
	assert.Equal(t, f.lose().Refusal, "")
	f.register(2)
	attempt := f.place().AttemptID
	r := f.do(&statev1.LoseWorker{WorkerId: "w", Incarnation: 1, Registration: w.Registration, Epoch: 1})
	assert.Assert(t, r.Refusal != "")
	assert.Equal(t, f.task().Attempt, attempt)
}

// Guards against an older heartbeat, applied late, that revokes the worker's
// announcement that it is leaving, and against one that revokes an operator's drain.
func TestOlderHeartbeatKeepsLeavingAndDrain(t *testing.T) {
	f := newFixture(t, &statev1.WorkSpec{})
	f.do(&statev1.RegisterWorker{WorkerId: "w", Incarnation: 1, Leaving: true, Sequence: 3, Capacity: &apiv1.Resources{MilliCpu: 2000}})
	f.register(2)
	assert.Assert(t, f.place().Refusal != "")
	f = newFixture(t, &statev1.WorkSpec{})
	f.do(&statev1.SetWorkerState{WorkerId: "w", Incarnation: 1, Leaving: true})
	f.register(2)
	assert.Assert(t, f.place().Refusal != "")
}

// Guards against placing work on resources that a worker still uses for an attempt
// that is no longer open, and against a charge that is never released.
func TestRunningAttemptThatIsNotOpenIsCharged(t *testing.T) {
	f := newFixture(t, &statev1.WorkSpec{})
	f.register(2, &apiv1.RunningAttempt{AttemptId: 77, Size: &apiv1.Resources{MilliCpu: 1500}})
	assert.Assert(t, f.place().Refusal != "")
	assert.DeepEqual(t, f.store.Directives("w", 1, []uint64{77}).Stop, []uint64{77})
	f.end(&statev1.EndAttempt{AttemptId: 77, Outcome: apiv1.Outcome_OUTCOME_CANCELLED})
	assert.Equal(t, f.place().Refusal, "")
	f = newFixture(t, &statev1.WorkSpec{})
	f.register(2, &apiv1.RunningAttempt{AttemptId: 77})
	assert.Assert(t, f.place().Refusal != "")
	assert.Assert(t, !f.store.RegistrationCurrent(&apiv1.HeartbeatRequest{WorkerId: "w", Incarnation: 1, Capacity: &apiv1.Resources{MilliCpu: 2000}}))
	f.register(3)
	assert.Equal(t, f.place().Refusal, "")
}

// Guards against dropping an answer that arrives after its non-idempotent task was
// declared lost, and against accepting the answer of another attempt.
func TestLateAnswerReplacesUnknown(t *testing.T) {
	f := newFixture(t, &statev1.WorkSpec{})
	attempt := f.place().AttemptID
	f.lose()
	assert.Equal(t, f.task().Outcome, structs.OutcomeUnknown)
	f.end(&statev1.EndAttempt{AttemptId: attempt + 1, Outcome: apiv1.Outcome_OUTCOME_OK})
	f.end(&statev1.EndAttempt{AttemptId: attempt, Outcome: apiv1.Outcome_OUTCOME_CANCELLED})
	assert.Equal(t, f.task().Outcome, structs.OutcomeUnknown)
	f.end(&statev1.EndAttempt{AttemptId: attempt, Outcome: apiv1.Outcome_OUTCOME_OK, Answer: []byte("late")})
	assert.Equal(t, f.task().Outcome, structs.OutcomeOK)
	f.end(&statev1.EndAttempt{AttemptId: attempt, Outcome: apiv1.Outcome_OUTCOME_FAILED})
	assert.Equal(t, string(f.task().Answer), "late")
}

// Guards against non-idempotent work that its worker stopped being reported as
// cancelled by the caller, or being run again.
func TestStoppedByWorkerIsUnknown(t *testing.T) {
	f := newFixture(t, &statev1.WorkSpec{})
	f.end(&statev1.EndAttempt{AttemptId: f.place().AttemptID, Outcome: apiv1.Outcome_OUTCOME_CANCELLED})
	assert.Equal(t, f.task().Outcome, structs.OutcomeUnknown)
}

// Guards against retrying a task that fails or is lost without a delay or without a
// limit on its attempts.
func TestRetriesBackOffAndEnd(t *testing.T) {
	f := newFixture(t, &statev1.WorkSpec{Idempotent: true})
	for n := 1; n <= maxFailures; n++ {
		assert.Equal(t, f.task().State, structs.TaskWaiting)
		f.end(&statev1.EndAttempt{AttemptId: f.place().AttemptID, Outcome: apiv1.Outcome_OUTCOME_FAILED})
		r := f.do(&statev1.Plan{Placements: []*statev1.Placement{{JobId: f.job, WorkerId: "w", Incarnation: 1}}})
		assert.Assert(t, r.Placements[0].Refusal != "")
	}
	assert.Equal(t, f.task().Outcome, structs.OutcomeFailed)
	f = newFixture(t, &statev1.WorkSpec{Idempotent: true})
	for n := range uint64(maxAttempts) {
		assert.Equal(t, f.place().Refusal, "")
		f.lose()
		f.register(n + 2)
	}
	assert.Equal(t, f.task().Outcome, structs.OutcomeFailed)
}
