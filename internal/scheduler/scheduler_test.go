package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// Guards against a wrong order of urgent jobs, services and batch jobs, or of short
// and long ones.
func TestOrderByRankAndRunTime(t *testing.T) {
	o := DefaultOptions()
	o.Policy.FairnessWeight = 0
	m := newSimulation(o)
	openTeams(m.s, "a", "b")
	service := batch("a", "service", 1, 0)
	service.Class = structs.ClassService
	for i, j := range []Job{
		{ID: "long", Spec: batch("a", "long", 1, 20*time.Second)},
		{ID: "short", Spec: batch("b", "short", 1, time.Second)},
		{ID: "service", Spec: service},
		{ID: "urgent", Spec: batch("b", "urgent", 1, time.Minute), Urgent: true},
	} {
		j.Submitted = time.Duration(i) * time.Second
		j.Tasks = []int{0}
		m.add(j, time.Minute)
	}
	m.now = 5 * time.Second
	addWorkers(m.s, 1, cores(8))
	m.plan()
	assert.DeepEqual(t, m.order, []string{"urgent", "service", "short", "long"})
}

// Guards against a fairness weight of 1 under which the teams do not get their
// shares, and against a team at its allotment that blocks the others.
func TestSharesAndAllotments(t *testing.T) {
	o := DefaultOptions()
	o.Policy.FairnessWeight = 1
	m := newSimulation(o)
	m.s.SetTeam("a", 3, share.Unlimited)
	m.s.SetTeam("b", 1, share.Unlimited)
	m.s.SetTeam("c", 9, cores(2))
	addWorkers(m.s, 5, cores(4))
	for i := range 100 {
		for _, team := range []string{"a", "b", "c"} {
			m.add(Job{ID: fmt.Sprintf("%s%d", team, i), Spec: batch(team, "s", 1, time.Second), Tasks: []int{0}}, time.Second)
		}
	}
	m.plan()
	use := func(team string) int64 { return m.s.Team(team).InUse.MilliCPU / 1000 }
	assert.Equal(t, use("c"), int64(2))
	assert.Assert(t, use("a") >= 13 && use("a") <= 14, "a uses %d", use("a"))
	assert.Equal(t, use("a")+use("b"), int64(18))
	e := m.s.Explain("c50")
	assert.Equal(t, e.Reasons[0], `team "c" is at its allotment: needs 1 cores; 2 of 2 are in use`)
	assert.Assert(t, !e.Infeasible)
}

// Guards against a gang that is delayed too long by backfill that overruns its
// predicted run time, and against reserved workers left idle although jobs that
// would end in time are waiting.
func TestGangDelayIsBounded(t *testing.T) {
	for _, tc := range []struct {
		name        string
		actual      time.Duration
		preempt     bool
		backfilled  bool
		interrupted int
		started     time.Duration
	}{
		{"ends as predicted", 10 * time.Second, true, true, 0, 100 * time.Second},
		{"overrun is interrupted", time.Hour, true, true, 4, 100*time.Second + DefaultOptions().BackfillGrace},
		{"too long when four times the prediction", 10 * time.Second, false, false, 0, 100 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newSimulation(DefaultOptions())
			openTeams(m.s, "a", "b")
			addWorkers(m.s, 2, cores(8))
			runTime := 100 * time.Second
			for range 3 {
				m.s.document(batch("a", "running", 4, 0)).history.Record(runTime)
			}
			for i := range 2 {
				m.add(Job{ID: fmt.Sprintf("running%d", i), Spec: batch("a", "running", 4, runTime), Tasks: []int{0}}, runTime)
			}
			m.plan()
			m.add(Job{ID: "gang", Spec: gangOf("b", "gang", 8, time.Minute), Tasks: upTo(2)}, time.Second)
			m.plan()
			spec := batch("a", "small", 2, 10*time.Second)
			spec.MayPreempt = tc.preempt
			if !tc.preempt {
				spec.RunTime = 26 * time.Second
			}
			for i := range 4 {
				m.add(Job{ID: fmt.Sprintf("small%d", i), Spec: spec, Tasks: []int{0}}, tc.actual)
			}
			m.plan()
			_, backfilled := m.started["small0"]
			assert.Equal(t, backfilled, tc.backfilled)
			for at := range 240 {
				m.advance(time.Duration(at) * time.Second)
			}
			assert.Equal(t, m.interrupted, tc.interrupted)
			assert.Equal(t, m.started["gang"], tc.started)
		})
	}
}

