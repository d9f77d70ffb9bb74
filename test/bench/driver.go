package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"laburnumgrade/internal/health"
	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// engine is a scheduler that is simulated: scheduler.Scheduler or a baseline.
type engine interface {
	SetTeam(name string, weight float64, allotment structs.Resources)
	UpsertWorker(w placement.Worker)
	AddJob(j scheduler.Job)
	RemoveJob(id string)
	AttemptEnded(id string, task int, now time.Duration, completed bool)
	ResizeAttempt(id string, task int, size structs.Resources, now time.Duration)
	Plan(now time.Duration, max int) scheduler.Batch
	Fleet() *placement.Fleet
	Waiting() int
}

// tick is the resolution of the fake clock. The engine plans in each tick in
// which an event was applied, and at least once per second.
const tick = 100 * time.Millisecond

// maxPlacementsPerPlan is the limit of placements passed to each call of Plan.
const maxPlacementsPerPlan = 256

// faults describes the faults injected during a simulation.
type faults struct {
	badWorkerShare float64       // fraction of the workers on which each task fails after badWorkerFailureDelay
	cancelAt       time.Duration // when jobs are cancelled
	cancels        int           // number of jobs cancelled then
	lostAt         time.Duration // when a quarter of the workers is lost
	backAt         time.Duration // when these workers return
	usage          bool          // the usage of tasks is observed and raises their commitments
}

const (
	badWorkerFailureDelay = time.Second
	usageDelay            = 5 * time.Second
	restartDelay          = time.Second // of a failed task, for an engine without health monitoring
)

type eventKind int

const (
	taskEnded eventKind = iota
	usageObserved
	taskRequeued
	probationTrial // checks whether a trial of a worker on probation is due
)

// event is a simulated event. Events at the same time are applied in the order of
// seq, in which they were scheduled.
type event struct {
	at      time.Duration
	seq     int
	kind    eventKind
	job     *jobRun
	task    int
	attempt int
	failed  bool
	worker  string
}

// events is a heap of events, ordered by time and seq.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	h := *e
	x := h[len(h)-1]
	*e = h[:len(h)-1]
	return x
}

// jobRun is the simulated state of a job. Slices are by task.
type jobRun struct {
	arrival
	placed    bool // a task was started
	ended     int  // number of completed tasks
	lastStart time.Duration
	attempts  []int
	workers   []string            // on which the task runs, empty if it does not run
	sizes     []structs.Resources // committed
}

// driver simulates the arrivals, ends and faults of a workload for an engine
// under a fake clock.
type driver struct {
	engine          engine
	site            site
	faults          faults
	now             time.Duration
	events          events
	seq             int
	jobs            map[string]*jobRun // by job id
	arrivals        []arrival          // sorted by time of submission
	nextArrival     int                // index in arrivals of the next job to submit
	workers         []placement.Worker
	workerIndex     map[string]int  // index in workers by worker id
	badWorkers      map[string]bool // by worker id; tasks on these workers fail
	monitor         *health.Monitor
	backoff         health.Backoff
	random          *rand.Rand
	result          result
	waitingByTeam   []structs.Resources // sizes of the jobs that have not started
	committedByTeam []structs.Resources
	committed       structs.Resources // sum of committedByTeam
}

// newDriver returns a driver for a workload. withHealth adds the health monitor, which the
// FIFO baselines run without.
func newDriver(e engine, s site, arrivals []arrival, f faults, withHealth bool) *driver {
	d := &driver{
		engine:          e,
		site:            s,
		faults:          f,
		arrivals:        arrivals,
		jobs:            map[string]*jobRun{},
		workerIndex:     map[string]int{},
		badWorkers:      map[string]bool{},
		random:          rand.New(rand.NewPCG(s.seed, 3)),
		backoff:         health.DefaultRestartBackoff(),
		committedByTeam: make([]structs.Resources, len(s.weights)),
		workers:         s.workerList(),
		waitingByTeam:   make([]structs.Resources, len(s.weights)),
	}
	if withHealth {
		d.monitor = health.NewMonitor(health.DefaultPolicy(), d.random.Float64)
		d.monitor.SetWorkerCount(len(d.workers))
	}
	for i, w := range s.weights {
		e.SetTeam(teamName(i), w, share.Unlimited)
	}
	random := rand.New(rand.NewPCG(s.seed, 4))
	for i, w := range d.workers {
		d.workerIndex[w.ID] = i
		d.badWorkers[w.ID] = random.Float64() < f.badWorkerShare
		e.UpsertWorker(w)
	}
	d.result.windows = newWindows(s)
	return d
}

