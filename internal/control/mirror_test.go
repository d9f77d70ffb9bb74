package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/structs"
)

// mirrorView is the part of a mirror that must equal the state.
type mirrorView struct {
	Committed, Free  map[string]structs.Resources
	Usable           map[string]bool
	InUse            map[string]structs.Resources
	Waiting          map[string]int
	Jobs, Running    int
	AdmissionWaiting int
}

func (l *testLeader) view(m *mirror) mirrorView {
	v := mirrorView{
		Committed: map[string]structs.Resources{}, Free: map[string]structs.Resources{}, Usable: map[string]bool{},
		InUse: map[string]structs.Resources{}, Waiting: map[string]int{},
		Jobs: m.scheduler.Waiting(), Running: m.scheduler.Running(), AdmissionWaiting: m.admission.Waiting(),
	}
	f := m.scheduler.Fleet()
	for _, id := range l.group.Store.WorkerIDs() {
		slot, _ := f.Lookup(id)
		v.Committed[id], v.Free[id], v.Usable[id] = f.Committed(slot), f.Free(slot), f.Usable(slot)
	}
	for _, t := range l.group.Store.Teams() {
		v.InUse[t.Name] = m.scheduler.Team(t.Name).InUse
	}
	for _, id := range l.group.Store.OpenJobs() {
		v.Waiting[id] = m.scheduler.WaitingTasks(id)
	}
	return v
}

// checkMirror compares the mirror with a new one built from the whole state, and with the
// state itself.
func (l *testLeader) checkMirror(t assert.TestingT) {
	shares := func() map[string]float64 { return nil }
	m := l.group.mirror
	m.sync(l.log.since, shares)
	fresh := newMirror(l.group, scheduler.DefaultOptions(), l.clock.Now)
	fresh.sync(l.log.since, shares)
	got := l.view(m)
	assert.DeepEqual(t, got, l.view(fresh))
	for id, committed := range got.Committed {
		w, _ := l.group.Store.Worker(id)
		assert.Equal(t, committed, w.Committed, "worker %s", id)
	}
	for _, team := range l.group.Store.Teams() {
		assert.Equal(t, got.InUse[team.Name], team.Running, "team %s", team.Name)
	}
}