// Guards against an urgent job that waits although attempts could be interrupted for
// it, against interrupting attempts whose documents do not allow it, and against
// stopping an attempt while another one can checkpoint.
func TestUrgentPreempts(t *testing.T) {
	plain := batch("a", "plain", 4, time.Hour)
	stop := batch("a", "stop", 4, time.Hour)
	stop.MayPreempt = true
	checkpoint := batch("a", "checkpoint", 4, time.Hour)
	checkpoint.MayCheckpoint = true
	for _, tc := range []struct {
		name   string
		specs  []structs.WorkSpec
		want   string
		method PreemptionMethod
	}{
		{"not allowed", []structs.WorkSpec{plain, plain}, "", 0},
		{"stop", []structs.WorkSpec{plain, stop}, "job1", PreemptByStop},
		{"checkpoint first", []structs.WorkSpec{stop, checkpoint}, "job1", PreemptByCheckpoint},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New(DefaultOptions())
			openTeams(s, "a", "b")
			addWorkers(s, 1, cores(8))
			for i, spec := range tc.specs {
				s.AddJob(Job{ID: fmt.Sprintf("job%d", i), Spec: spec, Tasks: []int{0}})
			}
			assert.Equal(t, len(s.Plan(0, 10).Placements), 2)
			s.AddJob(Job{ID: "urgent", Spec: batch("b", "u", 4, time.Second), Urgent: true, Tasks: []int{0}})
			got := s.Plan(time.Second, 10).Preemptions
			if tc.want == "" {
				assert.Equal(t, len(got), 0)
				return
			}
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].JobID, tc.want)
			assert.Equal(t, got[0].Method, tc.method)
			assert.Equal(t, len(s.Plan(2*time.Second, 10).Preemptions), 0)
			s.AttemptEnded(tc.want, 0, 3*time.Second, false)
			s.AddJob(Job{ID: "later", Spec: batch("a", "later", 4, time.Second), Urgent: true, Tasks: []int{0}})
			placed := s.Plan(3*time.Second, 10).Placements
			assert.Equal(t, len(placed), 1)
			assert.Equal(t, placed[0].JobID, "urgent")
		})
	}
}

// Guards against a job that is not rejected when its deadline has passed, and against
// one that is rejected as "not run" after a task of it has started.
func TestDeadline(t *testing.T) {
	s := New(DefaultOptions())
	openTeams(s, "a")
	addWorkers(s, 1, cores(1))
	add := func(id string, tasks int) {
		s.AddJob(Job{ID: id, Spec: batch("a", "s", 1, time.Second), Deadline: 10 * time.Second, Tasks: upTo(tasks)})
	}
	add("two", 2)
	assert.Equal(t, len(s.Plan(0, 10).Placements), 1)
	add("late", 1)
	add("removed", 1)
	s.RemoveJob("removed")
	assert.Equal(t, len(s.Plan(9*time.Second, 10).Rejections), 0)
	got := s.Plan(10*time.Second, 10).Rejections
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].JobID, "late")
	assert.Equal(t, s.Waiting(), 1)
	// The placement was not committed, so the deadline applies again.
	s.AttemptEnded("two", 0, 11*time.Second, false)
	add("two", 2)
	assert.Equal(t, s.Plan(11*time.Second, 10).Rejections[0].JobID, "two")
}

// Guards against a job that waits for room although its document does not allow it
// to wait.
func TestRejectsWhenFull(t *testing.T) {
	s := New(DefaultOptions())
	openTeams(s, "a")
	addWorkers(s, 1, cores(2))
	spec := batch("a", "s", 1, time.Second)
	spec.WaitWhenFull = false
	for i := range 5 {
		s.AddJob(Job{ID: fmt.Sprint(i), Spec: spec, Tasks: []int{0}})
	}
	b := s.Plan(0, 10)
	assert.Equal(t, len(b.Placements), 2)
	assert.Equal(t, len(b.Rejections), 3)
	assert.Equal(t, b.Rejections[0].Reason, "not run: no worker has room now")
}

// Guards against an explanation that does not say that a job can never run, or that
// does not begin with the most limiting reason.
func TestExplain(t *testing.T) {
	s := New(DefaultOptions())
	openTeams(s, "a")
	s.SetTeam("poor", 1, structs.Resources{})
	addWorkers(s, 2, cores(64))
	for _, tc := range []struct {
		name       string
		job        Job
		infeasible bool
		first      string
	}{
		{"processors", Job{Spec: batch("a", "s", 96, 0)}, true, "not run: needs 96 cores; the largest worker has 64"},
		{"gang", Job{Spec: gangOf("poor", "g", 64, 0), Tasks: upTo(3)}, true,
			"not run: needs 3 tasks at once; all workers together hold 2 of this size"},
		{"allotment", Job{Spec: batch("poor", "s", 1, 0)}, false, `team "poor" is at its allotment: needs 1 cores; 0 of 0 are in use`},
		{"room", Job{Spec: batch("a", "s", 64, 0)}, false,
			"0 of 1 tasks have room now; of 1 usable workers 0 have 64 cores free"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.job.ID = tc.name
			if tc.job.Tasks == nil {
				tc.job.Tasks = []int{0}
			}
			s.AddJob(Job{ID: "fill", Spec: batch("a", "fill", 1, time.Hour), Tasks: upTo(2)})
			s.Plan(0, 1)
			s.AddJob(tc.job)
			s.UpsertWorker(placement.Worker{ID: "w01", Capacity: cores(64), Leaving: true})
			s.Plan(time.Second, 100)
			e := s.Explain(tc.name)
			assert.Equal(t, e.Infeasible, tc.infeasible)
			assert.Equal(t, e.Reasons[0], tc.first)
			s.RemoveJob(tc.name)
			s.UpsertWorker(placement.Worker{ID: "w01", Capacity: cores(64)})
		})
	}
	assert.Assert(t, !s.Explain("nothing").Waiting)
}

