package health

import (
	"fmt"
	"math"
	"time"
)

// Policy states when workers and jobs are considered faulty.
type Policy struct {
	// ProbationAfterJobs is the number of different jobs failing in a row on a worker that puts
	// it on probation.
	ProbationAfterJobs int
	// StopAfterWorkers is the number of different workers on which a job must fail to be
	// stopped.
	StopAfterWorkers int
	// FailureWindow is the age from which failures no longer count.
	FailureWindow time.Duration
	// MaxProbationFraction bounds the workers on probation as a share of the fleet; one
	// worker is always permitted.
	MaxProbationFraction float64
	// TrialsToRestore is the number of trial tasks in a row that must succeed to end a
	// probation.
	TrialsToRestore int
	// TrialBackoff paces the trials of a worker.
	TrialBackoff Backoff
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		ProbationAfterJobs: 3, StopAfterWorkers: 3, FailureWindow: 10 * time.Minute, MaxProbationFraction: 0.1, TrialsToRestore: 2,
		TrialBackoff: Backoff{Base: 30 * time.Second, Limit: 10 * time.Minute},
	}
}

// Verdict is the consequence of a task's end.
type Verdict struct {
	// Probation is set if the worker is to go on probation.
	Probation bool
	// Restored is set if the worker's probation ends.
	Restored bool
	// StopJob is set if the job is to be stopped, for the Reason.
	StopJob bool
	Reason  string
}

type worker struct {
	failures  map[string]time.Duration // by job, since the last success
	probation bool
	succeeded int
	failed    int
	trialAt   time.Duration
}

type job struct {
	failures map[string]time.Duration // by worker
	last     time.Duration
	stopped  bool
}

// Monitor judges workers and jobs by the ends of tasks. It has one owner.
type Monitor struct {
	policy    Policy
	random    func() float64
	workers   map[string]*worker
	jobs      map[string]*job
	probation int
	fleet     int
	swept     time.Duration
}

// NewMonitor returns a monitor; random returns numbers in [0, 1).
func NewMonitor(policy Policy, random func() float64) *Monitor {
	return &Monitor{policy: policy, random: random, workers: map[string]*worker{}, jobs: map[string]*job{}}
}

// SetWorkerCount sets the number of workers, which the cap on probation is a share of.
func (m *Monitor) SetWorkerCount(n int) { m.fleet = n }

// MaxOnProbation returns how many workers may be on probation at a time.
func (m *Monitor) MaxOnProbation() int {
	return max(1, int(math.Floor(m.policy.MaxProbationFraction*float64(m.fleet))))
}

// ProbationCount returns the number of workers on probation.
func (m *Monitor) ProbationCount() int { return m.probation }

func (m *Monitor) worker(id string) *worker {
	w, known := m.workers[id]
	if !known {
		w = &worker{failures: map[string]time.Duration{}}
		m.workers[id] = w
	}
	return w
}

// Succeeded records that a task of a job succeeded on a worker.
func (m *Monitor) Succeeded(workerID, jobID string) Verdict {
	if j, known := m.jobs[jobID]; known && !j.stopped {
		delete(m.jobs, jobID)
	}
	w, known := m.workers[workerID]
	if !known {
		return Verdict{}
	}
	clear(w.failures)
	if !w.probation {
		return Verdict{}
	}
	w.succeeded++
	if w.succeeded < m.policy.TrialsToRestore {
		return Verdict{}
	}
	m.probation--
	delete(m.workers, workerID)
	return Verdict{Restored: true}
}

// Failed records that a task of a job failed on a worker.
func (m *Monitor) Failed(workerID, jobID string, now time.Duration) Verdict {
	m.sweep(now)
	w := m.worker(workerID)
	if w.probation {
		// A failure on a suspect worker says nothing about the job.
		w.succeeded = 0
		w.failed++
		w.trialAt = now + m.policy.TrialBackoff.Delay(w.failed, m.random())
		return Verdict{}
	}
	j, known := m.jobs[jobID]
	if !known {
		j = &job{failures: map[string]time.Duration{}}
		m.jobs[jobID] = j
	}
	j.last = now
	if j.stopped {
		return Verdict{}
	}
	w.failures[jobID] = now
	j.failures[workerID] = now
	if m.recent(w.failures, now) >= m.policy.ProbationAfterJobs && m.probation < m.MaxOnProbation() {
		m.suspect(workerID, w, now)
		return Verdict{Probation: true, Reason: fmt.Sprintf("tasks of %d different jobs failed in a row", m.policy.ProbationAfterJobs)}
	}
	if m.recent(j.failures, now) >= m.policy.StopAfterWorkers {
		m.stop(jobID, j)
		return Verdict{StopJob: true, Reason: fmt.Sprintf("failed on %d different workers", m.policy.StopAfterWorkers)}
	}
	return Verdict{}
}

// suspect puts a worker on probation and acquits the jobs that failed on it.
func (m *Monitor) suspect(id string, w *worker, now time.Duration) {
	w.probation = true
	w.succeeded = 0
	w.failed = 1
	w.trialAt = now + m.policy.TrialBackoff.Delay(w.failed, m.random())
	m.probation++
	for jobID := range w.failures {
		if j, known := m.jobs[jobID]; known {
			delete(j.failures, id)
		}
	}
	clear(w.failures)
}

// stop marks a job as faulty and acquits the workers it failed on.
func (m *Monitor) stop(id string, j *job) {
	j.stopped = true
	for workerID := range j.failures {
		if w, known := m.workers[workerID]; known {
			delete(w.failures, id)
		}
	}
	clear(j.failures)
}

// recent drops failures older than the window and returns how many remain.
func (m *Monitor) recent(failures map[string]time.Duration, now time.Duration) int {
	for id, at := range failures {
		if now-at >= m.policy.FailureWindow {
			delete(failures, id)
		}
	}
	return len(failures)
}

// sweep forgets workers and jobs without recent failures, once per window.
func (m *Monitor) sweep(now time.Duration) {
	if now-m.swept < m.policy.FailureWindow {
		return
	}
	m.swept = now
	for id, w := range m.workers {
		if !w.probation && m.recent(w.failures, now) == 0 {
			delete(m.workers, id)
		}
	}
	for id, j := range m.jobs {
		if now-j.last >= m.policy.FailureWindow {
			delete(m.jobs, id)
		}
	}
}

// TrialDue reports whether a worker on probation may run a trial task, and
// grants it: the next one is due after the trial's end or a further wait.
func (m *Monitor) TrialDue(workerID string, now time.Duration) bool {
	w, known := m.workers[workerID]
	if !known || !w.probation || now < w.trialAt {
		return false
	}
	w.trialAt = now + m.policy.TrialBackoff.Delay(w.failed, m.random())
	return true
}

// RemoveWorker drops a worker that was removed or restarted as a new incarnation.
func (m *Monitor) RemoveWorker(workerID string) {
	if w, known := m.workers[workerID]; known && w.probation {
		m.probation--
	}
	delete(m.workers, workerID)
}