// TestMirrorEqualsState guards against a mirror that differs from the state, so that
// work is never placed or is placed where there is no room. It runs arbitrary sequences
// of submissions, ends, losses, restarts, changes of documents and of the leader, and
// proposals whose outcome is unknown.
func TestMirrorEqualsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLeader(t)
		l.log.outcome = func() int {
			if rapid.IntRange(0, 9).Draw(t, "unknown") > 0 {
				return outcomeApplied
			}
			return rapid.IntRange(1, outcomeCount-1).Draw(t, "fate")
		}
		for i := range 3 {
			l.addWorker(fmt.Sprintf("w%d", i), cores(8))
		}
		l.allot("a", cores(20))
		l.allot("b", cores(6))
		jobs := 0
		worker := func(t *rapid.T) *testWorker {
			return l.workers[fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "worker"))]
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				jobs++
				spec := batchSpec(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), cores(int64(rapid.IntRange(1, 4).Draw(t, "cores"))))
				spec.Tasks = rapid.IntRange(1, 3).Draw(t, "tasks")
				spec.MayPreempt = rapid.Bool().Draw(t, "preempt")
				if spec.Tasks > 1 && rapid.Bool().Draw(t, "gang") {
					spec.Class = structs.ClassGang
				}
				_, _ = l.submit(&statev1.SubmitJob{
					JobId: l.jobID(jobs), Spec: spec.Proto(), Urgent: rapid.Bool().Draw(t, "urgent"),
					DeadlineMs: int64(rapid.SampledFrom([]int{0, 400}).Draw(t, "deadline")),
				})
			},
			"turn":      func(*rapid.T) { l.runRound() },
			"schedule":  func(*rapid.T) { l.schedule() },
			"heartbeat": func(t *rapid.T) { l.heartbeat(worker(t)) },
			"end": func(t *rapid.T) {
				outcome := rapid.SampledFrom([]apiv1.Outcome{apiv1.Outcome_OUTCOME_OK, apiv1.Outcome_OUTCOME_FAILED, apiv1.Outcome_OUTCOME_CANCELLED}).Draw(t, "outcome")
				worker(t).endAll(outcome)
			},
			"restart": func(t *rapid.T) {
				w := worker(t)
				w.incarnation++
				if rapid.Bool().Draw(t, "clean") {
					w.running = map[uint64]*apiv1.Assignment{}
				}
				l.heartbeat(w)
			},
			"resize": func(t *rapid.T) {
				w := worker(t)
				w.capacity = cores(int64(rapid.IntRange(1, 12).Draw(t, "capacity")))
				l.heartbeat(w)
			},
			"lose": func(t *rapid.T) {
				l.advance(5 * time.Second)
				l.heartbeat(worker(t))
				l.server.expireOnce(context.Background(), l.group, l.log.since)
			},
			"cancel": func(t *rapid.T) {
				if open := l.group.Store.OpenJobs(); len(open) > 0 {
					_, _ = l.dc.CancelJob(context.Background(), &apiv1.CancelJobRequest{JobId: rapid.SampledFrom(open).Draw(t, "job")})
				}
			},
			"service": func(t *rapid.T) {
				l.putDocument(serviceSpec(rapid.IntRange(0, 3).Draw(t, "instances"), cores(int64(rapid.IntRange(1, 3).Draw(t, "cores")))))
				l.server.runServicesOnce(context.Background(), l.group)
			},
			"allot": func(t *rapid.T) { l.allot("b", cores(1)) },
			"lead":  func(*rapid.T) { l.startLeadership() },
			"forget": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
					l.advance(25 * time.Hour)
				}
			},
			"": func(t *rapid.T) {
				// Skip some checks, so that several changes are mirrored at once.
				if rapid.IntRange(0, 2).Draw(t, "check") == 0 {
					l.checkMirror(t)
				}
			},
		})
	})
}

// TestLostAttemptIsCharged guards against placing work repeatedly on a worker that still
// runs an attempt that was declared lost.
func TestLostAttemptIsCharged(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(8))
	l.allot("a", cores(100))
	l.mustSubmit(1, batchSpec("a", cores(8)))
	l.runRound()
	assert.Equal(t, len(w.running), 1)
	w.incarnation++
	l.heartbeat(w)
	l.schedule()
	l.checkMirror(t)
	l.addWorker("w1", cores(8))
	l.runRounds(6 * time.Second)
	assert.Equal(t, len(l.workers["w1"].running), 1)
}

// TestMirrorRemovesDeletedJob guards against a mirror that keeps the tasks of a job that
// ended and was removed from the state between two syncs.
func TestMirrorRemovesDeletedJob(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(8))
	l.allot("a", cores(100))
	l.mustSubmit(1, batchSpec("a", cores(8)))
	l.runRound()
	l.schedule()
	w.endAll(apiv1.Outcome_OUTCOME_OK)
	l.heartbeat(w)
	l.advance(25 * time.Hour)
	l.checkMirror(t)
}

// TestMirrorReplacesJobWithSameID guards against a mirror that keeps the attempts of a
// service's job that was removed from the state and set again, with fewer instances,
// between two syncs.
func TestMirrorReplacesJobWithSameID(t *testing.T) {
	l := newLeader(t)
	w := l.addWorker("w0", cores(8))
	l.allot("a", cores(100))
	l.putDocument(serviceSpec(2, cores(1)))
	l.runRound()
	l.runRound()
	assert.Equal(t, len(w.running), 2)
	l.checkMirror(t)
	l.putDocument(serviceSpec(0, cores(1)))
	l.server.runServicesOnce(l.ctx(), l.group)
	w.endAll(apiv1.Outcome_OUTCOME_CANCELLED)
	l.heartbeat(w)
	l.advance(25 * time.Hour)
	_, known := l.group.Store.Job("service/a/s")
	assert.Assert(t, !known)
	l.putDocument(serviceSpec(1, cores(1)))
	l.server.runServicesOnce(l.ctx(), l.group)
	l.checkMirror(t)
}
