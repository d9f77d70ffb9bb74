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

// endedDataInterval is how often the data of jobs that have ended is dropped.
const endedDataInterval = time.Second

// timingBatch is the number of steps that are timed while t.mu is held: readers of the
// state wait for it, and commits wait for them.
const timingBatch = 128

// readyStep is a step that has tasks to start.
type readyStep struct {
	key cell.StepKey
	// job is shared with the state; only its identity and its submission, which do not
	// change, may be read.
	job  *cell.Job
	step *cell.Step
	// team is the job's team; a configuration may change it.
	team string
	// occurrence is a copy, but a gang's tasks, which start together, are shared with the
	// state; only their number may be read.
	occurrence *cell.StepOccurrence
	queue      *cell.Queue
	// remaining is the expected duration of this step and the longest chain of
	// steps that depend on it.
	remaining time.Duration
	// duration is the expected duration of this step alone.
	duration time.Duration
	// deadline is when the job should be complete to meet its objective.
	deadline time.Duration
	// spare is what the objective of the job leaves beside the expected duration of what
	// remains.
	spare time.Duration
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
	// crashed is the result of crashedTasks for the step. held contains those of them that
	// do not start now.
	crashed map[int]crashedTask
	held    map[int]bool
	// ignoresIsolation is set if the step has waited too long for workers on which no
	// suspects of other jobs run.
	ignoresIsolation bool
	// avoidsCold is set if the step does not use workers that are cold.
	avoidsCold bool
	// waitsFor is set by the plan.
	waitsFor waitReason
}

// allQueues selects the ready steps of all queues.
func allQueues(*cell.Queue) bool { return true }

// copyReadySteps returns the ready steps of the selected queues, with copies of their
// occurrences, in no order.
func copyReadySteps(v *cell.View, selected func(*cell.Queue) bool) []*readyStep {
	ready := v.Ready()
	list := make([]*readyStep, 0, len(ready))
	taskCount := 0
	for key, occurrence := range ready {
		j := v.Job(key.Job)
		q := v.QueueOf(j)
		if q == nil || !selected(q) {
			continue // without its queue in the configuration; a later one may have it
		}
		both := &struct {
			step       readyStep
			occurrence cell.StepOccurrence
		}{occurrence: *occurrence}
		rs, occurrenceCopy := &both.step, &both.occurrence
		*rs = readyStep{key: key, job: j, team: j.Team, step: &j.Steps[key.Step], occurrence: occurrenceCopy, queue: q, crashed: crashedTasks(occurrence)}
		list = append(list, rs)
		if !rs.step.Gang {
			taskCount += len(occurrence.Tasks)
		}
	}
	tasks := make([]cell.Task, 0, taskCount)
	for _, rs := range list {
		if !rs.step.Gang {
			first := len(tasks)
			tasks = append(tasks, rs.occurrence.Tasks...)
			rs.occurrence.Tasks = tasks[first:len(tasks):len(tasks)]
		}
	}
	return list
}

// completeReadySteps adds the timing and the failures of the jobs to ready steps, and sorts
// the steps in the order in which they are served.
func (t *term) completeReadySteps(readySteps []*readyStep, now time.Duration, use *processorUse) {
	t.stats.addFailures(readySteps)
	inService := t.advice.stepsInService(now)
	ratios := t.stats.queueRatios()
	for batch := range slices.Chunk(readySteps, timingBatch) {
		t.mu.Lock()
		for _, rs := range batch {
			rest := remainingDurations(rs.job, ratios.of(rs.queue.Name))
			times := t.timesOf(rs.key, rs.job, rs.queue, rest, now)
			rs.remaining = rest[rs.key.Step]
			rs.duration = expectedDuration(rs.step.EstimateMS, ratios.of(rs.queue.Name))
			rs.shortLease = times.needsShortLease()
			rs.deadline = times.firstSeen + times.objective
			rs.spare = max(0, times.objective-rs.remaining)
			rs.late = now+rs.remaining > rs.deadline
			since, served := inService[rs.key]
			if !served {
				since = now
			}
			rs.overtaken = rs.step.Gang && since+rs.remaining > rs.deadline
			rs.overdue = since > times.firstSeen+overdueFactor*times.objective && !rs.step.Daemon
		}
		t.mu.Unlock()
		use.did(len(batch), nil)
		use.yield()
	}
	sortByRank(readySteps)
}

