package control

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/admission"
	"laburnumgrade/internal/health"
	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/structs"
)

// mirror updates the scheduler, the admission controller and the health monitor of a
// data centre group from the group's replicated state while this process leads it. Each
// of them holds its own copy of what it needs from the state.
type mirror struct {
	group   *DataCentreGroup
	options scheduler.Options
	clock   func() time.Duration
	// random returns numbers in [0, 1), for the jitter of delays.
	random func() float64

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// since is the start of the leadership for which the scheduler was created.
	since time.Duration
	// acceptedAt is when a job was accepted, by this process's clock, by job id.
	acceptedAt    map[string]time.Duration
	teamsSyncedAt time.Duration
	admission     *admission.Controller
	health        *health.Monitor
	countsByJob   map[string]taskCounts
	// probation holds the workers that were on probation when they were last mirrored.
	probation map[string]struct{}
	// incarnations holds the incarnation of each worker when it was last mirrored.
	incarnations map[string]uint64
	// unconfirmedPreemptions holds preemptions that were proposed and are not known to be
	// committed.
	unconfirmedPreemptions []*statev1.ShedAttempt
	// backoffUntil is when a job with tasks in backoff is to be mirrored again, by job
	// id.
	backoffUntil map[string]time.Duration
	// nextBackoffEnd is a lower bound of the times in backoffUntil.
	nextBackoffEnd time.Duration
}

// teamsInterval is how often shares and allotments are mirrored.
const teamsInterval = 100 * time.Millisecond

func newMirror(g *DataCentreGroup, o scheduler.Options, clock func() time.Duration) *mirror {
	return &mirror{group: g, options: o, clock: clock, random: rand.Float64, since: -1}
}

// sync mirrors the changed workers and jobs; after a change of leadership, or if the
// state was replaced, it creates new ones and mirrors all workers and open jobs. shares returns the fair shares
// of the teams. The caller holds the lock.
func (m *mirror) sync(since time.Duration, shares func() map[string]float64) {
	all, workers, jobs := m.group.dirty.take()
	if all || since != m.since {
		m.since = since
		m.scheduler = scheduler.New(m.options)
		m.acceptedAt = map[string]time.Duration{}
		m.backoffUntil = map[string]time.Duration{}
		m.nextBackoffEnd = 0
		m.admission = admission.NewController(admission.DefaultLimits(), m.scheduler.Fleet())
		m.health = health.NewMonitor(health.DefaultPolicy(), m.random)
		m.countsByJob = map[string]taskCounts{}
		m.probation = map[string]struct{}{}
		m.incarnations = map[string]uint64{}
		m.unconfirmedPreemptions = nil
		m.teamsSyncedAt = 0
		workers, jobs = m.allIDs()
	}
	now := m.clock()
	m.endBackoffs(now, jobs)
	// The order determines the slots of new workers and with them the choice among equal
	// workers. In the order of a map the same events would lead to different plans.
	for _, id := range slices.Sorted(maps.Keys(workers)) {
		m.syncWorker(id)
	}
	if m.teamsSyncedAt == 0 || now >= m.teamsSyncedAt+teamsInterval {
		m.teamsSyncedAt = now
		m.syncTeams(shares())
		m.health.SetWorkerCount(m.scheduler.Fleet().Len())
		m.grantTrials(now)
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		m.syncJob(id, now)
	}
}

// endBackoffs adds the jobs that have a task whose backoff has ended to jobs, which are
// mirrored next.
func (m *mirror) endBackoffs(now time.Duration, jobs map[string]struct{}) {
	if len(m.backoffUntil) == 0 || now < m.nextBackoffEnd {
		return
	}
	m.nextBackoffEnd = math.MaxInt64
	for id, at := range m.backoffUntil {
		if now < at {
			m.nextBackoffEnd = min(m.nextBackoffEnd, at)
			continue
		}
		delete(m.backoffUntil, id)
		jobs[id] = struct{}{}
	}
}

// allIDs returns the ids of all workers and of all jobs that have not ended.
func (m *mirror) allIDs() (workers, jobs map[string]struct{}) {
	workers = map[string]struct{}{}
	for _, id := range m.group.Store.WorkerIDs() {
		workers[id] = struct{}{}
	}
	jobs = map[string]struct{}{}
	for _, id := range m.group.Store.OpenJobs() {
		jobs[id] = struct{}{}
	}
	return workers, jobs
}

// syncWorker mirrors one worker. A new incarnation starts with an empty health record.
func (m *mirror) syncWorker(id string) {
	w, known := m.group.Store.Worker(id)
	if !known {
		m.scheduler.RemoveWorker(id)
		m.health.RemoveWorker(id)
		delete(m.incarnations, id)
		return
	}
	if before, seen := m.incarnations[id]; seen && before != w.Incarnation {
		m.health.RemoveWorker(id)
	}
	m.incarnations[id] = w.Incarnation
	m.upsert(placementWorker(&w, w.Probation && m.hasTrial(id)))
	m.scheduler.SetCharged(id, chargedTotal(&w))
	if w.Probation {
		m.probation[id] = struct{}{}
	}
}

// upsert mirrors a worker if it differs from what the scheduler has. Most changes of
// workers concern only their attempts, which are mirrored with the jobs.
func (m *mirror) upsert(w placement.Worker) {
	w.Speed = 1
	if slot, known := m.scheduler.Fleet().Lookup(w.ID); known && *m.scheduler.Fleet().Worker(slot) == w {
		return
	}
	m.scheduler.UpsertWorker(w)
}

