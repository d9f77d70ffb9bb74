package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/structs"
)

// checkLimits fails if more is committed to a worker than its capacity, a team uses
// more than its allotment, a task was placed twice, or part of a gang was placed.
func checkLimits(t *rapid.T, s *Scheduler, allotments map[string]structs.Resources, placed []Placement, gangs map[string]int) {
	onWorker := map[string]structs.Resources{}
	byTeam := map[string]structs.Resources{}
	for _, a := range s.attempts {
		onWorker[s.fleet.Worker(a.slot).ID] = onWorker[s.fleet.Worker(a.slot).ID].Add(a.size)
		byTeam[a.bucket.key.team] = byTeam[a.bucket.key.team].Add(a.size)
	}
	for id, use := range onWorker {
		slot, known := s.fleet.Lookup(id)
		if known && !use.Fits(s.fleet.Worker(slot).Capacity) {
			t.Fatalf("worker %s has %+v committed of %+v", id, use, s.fleet.Worker(slot).Capacity)
		}
	}
	for name, use := range byTeam {
		if !use.Fits(allotments[name]) {
			t.Fatalf("team %s uses %+v of %+v", name, use, allotments[name])
		}
	}
	tasks := map[string]int{}
	seen := map[Placement]bool{}
	for _, p := range placed {
		tasks[p.JobID]++
		p.WorkerID = ""
		if seen[p] {
			t.Fatalf("task %d of %s was placed twice", p.Task, p.JobID)
		}
		seen[p] = true
	}
	for id, n := range tasks {
		if want, isGang := gangs[id]; isGang && n != want {
			t.Fatalf("%d of %d tasks of gang %s were placed", n, want, id)
		}
	}
}

// Guards against overcommitted workers, teams above their allotment, placement of
// part of a gang, and updates that are not idempotent, for random sequences of
// updates, some of them repeated or outdated.
func TestNeverExceedsCapacityOrAllotment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(DefaultOptions())
		allotments := map[string]structs.Resources{}
		for _, name := range []string{"a", "b", "c"} {
			allotments[name] = cores(rapid.Int64Range(0, 40).Draw(t, "allotment"))
			s.SetTeam(name, 1, allotments[name])
		}
		capacity := cores(16)
		gangs := map[string]int{}
		var open []Placement
		jobs := map[string]Job{}
		ended := map[string]bool{}
		now := time.Duration(0)
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				id := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "worker"))
				s.UpsertWorker(placement.Worker{ID: id, Rack: id, Capacity: capacity, Lost: rapid.IntRange(0, 5).Draw(t, "lost") == 0})
			case 1:
				s.RemoveWorker(fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "worker")))
			case 2:
				if len(open) > 0 {
					p := open[0]
					open = open[1:]
					ended[p.JobID] = true
					completed := rapid.Bool().Draw(t, "completed")
					s.AttemptEnded(p.JobID, p.Task, now, completed)
					s.AttemptEnded(p.JobID, p.Task, now, completed)
					j := jobs[p.JobID]
					if _, isGang := gangs[j.ID]; !completed && !isGang {
						j.Tasks = []int{p.Task}
						s.AddJob(j)
						s.AddJob(j)
					}
				}
			case 3, 4, 5:
				n := rapid.IntRange(1, 6).Draw(t, "tasks")
				spec := batch(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), "s",
					rapid.Int64Range(1, 16).Draw(t, "size"), time.Second)
				spec.Class = rapid.SampledFrom([]structs.Class{structs.ClassBatch, structs.ClassGang, structs.ClassService}).Draw(t, "class")
				spec.MayPreempt = rapid.Bool().Draw(t, "mayPreempt")
				j := Job{ID: fmt.Sprintf("j%d", i), Spec: spec, Submitted: now, Tasks: upTo(n),
					Urgent: rapid.IntRange(0, 4).Draw(t, "urgent") == 0}
				if spec.Class == structs.ClassGang {
					gangs[j.ID] = n
				}
				jobs[j.ID] = j
				s.AddJob(j)
				s.AddJob(j)
			default:
				b := s.Plan(now, rapid.IntRange(1, 50).Draw(t, "max"))
				checkLimits(t, s, allotments, b.Placements, gangs)
				for _, p := range b.Placements {
					s.AttemptStarted(Attempt{JobID: p.JobID, Task: p.Task, WorkerID: p.WorkerID, Incarnation: p.Incarnation,
						Spec: jobs[p.JobID].Spec, Urgent: jobs[p.JobID].Urgent, Started: now}, now)
					if !ended[p.JobID] {
						s.AddJob(jobs[p.JobID]) // as mirrored from a state before the commit
					}
				}
				checkLimits(t, s, allotments, b.Placements, gangs)
				open = append(open, b.Placements...)
			}
		}
		for _, p := range open {
			s.AttemptEnded(p.JobID, p.Task, now, true)
		}
		for name := range allotments {
			if !s.Team(name).InUse.IsZero() {
				t.Fatalf("team %s uses %+v after all attempts ended", name, s.Team(name).InUse)
			}
		}
	})
}

