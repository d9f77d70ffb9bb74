package state

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/lease"
)

// Guards against two concurrent runs of an exclusive task, a second start of
// non-idempotent work and an overloaded worker. In the histories leaders pause
// between a check and its effect, messages are delayed, duplicated or reordered,
// proposals have unknown outcomes, and leadership is lost and regained.
func TestTaskLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newLeaseSimulation(t, false).run(t) })
}

// Guards against the same failures, with idempotent tasks only and fewer kinds of
// events, so that rare sequences of lost leases and leaderships occur more often.
func TestTaskLeasesLostAndRegained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newLeaseSimulation(t, true).run(t) })
}

func newLeaseSimulation(t *rapid.T, focused bool) *leaseSimulation {
	w := &leaseSimulation{
		t:          t,
		focused:    focused,
		store:      New(noopObserver{}),
		started:    map[string]int{},
		registered: map[string]*statev1.RegisterWorker{},
	}
	for i := range w.leaders {
		w.leaders[i] = &modelLeader{table: lease.NewTable(lease.WorkerDuration), rate: rapid.SampledFrom([]float64{0.99, 1}).Draw(t, "leader's rate")}
	}
	for i := range 2 {
		w.workers = append(w.workers, newWorker(i, 1, t))
	}
	w.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_TakeAllotment{TakeAllotment: &statev1.TakeAllotment{Team: "a", Grant: 1, Amount: &apiv1.Resources{MilliCpu: 100_000}}}})
	w.now = time.Second
	w.lead(0)
	return w
}

func (w *leaseSimulation) run(t *rapid.T) {
	// step runs a random pending step.
	step := func(t *rapid.T) {
		if len(w.steps) == 0 {
			t.Skip("nothing is under way")
		}
		i := rapid.IntRange(0, len(w.steps)-1).Draw(t, "step")
		s := w.steps[i]
		w.steps = append(w.steps[:i:i], w.steps[i+1:]...)
		s()
	}
	actions := map[string]func(*rapid.T){
		// rapid runs the action without a name to check invariants between the others.
		"":      w.check,
		"step":  step,
		"step2": step,
		// All workers send a heartbeat, which is mostly handled to its end.
		"round": func(t *rapid.T) {
			w.place()
			for _, m := range w.workers {
				w.heartbeat(m)
				w.finishSteps(t)
			}
		},
		// One worker sends no heartbeat for about the duration of its lease.
		"silence": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{3000, 3600, 4000, 4030, 4041, 4050}).Draw(t, "ms")) * time.Millisecond)
			silent := rapid.SampledFrom(w.workers).Draw(t, "silent")
			w.expire(w.leading, silent.id)
			w.finishSteps(t)
			w.place()
			for _, m := range w.workers {
				if m != silent {
					w.heartbeat(m)
					w.finishSteps(t)
				}
			}
		},
		// The leader loses leadership and regains it.
		"regain": func(t *rapid.T) {
			w.lead(1 - w.leading)
			for _, m := range w.workers {
				w.heartbeat(m)
				w.finishSteps(t)
			}
			w.lead(1 - w.leading)
		},
		// One worker sends a heartbeat, which is mostly handled to its end.
		"converse": func(t *rapid.T) {
			w.heartbeat(rapid.SampledFrom(w.workers).Draw(t, "worker"))
			w.finishSteps(t)
		},
		// One worker sends a heartbeat, whose steps remain pending.
		"heartbeat": func(t *rapid.T) { w.heartbeat(rapid.SampledFrom(w.workers).Draw(t, "worker")) },
		"tick":      func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond) },
		// Time advances by about the duration of a lease.
		"pause": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{3990, 4000, 4030, 4050}).Draw(t, "ms")) * time.Millisecond)
		},
		"expire": func(t *rapid.T) {
			w.expire(w.leading, rapid.SampledFrom(w.workers).Draw(t, "worker").id)
			w.finishSteps(t)
		},
		"leader": func(t *rapid.T) { w.lead(rapid.IntRange(0, 1).Draw(t, "leader")) },
		"submit": func(*rapid.T) { w.submit() },
		"place":  func(*rapid.T) { w.place() },
		"finish": func(t *rapid.T) {
			for _, r := range w.runs {
				if r.active {
					w.endRun(r, rapid.SampledFrom([]apiv1.Outcome{apiv1.Outcome_OUTCOME_OK, apiv1.Outcome_OUTCOME_FAILED}).Draw(t, "outcome"))
					return
				}
			}
		},
		"cancel": func(t *rapid.T) {
			if open := w.store.OpenJobs(); len(open) > 0 {
				w.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_CancelJob{CancelJob: &statev1.CancelJob{JobId: rapid.SampledFrom(open).Draw(t, "job")}}})
			}
		},
		// A worker restarts with a new incarnation, and its runs end.
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "worker")
			old := w.workers[i]
			for _, r := range w.runs {
				r.active = r.active && r.worker != old
			}
			w.workers[i] = newWorker(i, old.incarnation+1, t)
		},
		// The capacity of a worker changes.
		"resize": func(t *rapid.T) {
			rapid.SampledFrom(w.workers).Draw(t, "worker").capacity = int64(rapid.IntRange(1, 3).Draw(t, "cores")) * 1000
		},
		// A worker runs an attempt that the store never assigned.
		"rogue": func(t *rapid.T) {
			m := rapid.SampledFrom(w.workers).Draw(t, "worker")
			id := uint64(1_000_000 + len(w.runs))
			m.seen[id] = true
			w.runs = append(w.runs, &modelRun{attempt: id, task: "rogue", worker: m, size: 1000, active: true, rogue: true})
		},
	}
	if w.focused {
		for _, name := range []string{"cancel", "restart", "resize", "rogue", "finish", "pause", "step2"} {
			delete(actions, name)
		}
	}
	t.Repeat(actions)
}
