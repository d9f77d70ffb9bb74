package control

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/admission"
	"laburnumgrade/internal/health"
	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/structs"
)

// mirror keeps a scheduler in step with the state of a data centre group that
// this process leads.
type mirror struct {
	group   *DataCentreGroup
	options scheduler.Options
	clock   func() time.Duration

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// since is the start of the leadership that the scheduler was made for.
	since time.Duration
	// accepted is when a job was first seen waiting, by job id.
	accepted  map[string]time.Duration
	teamsAt   time.Duration
	admission *admission.Controller
	health    *health.Monitor
	waiting   map[string]taskCounts
	// probation holds the workers that the state was seen to have on probation.
	probation map[string]struct{}
	// incarnations are those of the workers as last mirrored.
	incarnations map[string]uint64
	// unshed holds interruptions whose commit is not known to have succeeded.
	unshed []*statev1.ShedAttempt
	// delayed is when the jobs with tasks that wait out a back-off are mirrored
	// again.
	delayed map[string]time.Duration
	// delayedUntil is not after the first of them.
	delayedUntil time.Duration
}

// teamsInterval is how often shares and allotments are mirrored.
const teamsInterval = 100 * time.Millisecond

func newMirror(g *DataCentreGroup, o scheduler.Options, clock func() time.Duration) *mirror {
	return &mirror{group: g, options: o, clock: clock, since: -1}
}

// sync mirrors what has changed; after a change of leadership, everything.
// shares returns the teams' shares.
func (m *mirror) sync(since time.Duration, shares func() map[string]float64) {
	all, workers, jobs := m.group.dirty.take()
	if all || since != m.since {
		m.since = since
		m.scheduler = scheduler.New(m.options)
		m.accepted = map[string]time.Duration{}
		m.delayed = map[string]time.Duration{}
		m.delayedUntil = 0
		m.admission = admission.NewController(admission.DefaultLimits(), m.scheduler.Fleet())
		m.health = health.NewMonitor(health.DefaultPolicy(), rand.Float64)
		m.waiting = map[string]taskCounts{}
		m.probation = map[string]struct{}{}
		m.incarnations = map[string]uint64{}
		m.unshed = nil
		m.teamsAt = 0
		workers, jobs = m.everything()
	}
	now := m.clock()
	m.endDelays(now, jobs)
	for id := range workers {
		m.syncWorker(id)
	}
	if m.teamsAt == 0 || now >= m.teamsAt+teamsInterval {
		m.teamsAt = now
		m.syncTeams(shares())
		m.health.SetWorkerCount(m.scheduler.Fleet().Len())
		m.grantTrials(now)
	}
	for id := range jobs {
		m.syncJob(id, now)
	}
}

// endDelays adds the jobs of which a delay has passed.
func (m *mirror) endDelays(now time.Duration, jobs map[string]struct{}) {
	if len(m.delayed) == 0 || now < m.delayedUntil {
		return
	}
	m.delayedUntil = math.MaxInt64
	for id, at := range m.delayed {
		if now < at {
			m.delayedUntil = min(m.delayedUntil, at)
			continue
		}
		delete(m.delayed, id)
		jobs[id] = struct{}{}
	}
}

func (m *mirror) everything() (workers, jobs map[string]struct{}) {
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
	m.upsert(workerView(&w, w.Probation && m.trialDue(id)))
	m.scheduler.SetCharged(id, charged(&w))
	if w.Probation {
		m.probation[id] = struct{}{}
	}
}

// upsert mirrors a worker that differs from what is mirrored. Most changes are
// of its attempts, which jobs bring.
func (m *mirror) upsert(w placement.Worker) {
	w.Speed = 1
	if slot, known := m.scheduler.Fleet().Lookup(w.ID); known && *m.scheduler.Fleet().Worker(slot) == w {
		return
	}
	m.scheduler.UpsertWorker(w)
}

// trialDue reports whether a trial was granted that has not been used.
func (m *mirror) trialDue(id string) bool {
	slot, known := m.scheduler.Fleet().Lookup(id)
	return known && m.scheduler.Fleet().Worker(slot).TrialDue
}

func charged(w *structs.Worker) structs.Resources {
	var sum structs.Resources
	for _, size := range w.Charged {
		sum = sum.Add(size)
	}
	return sum
}

func (m *mirror) syncTeams(shares map[string]float64) {
	for _, t := range m.group.Store.Teams() {
		m.scheduler.SetTeam(t.Name, max(shares[t.Name], 1), t.Allotment)
		m.admission.SetTeam(t.Name, max(shares[t.Name], 1))
	}
}

func (m *mirror) syncJob(id string, now time.Duration) {
	j, known := m.group.Store.Job(id)
	if !known {
		m.forgetJob(id, now)
		return
	}
	if _, seen := m.accepted[id]; !seen {
		m.accepted[id] = now - m.waited(&j)
	}
	waiting := m.syncTasks(&j, now)
	if len(waiting) == 0 {
		m.scheduler.RemoveJob(id)
	} else {
		m.scheduler.AddJob(m.job(&j, waiting))
	}
	m.countWaiting(&j, len(waiting), len(j.Tasks)-j.EndedTasks-len(waiting), now)
	if j.Ended() {
		delete(m.accepted, id)
	}
}

// forgetJob drops a job whose record is gone. Its end may not have been
// mirrored.
func (m *mirror) forgetJob(id string, now time.Duration) {
	m.scheduler.RemoveJob(id)
	counts := m.waiting[id]
	for i := range counts.tasks {
		m.scheduler.AttemptEnded(id, i, now, false)
	}
	if counts.spec != nil {
		m.admission.Removed(counts.spec, counts.waiting)
	}
	delete(m.waiting, id)
	delete(m.accepted, id)
}

// waited returns how long the job has waited, by the log time.
func (m *mirror) waited(j *structs.Job) time.Duration {
	return max(0, time.Duration(m.group.Store.LogTime()-j.AcceptedAt)*time.Millisecond)
}

// syncTasks mirrors the attempts of a job and returns its waiting tasks.
func (m *mirror) syncTasks(j *structs.Job, now time.Duration) []int {
	var waiting []int
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State != structs.TaskRunning {
			m.scheduler.AttemptEnded(j.ID, i, now, t.State == structs.TaskEnded && t.Outcome == structs.OutcomeOK)
			if t.State == structs.TaskWaiting && !j.Cancelled && !m.delay(j.ID, t.NotBefore, now) {
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

func (m *mirror) job(j *structs.Job, waiting []int) scheduler.Job {
	in := scheduler.Job{ID: j.ID, Spec: j.Spec, Urgent: j.Urgent, Submitted: m.accepted[j.ID], Tasks: waiting}
	attempted := false
	for i := range j.Tasks {
		attempted = attempted || j.Tasks[i].Attempts > 0
	}
	if j.Deadline > 0 && !attempted {
		in.Deadline = in.Submitted + j.Deadline
	}
	return in
}

// explain says why a job waits; false if it does not wait here.
func (m *mirror) explain(id string) (scheduler.Explanation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.scheduler == nil {
		return scheduler.Explanation{}, false
	}
	e := m.scheduler.Explain(id)
	return e, e.Waiting
}

// delay notes a task that waits out a back-off until the log time notBefore.
func (m *mirror) delay(id string, notBefore int64, now time.Duration) bool {
	left := time.Duration(notBefore-m.group.Store.LogTime()) * time.Millisecond
	if left <= 0 {
		return false
	}
	if at, known := m.delayed[id]; !known || now+left < at {
		m.delayed[id] = now + left
		m.delayedUntil = min(m.delayedUntil, now+left)
	}
	return true
}