// sortByRank sorts ready steps in the order in which they are served.
func sortByRank(readySteps []*readyStep) {
	slices.SortFunc(readySteps, func(a, b *readyStep) int {
		// Daemon steps come first, since their service is down while they wait. Within a
		// priority the step comes first that must start first to be in time.
		return cmp.Or(trueFirst(a.step.Daemon, b.step.Daemon), trueFirst(!a.overdue, !b.overdue), cmp.Compare(a.queue.Priority, b.queue.Priority),
			trueFirst(!a.overtaken, !b.overtaken), cmp.Compare(a.deadline-a.remaining, b.deadline-b.remaining), cmp.Compare(a.job.Accepted, b.job.Accepted), cmp.Compare(a.key.Step, b.key.Step))
	})
}

// forgetEndedData drops the data of jobs and workers that have ended, once every endedDataInterval.
func (t *term) forgetEndedData(now time.Duration) {
	if now-t.endedDataForgotten < endedDataInterval {
		return
	}
	t.endedDataForgotten = now
	t.leader.Store.View(func(v *cell.View) {
		ended := func(id string) bool {
			j := v.Job(id)
			return j == nil || j.State != cell.Active
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		maps.DeleteFunc(t.times, func(o cell.OccurrenceKey, _ jobTiming) bool { return ended(o.Job) })
		maps.DeleteFunc(t.lastPreemption, func(k cell.StepKey, _ time.Duration) bool { return ended(k.Job) })
		maps.DeleteFunc(t.preemptions, func(k cell.TaskKey, _ int) bool { return ended(k.Job) })
		maps.DeleteFunc(t.stalls, func(k cell.TaskKey, _ taskStalls) bool { return ended(k.Job) })
		t.stats.forget(ended)
		t.forgetCold(v)
	})
}

// timesOf returns and records the timing of an occurrence of an active job, with
// the objective from the newest estimates. The caller holds t.mu.
func (t *term) timesOf(k cell.StepKey, j *cell.Job, q *cell.Queue, rest []time.Duration, now time.Duration) jobTiming {
	times, known := t.times[k.OccurrenceKey()]
	if !known {
		times.firstSeen = t.acceptedAt(j, now)
	}
	times.objective = objectiveOf(slices.Max(rest), q)
	times.daemon = slices.ContainsFunc(j.Steps, func(s cell.Step) bool { return s.Daemon })
	t.times[k.OccurrenceKey()] = times
	return times
}

// acceptedAt returns when a job that this leader has not seen before was accepted. Another
// leader may have accepted it: if its time counted anew, a new leader would serve all that was
// late before jobs that can still be in time.
func (t *term) acceptedAt(j *cell.Job, now time.Duration) time.Duration {
	if j.AcceptedMS == 0 || j.Schedule.Times > 0 {
		return now
	}
	return now - time.Duration(max(0, t.wall.unixMS(now)-j.AcceptedMS))*time.Millisecond
}

// isOverdue reports whether a job has missed its objective by so much that it is served last.
func (j jobTiming) isOverdue(now time.Duration) bool {
	return !j.daemon && j.objective > 0 && now > j.firstSeen+overdueFactor*j.objective
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
	return remainingDurations(j, t.stats.queueRatioOf(q.Name))
}

// remainingDurations is the method of term for a known ratio of real to estimated run
// times.
func remainingDurations(j *cell.Job, ratio float64) []time.Duration {
	rest := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		rest[i] += expectedDuration(j.Steps[i].EstimateMS, ratio)
		for _, dependency := range j.Steps[i].DependsOn {
			rest[dependency] = max(rest[dependency], rest[i])
		}
	}
	return rest
}