// hasTrial reports whether the worker was granted a trial that it has not used.
func (m *mirror) hasTrial(id string) bool {
	slot, known := m.scheduler.Fleet().Lookup(id)
	return known && m.scheduler.Fleet().Worker(slot).TrialDue
}

// chargedTotal returns the sum of the sizes of lost attempts that the worker still runs.
func chargedTotal(w *structs.Worker) structs.Resources {
	var sum structs.Resources
	for _, size := range w.Charged {
		sum = sum.Add(size)
	}
	return sum
}

// syncTeams mirrors the shares and allotments of the teams. Each share is at least 1.
func (m *mirror) syncTeams(shares map[string]float64) {
	for _, t := range m.group.Store.Teams() {
		m.scheduler.SetTeam(t.Name, max(shares[t.Name], 1), t.Allotment)
		m.admission.SetTeam(t.Name, max(shares[t.Name], 1))
	}
}

// syncJob mirrors one job and its attempts.
func (m *mirror) syncJob(id string, now time.Duration) {
	j, known := m.group.Store.Job(id)
	if !known {
		m.removeJob(id, now)
		return
	}
	if counts, counted := m.countsByJob[id]; counted && counts.acceptedAt != j.AcceptedAt {
		// The job that was mirrored is gone, and another one has its id. It may have fewer
		// tasks, so that the attempts of the others would never end in the scheduler.
		m.removeJob(id, now)
	}
	if _, seen := m.acceptedAt[id]; !seen {
		m.acceptedAt[id] = now - m.waitTime(&j)
	}
	waiting := m.syncTasks(&j, now)
	if len(waiting) == 0 {
		m.scheduler.RemoveJob(id)
	} else {
		m.scheduler.AddJob(m.schedulerJob(&j, waiting))
	}
	m.updateTaskCounts(&j, len(waiting), len(j.Tasks)-j.EndedTasks-len(waiting), now)
	if j.Ended() {
		delete(m.acceptedAt, id)
	}
}

// removeJob removes a job that is no longer in the state. It also ends the job's attempts
// in the scheduler, since their ends may not have been mirrored.
func (m *mirror) removeJob(id string, now time.Duration) {
	m.scheduler.RemoveJob(id)
	counts := m.countsByJob[id]
	for i := range counts.tasks {
		m.scheduler.AttemptEnded(id, i, now, false)
	}
	if counts.spec != nil {
		m.admission.Removed(counts.spec, counts.waiting)
	}
	delete(m.countsByJob, id)
	delete(m.acceptedAt, id)
}

// waitTime returns the time since the job was accepted, by the log time.
func (m *mirror) waitTime(j *structs.Job) time.Duration {
	return max(0, time.Duration(m.group.Store.LogTime()-j.AcceptedAt)*time.Millisecond)
}

// syncTasks mirrors the attempts of a job and returns its waiting tasks.
func (m *mirror) syncTasks(j *structs.Job, now time.Duration) []int {
	var waiting []int
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State != structs.TaskRunning {
			m.scheduler.AttemptEnded(j.ID, i, now, t.State == structs.TaskEnded && t.Outcome == structs.OutcomeOK)
			if t.State == structs.TaskWaiting && !j.Cancelled && !m.deferForBackoff(j.ID, t.NotBefore, now) {
				waiting = append(waiting, i)
			}
			continue
		}
		if a, open := m.group.Store.Attempt(t.Attempt); open {
			m.scheduler.AttemptStarted(scheduler.Attempt{
				ID: a.ID, JobID: j.ID, Task: i, WorkerID: a.WorkerID, Incarnation: a.Incarnation, Spec: j.Spec, Urgent: j.Urgent, Started: now, Size: a.Size,
			}, now)
		}
	}
	return waiting
}

// schedulerJob returns the job as an input for the scheduler. The deadline for its start
// applies only until the first attempt.
func (m *mirror) schedulerJob(j *structs.Job, waiting []int) scheduler.Job {
	in := scheduler.Job{ID: j.ID, Spec: j.Spec, Urgent: j.Urgent, Submitted: m.acceptedAt[j.ID], Tasks: waiting}
	attempted := false
	for i := range j.Tasks {
		attempted = attempted || j.Tasks[i].Attempts > 0
	}
	if j.Deadline > 0 && !attempted {
		in.Deadline = in.Submitted + j.Deadline
	}
	return in
}

// explain returns the reasons for which a job is waiting; false if the scheduler has no
// such waiting job.
func (m *mirror) explain(id string) (scheduler.Explanation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.scheduler == nil {
		return scheduler.Explanation{}, false
	}
	e := m.scheduler.Explain(id)
	return e, e.Waiting
}

// deferForBackoff reports whether a task must not be placed before the log time
// notBefore (Unix milliseconds), and if so has the job mirrored again at that time.
func (m *mirror) deferForBackoff(id string, notBefore int64, now time.Duration) bool {
	left := time.Duration(notBefore-m.group.Store.LogTime()) * time.Millisecond
	if left <= 0 {
		return false
	}
	if at, known := m.backoffUntil[id]; !known || now+left < at {
		m.backoffUntil[id] = now + left
		m.nextBackoffEnd = min(m.nextBackoffEnd, now+left)
	}
	return true
}