// run simulates the workload for the given length, and then until no work waits or
// the time drain has passed.
func (d *driver) run(length, drain time.Duration) result {
	lost, back, cancelled := d.faults.lostAt == 0, d.faults.lostAt == 0, d.faults.cancels == 0
	for d.now < length+drain {
		busy := d.applyDue()
		if !cancelled && d.now >= d.faults.cancelAt {
			cancelled = true
			d.cancelManyJobs()
		}
		if !lost && d.now >= d.faults.lostAt {
			lost, busy = true, true
			d.setQuarterLost(true)
		}
		if !back && d.now >= d.faults.backAt {
			back, busy = true, true
			d.setQuarterLost(false)
		}
		if busy || d.now%time.Second == 0 {
			d.plan()
		}
		if d.nextArrival == len(d.arrivals) && d.engine.Waiting() == 0 && d.now >= length {
			break
		}
		d.result.observe(d, tick)
		d.now += tick
	}
	d.result.finish(d)
	return d.result
}

// applyDue applies the arrivals and events that are due, and reports whether
// there were any.
func (d *driver) applyDue() bool {
	busy := false
	for d.nextArrival < len(d.arrivals) && d.arrivals[d.nextArrival].job.Submitted <= d.now {
		a := d.arrivals[d.nextArrival]
		d.nextArrival++
		n := len(a.job.Tasks)
		j := &jobRun{arrival: a, attempts: make([]int, n), workers: make([]string, n), sizes: make([]structs.Resources, n)}
		d.jobs[a.job.ID] = j
		d.addWaiting(j, int64(n))
		d.engine.AddJob(a.job)
		busy = true
	}
	for len(d.events) > 0 && d.events[0].at <= d.now {
		d.apply(heap.Pop(&d.events).(event))
		busy = true
	}
	return busy
}

func (d *driver) schedule(e event) {
	d.seq++
	e.seq = d.seq
	heap.Push(&d.events, e)
}

func (d *driver) apply(e event) {
	switch e.kind {
	case probationTrial:
		d.setProbation(e.worker, true)
		return
	case taskRequeued:
		d.requeue(e.job, e.task)
		return
	}
	if e.job.attempts[e.task] != e.attempt || e.job.workers[e.task] == "" {
		return
	}
	if e.kind == usageObserved {
		d.raiseCommitment(e.job, e.task)
		return
	}
	worker := e.job.workers[e.task]
	d.endAttempt(e.job, e.task, !e.failed)
	if e.failed {
		d.result.failed++
		d.handleFailure(e.job, e.task, worker)
		return
	}
	e.job.ended++
	if d.monitor != nil && d.monitor.Succeeded(worker, e.job.job.ID).Restored {
		d.setProbation(worker, false)
	}
}

// handleFailure returns a failed task to the queue after a delay. The other
// tasks of a gang continue to run.
func (d *driver) handleFailure(j *jobRun, task int, worker string) {
	wait := restartDelay
	if d.monitor != nil {
		wait = d.backoff.Delay(j.attempts[task], d.random.Float64())
		v := d.monitor.Failed(worker, j.job.ID, d.now)
		if v.Probation {
			d.result.probations++
			d.setProbation(worker, true)
		}
		if v.StopJob {
			d.result.stopped++
			return
		}
	}
	d.schedule(event{at: d.now + wait, kind: taskRequeued, job: j, task: task})
}

func (d *driver) requeue(j *jobRun, task int) {
	again := j.job
	again.Tasks = []int{task}
	d.engine.AddJob(again)
}

// setProbation updates the probation of a worker in the engine and, if it is
// on, schedules the next check for a trial.
func (d *driver) setProbation(id string, on bool) {
	w := &d.workers[d.workerIndex[id]]
	w.Probation = on
	w.TrialDue = on && d.monitor.TrialDue(id, d.now)
	d.engine.UpsertWorker(*w)
	if on {
		d.schedule(event{at: d.now + 5*time.Second, kind: probationTrial, worker: id})
	}
}

func (d *driver) plan() {
	for {
		b := d.engine.Plan(d.now, maxPlacementsPerPlan)
		for _, p := range b.Placements {
			d.start(p)
		}
		for _, p := range b.Preemptions {
			j := d.jobs[p.JobID]
			d.endAttempt(j, p.Task, false)
			d.result.preempted++
			d.requeue(j, p.Task)
		}
		if len(b.Placements) < maxPlacementsPerPlan && len(b.Preemptions) == 0 {
			return
		}
	}
}