// Guards against a deadlock of gangs that each hold some of the workers and wait for
// the rest: every gang that fits into the empty fleet must run.
func TestGangsNeverDeadlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(DefaultOptions())
		openTeams(m.s, "a", "b")
		workers := rapid.IntRange(2, 6).Draw(t, "workers")
		addWorkers(m.s, workers, cores(8))
		gangs := rapid.IntRange(2, 5).Draw(t, "gangs")
		want := map[string]int{}
		for i := range gangs {
			size := rapid.Int64Range(3, 8).Draw(t, "size")
			most := workers * int(8/size)
			n := rapid.IntRange((most+1)/2, most).Draw(t, "tasks")
			spec := gangOf(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), fmt.Sprintf("s%d", i), size, 10*time.Second)
			id := fmt.Sprintf("g%d", i)
			want[id] = n
			m.add(Job{ID: id, Spec: spec, Tasks: upTo(n)}, time.Duration(rapid.IntRange(1, 60).Draw(t, "actual"))*time.Second)
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "others") {
			m.add(Job{ID: fmt.Sprintf("b%d", i), Spec: batch("a", "other", 2, 5*time.Second), Tasks: upTo(2)}, 20*time.Second)
		}
		m.plan()
		m.advance(20 * time.Minute)
		for id, n := range want {
			if m.ended[id] != n {
				t.Fatalf("gang %s ended %d of %d tasks", id, m.ended[id], n)
			}
		}
	})
}

// Guards against starvation by the order of jobs: at least one of StarvedEvery
// successive placements is for a starved job. So before the n-th starved job is
// placed, at most n x (StarvedEvery-1) younger jobs are.
func TestStarvationBoundInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		o.Policy.MaxBypass = 60 * time.Second
		o.Policy.StarvedEvery = rapid.IntRange(1, 5).Draw(t, "starvedEvery")
		o.Policy.FairnessWeight = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "weight")
		m := newSimulation(o)
		openTeams(m.s, "flood", "other")
		addWorkers(m.s, 1, cores(4))
		old := rapid.IntRange(1, 5).Draw(t, "old")
		for i := range 4 {
			m.add(Job{ID: fmt.Sprintf("first%d", i), Spec: batch("other", "first", 1, 30*time.Second), Tasks: []int{0}}, 65*time.Second)
		}
		m.plan()
		for i := range old {
			team := fmt.Sprintf("victim%d", i)
			openTeams(m.s, team)
			m.add(Job{ID: fmt.Sprintf("old%d", i), Spec: batch(team, "long", 1, time.Hour), Tasks: []int{0}}, time.Second)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range 400 {
			spec := batch("flood", "short", 1, time.Second)
			spec.Class = []structs.Class{structs.ClassBatch, structs.ClassService}[random.IntN(2)]
			m.add(Job{ID: fmt.Sprintf("young%d", i), Spec: spec, Submitted: time.Second, Tasks: []int{0}},
				time.Duration(1+random.IntN(9))*time.Second)
		}
		m.advance(60 * time.Second)
		base := len(m.order)
		m.advance(10 * time.Minute)
		for i := range old {
			if _, placed := m.started[fmt.Sprintf("old%d", i)]; !placed {
				t.Fatalf("old%d was never placed", i)
			}
		}
		younger, starved := 0, 0
		for _, id := range m.order[base:] {
			if id[:3] == "old" {
				starved++
				continue
			}
			younger++
			if starved < old && younger > (o.Policy.StarvedEvery-1)*(starved+1) {
				t.Fatalf("%d younger jobs were placed before starved job %d of %d", younger, starved+1, old)
			}
		}
	})
}

// Guards against starvation by lack of room: while small jobs would always fill the
// free room, a large starved job must start once the tasks running on a worker and
// the permitted backfill have ended.
func TestStarvationBoundInRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		o.Policy.MaxBypass = 60 * time.Second
		o.Policy.FairnessWeight = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "weight")
		m := newSimulation(o)
		openTeams(m.s, "a", "b")
		addWorkers(m.s, 2, cores(8))
		longest := 20 * time.Second
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range 1200 {
			m.add(Job{ID: fmt.Sprintf("small%d", i), Spec: batch("a", "small", 1, 10*time.Second), Tasks: []int{0}},
				time.Duration(random.Int64N(int64(longest))+1))
		}
		m.plan()
		m.add(Job{ID: "large", Spec: batch("b", "large", 8, time.Second), Tasks: []int{0}}, time.Second)
		m.advance(10 * time.Minute)
		at, placed := m.started["large"]
		// The first plan after the job is starved creates the reservation. Its workers
		// may be selected again once after its start.
		bound := o.Policy.MaxBypass + 2*longest + reservationRenewInterval
		if !placed || at > bound {
			t.Fatalf("the large job started (%v) at %v; the bound is %v", placed, at, bound)
		}
	})
}
