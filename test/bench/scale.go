package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// Size of the fleet and of the workload in the scale case: the largest that the system
// is designed for.
const (
	scaleWorkers            = 14_000
	scaleAcceleratorWorkers = 2_625 // workers with 8 accelerators each: 21,000
	scaleTeams              = 1_000
	scaleRunningTasks       = 110_000
	scaleWaitingJobs        = 20_000
	scalePlans              = 4_000 // plans that are measured
	scalePlacementsPerPlan  = 16    // placements per plan
)

// load is a scheduler with a fleet and teams, and generates random work for it.
type load struct {
	scheduler *scheduler.Scheduler
	random    *rand.Rand
	now       time.Duration
	running   []scheduler.Placement
	nextID    int
}

func newLoad(workers, teams int) *load {
	l := &load{scheduler: scheduler.New(scheduler.DefaultOptions()), random: rand.New(rand.NewPCG(21, 1))}
	for i := range workers {
		w := placement.Worker{
			ID: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%04d", i/6), Incarnation: 1,
			Capacity: structs.Resources{MilliCPU: 64_000, MemoryBytes: 128 * gib}, Speed: 0.7 + 0.8*l.random.Float64(),
		}
		if i%(scaleWorkers/scaleAcceleratorWorkers) == 0 && i/(scaleWorkers/scaleAcceleratorWorkers) < scaleAcceleratorWorkers {
			w.Capacity.Accelerators = 8
		}
		l.scheduler.UpsertWorker(w)
	}
	for i := range teams {
		l.scheduler.SetTeam(fmt.Sprintf("t%04d", i), 1+float64(i%7), share.Unlimited)
	}
	return l
}

// submitJob submits a job of one task for a random team. One job in five is of a
// service, and one document in twenty needs accelerators.
func (l *load) submitJob(teams int) {
	team := l.random.IntN(teams)
	service := l.random.IntN(3)
	shape := rand.New(rand.NewPCG(uint64(team), uint64(service)))
	spec := structs.WorkSpec{
		Team: fmt.Sprintf("t%04d", team), Service: fmt.Sprintf("s%d", service), Version: 1, Class: structs.ClassBatch,
		Size:       structs.Resources{MilliCPU: 1000 + shape.Int64N(12_000), MemoryBytes: gib + shape.Int64N(24*gib)},
		Idempotent: true, WaitWhenFull: true, RunTime: time.Duration(1+shape.IntN(600)) * time.Second,
	}
	if l.random.IntN(5) == 0 {
		spec.Class = structs.ClassService
	}
	if shape.IntN(20) == 0 {
		spec.Size.Accelerators = 1 + shape.Int64N(4)
	}
	l.nextID++
	l.scheduler.AddJob(scheduler.Job{ID: jobID(l.nextID), Spec: spec, Submitted: l.now, Tasks: []int{0}})
}

// endRandomTask ends a random running task.
func (l *load) endRandomTask() {
	i := l.random.IntN(len(l.running))
	p := l.running[i]
	l.running[i] = l.running[len(l.running)-1]
	l.running = l.running[:len(l.running)-1]
	l.scheduler.AttemptEnded(p.JobID, p.Task, l.now, true)
}

// fill adds and starts tasks until n are running or no more can be placed.
func (l *load) fill(n, teams int) {
	for len(l.running) < n {
		for range 1000 {
			l.submitJob(teams)
		}
		l.now += 100 * time.Millisecond
		before := len(l.running)
		for {
			b := l.scheduler.Plan(l.now, 1000)
			l.running = append(l.running, b.Placements...)
			if len(b.Placements) == 0 {
				break
			}
		}
		if len(l.running) == before {
			return
		}
	}
}

// scaleCase measures the time of scheduling decisions on one core for the
// largest fleet that the system is designed for. The state is steady: in each
// round scalePlacementsPerPlan tasks end, as many arrive, and at most as many are placed.
func scaleCase(t *table) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	l := newLoad(scaleWorkers, scaleTeams)
	l.fill(scaleRunningTasks, scaleTeams)
	running := l.scheduler.Running()
	for range scaleWaitingJobs {
		l.submitJob(scaleTeams)
	}
	runtime.GC()
	var plans []time.Duration
	placed := 0
	planning := time.Duration(0)
	start := time.Now()
	for range scalePlans {
		l.now += scalePlacementsPerPlan * time.Second / 10_000
		for range scalePlacementsPerPlan {
			l.endRandomTask()
			l.submitJob(scaleTeams)
		}
		before := time.Now()
		b := l.scheduler.Plan(l.now, scalePlacementsPerPlan)
		took := time.Since(before)
		planning += took
		plans = append(plans, took)
		placed += len(b.Placements)
		l.running = append(l.running, b.Placements...)
	}
	total := time.Since(start)
	slices.Sort(plans)
	name := "14,000 workers, 1,000 teams"
	t.add(name, "running tasks", "count", scaleRunningTasks, float64(running))
	t.add(name, "waiting jobs at the end", "count", scaleWaitingJobs, float64(l.scheduler.Waiting()))
	t.add(name, "decisions measured", "count", 0, float64(placed))
	t.add(name, "plan of at most 16, p50*", "ms", 1, percentile(plans, 0.5).Seconds()*1e3)
	t.add(name, "plan of at most 16, p99*", "ms", 1, percentile(plans, 0.99).Seconds()*1e3)
	t.add(name, "plan of at most 16, worst*", "ms", 1, percentile(plans, 1).Seconds()*1e3)
	t.add(name, "planning per decision*", "ns", 100_000, float64(planning.Nanoseconds())/float64(placed))
	t.add(name, "decisions per second with updates*", "1/s", 10_000, float64(placed)/total.Seconds())
}