func (d *driver) start(p scheduler.Placement) {
	j := d.jobs[p.JobID]
	d.result.decisions++
	if !j.placed {
		j.placed = true
		d.addWaiting(j, -int64(len(j.workers)))
	}
	j.attempts[p.Task]++
	j.lastStart = d.now
	j.workers[p.Task] = p.WorkerID
	d.setCommitted(j, p.Task, j.job.Spec.Size)
	speed := d.workers[d.workerIndex[p.WorkerID]].Speed
	e := event{at: d.now + time.Duration(float64(j.actual)/speed), kind: taskEnded, job: j, task: p.Task, attempt: j.attempts[p.Task]}
	if d.badWorkers[p.WorkerID] {
		e.at = d.now + badWorkerFailureDelay
		e.failed = true
	}
	d.schedule(e)
	if d.faults.usage && e.at > d.now+usageDelay {
		d.schedule(event{at: d.now + usageDelay, kind: usageObserved, job: j, task: p.Task, attempt: j.attempts[p.Task]})
	}
}

// addWaiting adds tasks of a job to the waiting work of its team.
func (d *driver) addWaiting(j *jobRun, tasks int64) {
	team := d.team(j)
	d.waitingByTeam[team] = d.waitingByTeam[team].Add(j.job.Spec.Size.Scale(tasks))
}

func (d *driver) team(j *jobRun) int { return slices.Index(d.result.windows.names, j.job.Spec.Team) }

// setCommitted changes the size committed for a task and the sums it is part
// of.
func (d *driver) setCommitted(j *jobRun, task int, size structs.Resources) {
	by := size.Sub(j.sizes[task])
	j.sizes[task] = size
	team := d.team(j)
	d.committedByTeam[team] = d.committedByTeam[team].Add(by)
	d.committed = d.committed.Add(by)
}

func (d *driver) endAttempt(j *jobRun, task int, completed bool) {
	d.engine.AttemptEnded(j.job.ID, task, d.now, completed)
	d.setCommitted(j, task, structs.Resources{})
	j.workers[task] = ""
	j.attempts[task]++
}

// raiseCommitment raises the committed size of a task to its actual usage, as
// far as its worker has free resources.
func (d *driver) raiseCommitment(j *jobRun, task int) {
	slot, known := d.engine.Fleet().Lookup(j.workers[task])
	if !known {
		return
	}
	size := j.sizes[task].Max(j.used.Min(j.sizes[task].Add(d.engine.Fleet().Free(slot).Max(structs.Resources{}))))
	d.engine.ResizeAttempt(j.job.ID, task, size, d.now)
	d.setCommitted(j, task, size)
}

// setQuarterLost marks the first quarter of the workers as lost or as returned.
// Tasks on lost workers are queued again.
func (d *driver) setQuarterLost(lost bool) {
	for i := range len(d.workers) / 4 {
		d.workers[i].Lost = lost
		d.engine.UpsertWorker(d.workers[i])
	}
	if !lost {
		return
	}
	var ids []string
	for id := range d.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		j := d.jobs[id]
		for task, worker := range j.workers {
			if worker != "" && d.workers[d.workerIndex[worker]].Lost {
				d.endAttempt(j, task, false)
				d.requeue(j, task)
				d.result.lost++
			}
		}
	}
}

// cancelManyJobs submits jobs that each need a whole worker, cancels them
// immediately and measures the mean time of a cancellation.
func (d *driver) cancelManyJobs() {
	spec := d.arrivals[0].job.Spec
	spec.Service, spec.Size = "cancelled", d.site.size
	id := func(i int) string { return "cancelled/" + teamName(i) }
	for i := range d.faults.cancels {
		d.engine.AddJob(scheduler.Job{ID: id(i), Spec: spec, Submitted: d.now, Tasks: []int{0}})
	}
	start := time.Now()
	for i := range d.faults.cancels {
		d.engine.RemoveJob(id(i))
	}
	d.result.cancelCost = time.Since(start) / time.Duration(d.faults.cancels)
}

func sortArrivals(all []arrival) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].job.Submitted < all[j].job.Submitted })
}

func percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(int(math.Ceil(q*float64(len(sorted))))-1, 0)]
}
