package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
)

// randomCommand applies a random command; most of them are accepted.
func randomCommand(t *rapid.T, f *fixture, n int) {
	id := testID(rapid.IntRange(1, 8).Draw(t, "id"))
	attempt := rapid.Uint64Range(1, 12).Draw(t, "attempt")
	switch rapid.IntRange(0, 11).Draw(t, "command") {
	case 0:
		f.do(&statev1.SubmitJob{JobId: id, Payload: []byte("p"), Spec: &statev1.WorkSpec{Team: "a", Tasks: 2, Idempotent: attempt%2 == 0, Size: &apiv1.Resources{MilliCpu: 500}}})
	case 1, 2:
		f.do(&statev1.Plan{Placements: []*statev1.Placement{{JobId: id, Task: int32(attempt % 2), WorkerId: "w", Incarnation: 1}}})
	case 3:
		f.do(&statev1.EndAttempt{AttemptId: attempt, WorkerId: "w", Incarnation: 1, JobId: id, Outcome: apiv1.Outcome(rapid.IntRange(1, 5).Draw(t, "outcome"))})
	case 4:
		f.lose()
	case 5:
		f.register(uint64(n+2), &apiv1.RunningAttempt{AttemptId: attempt, Size: &apiv1.Resources{MilliCpu: 100}})
	case 6:
		f.do(&statev1.RecordRequest{RequestId: id, Team: "a", Owner: fmt.Sprint(attempt), DeadlineMs: 1000})
	case 7:
		f.do(&statev1.EndRequest{RequestId: id, Owner: fmt.Sprint(attempt), Outcome: apiv1.Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))})
	case 8:
		f.do(&statev1.AdvanceTime{UnixMs: f.store.LogTime() + rapid.SampledFrom([]int64{500, 60_000, 50_000_000}).Draw(t, "ms")})
	case 9:
		f.do(&statev1.GiveAllotment{Team: "a", Transfer: attempt, Amount: &apiv1.Resources{MilliCpu: 10}})
	case 10:
		f.do(&statev1.CancelJob{JobId: id})
	case 11:
		f.do(&statev1.ShedAttempts{Attempts: []*statev1.ShedAttempt{{AttemptId: attempt, Means: statev1.ShedAttempt_STOP, Reason: "r"}}})
	}
}

// Guards against a snapshot that loses part of the state, against a replica that was
// restored from a snapshot and then diverges from one that applied every command, and
// against kept sums that differ from the values that they are the sums of.
func TestSnapshotRoundTripKeepsStateAndSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, nil)
		g := &fixture{t: t, store: New(noopObserver{})}
		restore := func() {
			b, err := f.store.Snapshot()
			assert.NilError(t, err)
			g.store = New(noopObserver{})
			assert.NilError(t, g.store.Restore(f.index, b))
			g.index = f.index
		}
		restore()
		f.mirror = g
		for n := range rapid.IntRange(1, 60).Draw(t, "commands") {
			randomCommand(t, f, n)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				restore()
			}
			assert.DeepEqual(t, f.store.data, g.store.data)
			checkSums(t, f.store)
		}
	})
}

// checkSums compares the sums kept for worker w and team a with their attempts and
// waiting tasks.
func checkSums(t *rapid.T, s *Store) {
	w := s.data.Workers["w"]
	if w == nil {
		return
	}
	committed, running, tasks := int64(0), int64(0), 0
	for _, a := range s.data.Attempts {
		committed += a.Size.MilliCPU
		running += a.Size.MilliCPU
		tasks++
	}
	for _, size := range w.Charged {
		committed += size.MilliCPU
	}
	team := s.data.Teams["a"]
	waiting := 0
	for _, j := range s.data.Jobs {
		for i := range j.Tasks {
			if j.Tasks[i].State == 0 {
				waiting++
			}
		}
	}
	if w.Committed.MilliCPU != committed || team.Running.MilliCPU != running || team.RunningTasks != tasks || team.WaitingTasks != waiting {
		t.Fatalf("sums must match: worker %+v team %+v, %d waiting", w, team, waiting)
	}
}
