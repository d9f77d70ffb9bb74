package health

import (
	"fmt"
	"math"
	"time"
)

// Policy states when workers and jobs are considered faulty.
type Policy struct {
	// ProbationAfterJobs is the number of different jobs whose tasks must fail on a
	// worker, without a success in between, to put it on probation.
	ProbationAfterJobs int
	// StopAfterWorkers is the number of different workers on which tasks of a job
	// must fail, without a success in between, to stop the job.
	StopAfterWorkers int
	// FailureWindow is the age from which a failure no longer counts.
	FailureWindow time.Duration
	// MaxProbationFraction bounds the workers on probation as a fraction of all
	// workers, so that a faulty release or data centre does not disable the whole
	// fleet. One worker on probation is always permitted.
	MaxProbationFraction float64
	// TrialsToRestore is the number of trial tasks in a row that must succeed to
	// end a worker's probation.
	TrialsToRestore int
	// TrialBackoff computes the delays between the trials of a worker from its
	// number of failures on probation.
	TrialBackoff Backoff
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		ProbationAfterJobs: 3, StopAfterWorkers: 3, FailureWindow: 10 * time.Minute, MaxProbationFraction: 0.1, TrialsToRestore: 2,
		TrialBackoff: Backoff{Base: 30 * time.Second, Limit: 10 * time.Minute},
	}
}

// Verdict says what is to be done after the end of a task. The zero value means
// nothing.
type Verdict struct {
	// Probation is set if the worker is to be put on probation.
	Probation bool
	// Restored is set if the worker's probation ends.
	Restored bool
	// StopJob is set if the job is to be stopped.
	StopJob bool
	// Reason is the cause of Probation or StopJob, for people.
	Reason string
}

type worker struct {
	failures       map[string]time.Duration // time of the last failure by job, since the last success
	onProbation    bool
	trialSuccesses int
	trialFailures  int
	nextTrial      time.Duration
}

type job struct {
	failures    map[string]time.Duration // time of the last failure by worker
	lastFailure time.Duration
	stopped     bool
}

// Monitor decides from the results of tasks which workers go on probation and
// which jobs are stopped. It is not safe for concurrent use.
type Monitor struct {
	policy      Policy
	random      func() float64
	workers     map[string]*worker
	jobs        map[string]*job
	onProbation int // workers
	workerCount int
	lastSweep   time.Duration
}

// NewMonitor returns a monitor without workers and jobs. random returns numbers
// in [0, 1), for the jitter of delays.
func NewMonitor(policy Policy, random func() float64) *Monitor {
	return &Monitor{policy: policy, random: random, workers: map[string]*worker{}, jobs: map[string]*job{}}
}

// SetWorkerCount sets the number of workers from which MaxOnProbation is
// computed.
func (m *Monitor) SetWorkerCount(n int) { m.workerCount = n }

// MaxOnProbation returns how many workers may be on probation at a time.
func (m *Monitor) MaxOnProbation() int {
	return max(1, int(math.Floor(m.policy.MaxProbationFraction*float64(m.workerCount))))
}

// ProbationCount returns the number of workers on probation.
func (m *Monitor) ProbationCount() int { return m.onProbation }

func (m *Monitor) worker(id string) *worker {
	w, known := m.workers[id]
	if !known {
		w = &worker{failures: map[string]time.Duration{}}
		m.workers[id] = w
	}
	return w
}

// Succeeded records that a task of a job succeeded on a worker. Earlier failures
// of the worker and of the job no longer count; a stopped job stays stopped.
func (m *Monitor) Succeeded(workerID, jobID string) Verdict {
	if j, known := m.jobs[jobID]; known && !j.stopped {
		delete(m.jobs, jobID)
	}
	w, known := m.workers[workerID]
	if !known {
		return Verdict{}
	}
	clear(w.failures)
	if !w.onProbation {
		return Verdict{}
	}
	w.trialSuccesses++
	if w.trialSuccesses < m.policy.TrialsToRestore {
		return Verdict{}
	}
	m.onProbation--
	delete(m.workers, workerID)
	return Verdict{Restored: true}
}

