package state

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// usageSimulation applies commands to a store and checks the committed resources.
type usageSimulation struct {
	t     *rapid.T
	store *Store
	index uint64
}

func (u *usageSimulation) apply(c *statev1.DataCentreCommand) *Result {
	b, err := proto.Marshal(c)
	if err != nil {
		u.t.Fatal(err)
	}
	u.index++
	return u.store.Apply(u.index, b).(*Result)
}

func (u *usageSimulation) register(worker string, capacity structs.Resources) {
	u.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RegisterWorker{RegisterWorker: &statev1.RegisterWorker{
		WorkerId: worker, Incarnation: 1, Capacity: capacity.Proto(), Sequence: u.index + 1,
	}}})
}

// amount draws resources of at most the given value in each dimension.
func amount(t *rapid.T, most int) structs.Resources {
	return structs.Resources{
		MilliCPU: int64(rapid.IntRange(0, most).Draw(t, "cpu")), MemoryBytes: int64(rapid.IntRange(0, most).Draw(t, "memory")),
		Accelerators: int64(rapid.IntRange(0, most).Draw(t, "accelerators")),
	}
}

// committed returns the sums that the store keeps for each worker and team.
func (u *usageSimulation) committed() map[string]structs.Resources {
	sums := map[string]structs.Resources{}
	for id, w := range u.store.data.Workers {
		sums["worker "+id] = w.Committed
	}
	for name, t := range u.store.data.Teams {
		sums["team "+name] = t.Running
	}
	return sums
}

// limits returns the limit of each of the sums returned by committed.
func (u *usageSimulation) limits() map[string]structs.Resources {
	limits := map[string]structs.Resources{}
	for id, w := range u.store.data.Workers {
		limits["worker "+id] = w.Capacity
	}
	for name, t := range u.store.data.Teams {
		limits["team "+name] = t.Allotment
	}
	return limits
}

// checkSums compares the kept sums with the attempts and waiting tasks themselves.
func (u *usageSimulation) checkSums() {
	want := map[string]structs.Resources{}
	for _, a := range u.store.data.Attempts {
		want["worker "+a.WorkerID] = want["worker "+a.WorkerID].Add(a.Size)
		want["team "+a.Team] = want["team "+a.Team].Add(a.Size)
		if !DeclaredSize(a).Fits(a.Size) {
			u.t.Fatalf("attempt %d has %v committed, its declaration is %v", a.ID, a.Size, a.Declared)
		}
	}
	for key, sum := range u.committed() {
		if sum != want[key] {
			u.t.Fatalf("%s has %v committed, its attempts add up to %v", key, sum, want[key])
		}
	}
	waiting := map[string]structs.Resources{}
	for _, j := range u.store.data.Jobs {
		for i := range j.Tasks {
			if j.Tasks[i].State == structs.TaskWaiting {
				waiting[j.Spec.Team] = waiting[j.Spec.Team].Add(j.Spec.Size)
			}
		}
	}
	for name, t := range u.store.data.Teams {
		if t.Waiting != waiting[name] {
			u.t.Fatalf("team %s has %v waiting, its tasks add up to %v", name, t.Waiting, waiting[name])
		}
	}
}

// TestResizeKeepsLimits guards against committing more than a worker's capacity or
// a team's allotment, or less than the declared size, when attempts are resized to
// any reported usage, and against not releasing the resized amount in full.
func TestResizeKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &usageSimulation{t: t, store: New(noopObserver{})}
		for i := range 2 {
			u.register(fmt.Sprintf("w%d", i), structs.Resources{MilliCPU: 20, MemoryBytes: 20, Accelerators: 20})
		}
		for i, team := range []string{"a", "b"} {
			size := int64(30 - 15*i)
			u.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_TakeAllotment{TakeAllotment: &statev1.TakeAllotment{
				Team: team, Grant: 1, Amount: structs.Resources{MilliCPU: size, MemoryBytes: size, Accelerators: size}.Proto(),
			}}})
		}
		jobs := 0
		attempt := func(t *rapid.T) *structs.Attempt {
			id := uint64(rapid.IntRange(1, int(max(u.store.data.NextAttempt, 1))).Draw(t, "attempt"))
			if a := u.store.data.Attempts[id]; a != nil {
				return a
			}
			return &structs.Attempt{ID: id, WorkerID: "w0", Incarnation: 1}
		}
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				jobs++
				id := fmt.Sprintf("00000000-0000-7000-8000-%012x", jobs)
				spec := structs.WorkSpec{
					Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Class: structs.ClassBatch, Size: amount(t, 6), Tasks: 1,
					Idempotent: rapid.Bool().Draw(t, "idempotent"), MayThrottle: rapid.Bool().Draw(t, "throttle"),
					MayCheckpoint: rapid.Bool().Draw(t, "checkpoint"), MayPreempt: rapid.Bool().Draw(t, "preempt"),
				}
				u.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SubmitJob{SubmitJob: &statev1.SubmitJob{JobId: id, Spec: spec.Proto()}}})
				u.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_Plan{Plan: &statev1.Plan{Placements: []*statev1.Placement{{
					JobId: id, WorkerId: fmt.Sprintf("w%d", rapid.IntRange(0, 1).Draw(t, "worker")), Incarnation: 1,
				}}}}})
			},
			"usage": func(t *rapid.T) {
				a, usage, size := attempt(t), amount(t, 30), amount(t, 30)
				before, limits := u.committed(), u.limits()
				u.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ResizeAttempts{ResizeAttempts: &statev1.ResizeAttempts{Attempts: []*statev1.AttemptUsage{{
					AttemptId: a.ID, WorkerId: a.WorkerID, Incarnation: a.Incarnation, Usage: usage.Proto(), Size: size.Proto(),
				}}}}})
				for key, sum := range u.committed() {
					if !sum.Fits(limits[key].Max(before[key])) {
						t.Fatalf("%s has %v committed of %v; before it was %v", key, sum, limits[key], before[key])
					}
				}
				if open := u.store.data.Attempts[a.ID]; open != nil && !usage.Fits(open.Size) {
					u.checkShed(open)
				}
			},
			"end": func(t *rapid.T) {
				a := attempt(t)
				u.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_EndAttempt{EndAttempt: &statev1.EndAttempt{
					AttemptId: a.ID, WorkerId: a.WorkerID, Incarnation: a.Incarnation, Checkpointed: rapid.Bool().Draw(t, "checkpointed"),
					Outcome: rapid.SampledFrom([]apiv1.Outcome{apiv1.Outcome_OUTCOME_OK, apiv1.Outcome_OUTCOME_CANCELLED}).Draw(t, "outcome"),
				}}})
			},
			"capacity": func(t *rapid.T) {
				u.register(fmt.Sprintf("w%d", rapid.IntRange(0, 1).Draw(t, "worker")), amount(t, 25).Max(structs.Resources{MilliCPU: 5, MemoryBytes: 5, Accelerators: 5}))
			},
			"": func(*rapid.T) { u.checkSums() },
		})
	})
}

// checkShed checks that the mildest measure that the document allows was selected.
func (u *usageSimulation) checkShed(a *structs.Attempt) {
	spec := u.store.data.Jobs[a.JobID].Spec
	want := [3]bool{spec.MayThrottle, !spec.MayThrottle && spec.MayCheckpoint, !spec.MayThrottle && !spec.MayCheckpoint && spec.MayPreempt}
	if got := [3]bool{a.Throttled, a.Checkpointing, a.Stopping}; got != want {
		u.t.Fatalf("attempt %d is throttled, checkpointed, stopped %v, its document allows %v", a.ID, got, want)
	}
}