// Guards against a queue that is corrupt, or a reservation that remains, after many
// jobs were cancelled.
func TestCancelBurst(t *testing.T) {
	s := New(DefaultOptions())
	openTeams(s, "a")
	addWorkers(s, 2, cores(4))
	s.AddJob(Job{ID: "busy", Spec: batch("a", "busy", 2, time.Hour), Tasks: upTo(2)})
	s.Plan(0, 10)
	s.AddJob(Job{ID: "gang", Spec: gangOf("a", "g", 4, time.Hour), Tasks: upTo(2)})
	for i := range 10_000 {
		s.AddJob(Job{ID: fmt.Sprint(i), Spec: batch("a", fmt.Sprint(i%3), 4, time.Hour), Submitted: time.Duration(i + 1), Tasks: []int{0}})
	}
	s.Plan(1, 10)
	assert.Equal(t, len(s.reservations), 1)
	for i := range 10_000 {
		if i%1000 != 500 {
			s.RemoveJob(fmt.Sprint(i))
		}
	}
	s.RemoveJob("gang")
	s.RemoveJob("gang")
	assert.Equal(t, s.Waiting(), 10)
	assert.Equal(t, len(s.reservations), 0)
	s.AttemptEnded("busy", 0, 2, true)
	s.AttemptEnded("busy", 1, 2, true)
	b := s.Plan(2, 10)
	assert.Equal(t, len(b.Placements), 2)
	assert.Equal(t, b.Placements[0].JobID, "500")
}

// Guards against interruptible attempts that are not preempted while a worker is over
// its capacity, or a team over a lowered allotment, and against preempting them twice.
func TestPreemptsAboveCapacityAndAllotment(t *testing.T) {
	s := New(DefaultOptions())
	openTeams(s, "a", "b")
	addWorkers(s, 1, cores(8))
	spec := batch("a", "s", 2, time.Hour)
	spec.MayCheckpoint = true
	s.AddJob(Job{ID: "j", Spec: spec, Tasks: upTo(4)})
	assert.Equal(t, len(s.Plan(0, 10).Placements), 4)
	s.ResizeAttempt("j", 0, cores(3), time.Second)
	assert.Equal(t, len(s.Plan(time.Second, 10).Preemptions), 1)
	s.SetTeam("a", 1, cores(4))
	got := s.Plan(time.Second, 10).Preemptions
	assert.Equal(t, len(got), 2)
	assert.Equal(t, len(s.Plan(time.Second, 10).Preemptions), 0)
}

// Guards against treating a second attempt of a task on the same worker as the first
// one, whose interruption has been proposed.
func TestAttemptsOnOneWorkerAreDistinguished(t *testing.T) {
	s := New(DefaultOptions())
	openTeams(s, "a")
	addWorkers(s, 1, cores(8))
	worker := s.fleet.Worker(0).ID
	in := Attempt{ID: 1, JobID: "j", WorkerID: worker, Spec: batch("a", "s", 1, time.Second), Started: time.Second}
	s.AttemptStarted(in, time.Second)
	s.attempts[taskKey{"j", 0}].stopping = true
	in.ID, in.Started = 2, 2*time.Second
	s.AttemptStarted(in, 2*time.Second)
	a := s.attempts[taskKey{"j", 0}]
	assert.Equal(t, a.started, 2*time.Second)
	assert.Assert(t, !a.stopping)
	assert.Equal(t, s.fleet.Committed(a.slot), a.size)
}

// Guards against a gang that waits for ever for a reserved worker that was removed or
// lost, and against using the slot of a removed worker for the gang's reservation when
// another worker has it.
func TestReservationSurvivesLossOfWorker(t *testing.T) {
	for _, change := range []func(*Scheduler){
		func(s *Scheduler) { s.RemoveWorker("w01") },
		func(s *Scheduler) { s.UpsertWorker(placement.Worker{ID: "w01", Capacity: cores(8), Lost: true}) },
	} {
		m := newSimulation(DefaultOptions())
		openTeams(m.s, "a")
		addWorkers(m.s, 2, cores(8))
		m.add(Job{ID: "busy", Spec: batch("a", "busy", 8, 10*time.Second), Tasks: []int{0}}, 10*time.Second)
		m.plan()
		m.add(Job{ID: "gang", Spec: gangOf("a", "gang", 8, time.Second), Tasks: upTo(2)}, time.Second)
		m.plan()
		assert.Equal(t, len(m.s.reservations), 1)
		change(m.s)
		m.s.UpsertWorker(placement.Worker{ID: "other", Capacity: cores(8)})
		for at := range 60 {
			m.advance(time.Duration(at) * time.Second)
		}
		assert.Equal(t, m.ended["gang"], 2)
		assert.Equal(t, len(m.s.reservations), 0)
	}
}