// Failed records that a task of a job failed on a worker. It puts no worker on
// probation while MaxOnProbation workers are.
func (m *Monitor) Failed(workerID, jobID string, now time.Duration) Verdict {
	m.sweep(now)
	w := m.worker(workerID)
	if w.onProbation {
		// The worker may be the cause, so the failure is not counted against the job.
		w.trialSuccesses = 0
		w.trialFailures++
		w.nextTrial = now + m.policy.TrialBackoff.Delay(w.trialFailures, m.random())
		return Verdict{}
	}
	j, known := m.jobs[jobID]
	if !known {
		j = &job{failures: map[string]time.Duration{}}
		m.jobs[jobID] = j
	}
	j.lastFailure = now
	if j.stopped {
		return Verdict{}
	}
	w.failures[jobID] = now
	j.failures[workerID] = now
	if m.recentFailures(w.failures, now) >= m.policy.ProbationAfterJobs && m.onProbation < m.MaxOnProbation() {
		m.startProbation(workerID, w, now)
		return Verdict{Probation: true, Reason: fmt.Sprintf("tasks of %d different jobs failed in a row", m.policy.ProbationAfterJobs)}
	}
	if m.recentFailures(j.failures, now) >= m.policy.StopAfterWorkers {
		m.stopJob(jobID, j)
		return Verdict{StopJob: true, Reason: fmt.Sprintf("failed on %d different workers", m.policy.StopAfterWorkers)}
	}
	return Verdict{}
}

// startProbation puts a worker on probation. Failures on this worker no longer
// count against the jobs.
func (m *Monitor) startProbation(id string, w *worker, now time.Duration) {
	w.onProbation = true
	w.trialSuccesses = 0
	w.trialFailures = 1
	w.nextTrial = now + m.policy.TrialBackoff.Delay(w.trialFailures, m.random())
	m.onProbation++
	for jobID := range w.failures {
		if j, known := m.jobs[jobID]; known {
			delete(j.failures, id)
		}
	}
	clear(w.failures)
}

// stopJob marks a job as stopped. Its failures no longer count against the
// workers on which they happened.
func (m *Monitor) stopJob(id string, j *job) {
	j.stopped = true
	for workerID := range j.failures {
		if w, known := m.workers[workerID]; known {
			delete(w.failures, id)
		}
	}
	clear(j.failures)
}

// recentFailures drops failures older than the window and returns how many
// remain.
func (m *Monitor) recentFailures(failures map[string]time.Duration, now time.Duration) int {
	for id, at := range failures {
		if now-at >= m.policy.FailureWindow {
			delete(failures, id)
		}
	}
	return len(failures)
}

// sweep drops workers and jobs without recent failures. It runs at most once per
// window.
func (m *Monitor) sweep(now time.Duration) {
	if now-m.lastSweep < m.policy.FailureWindow {
		return
	}
	m.lastSweep = now
	for id, w := range m.workers {
		if !w.onProbation && m.recentFailures(w.failures, now) == 0 {
			delete(m.workers, id)
		}
	}
	for id, j := range m.jobs {
		if now-j.lastFailure >= m.policy.FailureWindow {
			delete(m.jobs, id)
		}
	}
}

// TrialDue reports whether a worker on probation may run a trial task now. If
// so, it schedules the next trial after a further delay, for the case that this
// one does not end; a failure schedules it anew.
func (m *Monitor) TrialDue(workerID string, now time.Duration) bool {
	w, known := m.workers[workerID]
	if !known || !w.onProbation || now < w.nextTrial {
		return false
	}
	w.nextTrial = now + m.policy.TrialBackoff.Delay(w.trialFailures, m.random())
	return true
}

// RemoveWorker drops the records of a worker and ends its probation, if any. It is
// for a worker that was removed or restarted as a new incarnation, or whose probation
// was ended or not stored.
func (m *Monitor) RemoveWorker(workerID string) {
	if w, known := m.workers[workerID]; known && w.onProbation {
		m.onProbation--
	}
	delete(m.workers, workerID)
}
