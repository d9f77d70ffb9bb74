package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
)

// overdueFactor is the multiple of its objective after which a job counts as
// overdue and is served last.
const overdueFactor = 3

// readyStep is a step that has tasks to start.
type readyStep struct {
	key        cell.StepKey
	job        *cell.Job
	step       *cell.Step
	occurrence *cell.StepOccurrence
	queue      *cell.Queue
	// remaining is the expected duration of this step and the longest chain of
	// steps that depend on it.
	remaining time.Duration
	// deadline is when the job should be complete to meet its objective.
	deadline time.Duration
	// shortLease is set if the job needs a short lease; its tasks are placed apart
	// from others.
	shortLease bool
	// late is set if the job can no longer meet its deadline, overdue if it missed
	// it by so much that it is served last.
	late    bool
	overdue bool
	// overtaken is set for a gang that is late, so that others come first. A step whose
	// advice has been requested without a break since before it was late or overdue keeps
	// its place: if others overtook it, its tickets would expire.
	overtaken bool
	// advice is the advice for the step, nil if there is none.
	advice *stepAdvice
	// failedOn holds the workers on which tasks of the job have failed.
	failedOn map[string]bool
	// waitsFor is set by the plan.
	waitsFor waitReason
}

// readySteps returns the ready steps in the order in which they are served, and
// drops the data of jobs that have ended.
func (t *term) readySteps(v *cell.View, now time.Duration) []*readyStep {
	var readySteps []*readyStep
	inService := t.advice.stepsInService(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, occurrence := range v.Ready() {
		j := v.Job(key.Job)
		q := v.Queue(j.Queue)
		if q == nil {
			continue // the queue is not in the configuration now; a later one may have it
		}
		rs := &readyStep{
			key:        key,
			job:        j,
			step:       &j.Steps[key.Step],
			occurrence: occurrence,
			queue:      q,
			failedOn:   t.stats.failedOn(key.Job),
		}
		rest := t.remainingDurations(j, q)
		times := t.timesOf(key, j, q, rest, now)
		rs.remaining = rest[key.Step]
		rs.shortLease = times.needsShortLease()
		rs.deadline = times.firstSeen + times.objective
		rs.late = now+rs.remaining > rs.deadline
		since, served := inService[key]
		if !served {
			since = now
		}
		rs.overtaken = rs.step.Gang && since+rs.remaining > rs.deadline
		rs.overdue = since > times.firstSeen+overdueFactor*times.objective && !rs.step.Daemon
		readySteps = append(readySteps, rs)
	}
	ended := func(id string) bool {
		j := v.Job(id)
		return j == nil || j.State != cell.Active
	}
	maps.DeleteFunc(t.times, func(o cell.OccurrenceKey, _ jobTiming) bool { return ended(o.Job) })
	maps.DeleteFunc(t.lastPreemption, func(k cell.StepKey, _ time.Duration) bool { return ended(k.Job) })
	maps.DeleteFunc(t.preemptions, func(k cell.TaskKey, _ int) bool { return ended(k.Job) })
	t.stats.forget(ended)
	// A task that starts again later requests new advice, since by then other
	// workers have free capacity.
	t.advice.retainSteps(v.Ready())
	slices.SortFunc(readySteps, func(a, b *readyStep) int {
		// Daemon steps come first, since their service is down while they wait.
		return cmp.Or(trueFirst(a.step.Daemon, b.step.Daemon), trueFirst(!a.overdue, !b.overdue), cmp.Compare(a.queue.Priority, b.queue.Priority),
			trueFirst(!a.overtaken, !b.overtaken), cmp.Compare(a.job.Accepted, b.job.Accepted), cmp.Compare(a.key.Step, b.key.Step))
	})
	return readySteps
}

// timesOf returns and records the timing of an occurrence of an active job, with
// the objective from the newest estimates. The caller holds t.mu.
func (t *term) timesOf(k cell.StepKey, j *cell.Job, q *cell.Queue, rest []time.Duration, now time.Duration) jobTiming {
	times, known := t.times[k.OccurrenceKey()]
	if !known {
		times.firstSeen = now
	}
	times.objective = time.Duration(float64(slices.Max(rest))*q.Stretch) + time.Duration(q.ObjectiveMS)*time.Millisecond
	times.daemon = slices.ContainsFunc(j.Steps, func(s cell.Step) bool { return s.Daemon })
	t.times[k.OccurrenceKey()] = times
	return times
}

// trueFirst is a comparison function that orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// remainingDurations returns, for each step of a job, the expected duration of the
// longest chain of steps that starts with it.
func (t *term) remainingDurations(j *cell.Job, q *cell.Queue) []time.Duration {
	rest := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		rest[i] += t.stats.expected(q.Name, j.Steps[i].EstimateMS)
		for _, dependency := range j.Steps[i].DependsOn {
			rest[dependency] = max(rest[dependency], rest[i])
		}
	}
	return rest
}
