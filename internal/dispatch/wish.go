package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
)

// hopeless jobs have waited this many times their objective and go last.
const hopeless = 3

// wish is a step that has tasks to start.
type wish struct {
	key   cell.StepKey
	job   *cell.Job
	step  *cell.Step
	run   *cell.StepOccurrence
	queue *cell.Queue
	// rest is the expected duration of this step and the longest chain after it.
	rest time.Duration
	// deadline is when the job is meant to be complete.
	deadline time.Duration
	// brief work is placed apart from other work, under short leases.
	brief bool
	// late jobs cannot be complete in time any more, hopeless ones earn nothing.
	late     bool
	hopeless bool
	// advice is what is known of the step's workers, nil if nothing is.
	advice *stepAdvice
	// failedOn are the workers on which tasks of the job have failed.
	failedOn map[string]bool
}

// wishes returns the ready steps in the order in which they are served.
func (t *term) wishes(v *cell.View, now time.Duration) []*wish {
	var wishes []*wish
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, run := range v.Ready() {
		j := v.Job(key.Job)
		q := v.Queue(j.Queue)
		if q == nil {
			continue // dropped from the configuration; it may come back
		}
		w := &wish{key: key, job: j, step: &j.Steps[key.Step], run: run, queue: q, failedOn: t.speeds.failedOn(key.Job)}
		rest := t.chains(j, q)
		times := t.timesOf(key, j, q, rest, now)
		w.rest = rest[key.Step]
		w.brief = times.brief()
		w.deadline = times.arrived + times.objective
		w.late = now+w.rest > w.deadline
		w.hopeless = now > times.arrived+hopeless*times.objective && !w.step.Daemon
		wishes = append(wishes, w)
	}
	ended := func(id string) bool {
		j := v.Job(id)
		return j == nil || j.State != cell.Active
	}
	maps.DeleteFunc(t.times, func(o cell.OccurrenceKey, _ jobTimes) bool { return ended(o.Job) })
	maps.DeleteFunc(t.preempted, func(k cell.StepKey, _ time.Duration) bool { return ended(k.Job) })
	maps.DeleteFunc(t.gaveWay, func(k cell.TaskKey, _ int) bool { return ended(k.Job) })
	t.speeds.forget(ended)
	// A task that starts again later asks anew: other workers have room by then.
	t.advice.keepOnly(v.Ready())
	slices.SortFunc(wishes, func(a, b *wish) int {
		// Services go first: they are down while they wait.
		return cmp.Or(first(a.step.Daemon, b.step.Daemon), first(!a.hopeless, !b.hopeless), cmp.Compare(a.queue.Priority, b.queue.Priority),
			first(!a.step.Gang || !a.late, !b.step.Gang || !b.late), cmp.Compare(a.job.Accepted, b.job.Accepted), cmp.Compare(a.key.Step, b.key.Step))
	})
	return wishes
}

// timesOf returns the times of an occurrence of an active job, with the objective
// by the newest estimates. The caller holds the lock.
func (t *term) timesOf(k cell.StepKey, j *cell.Job, q *cell.Queue, rest []time.Duration, now time.Duration) jobTimes {
	times, known := t.times[k.OccurrenceKey()]
	if !known {
		times.arrived = now
	}
	times.objective = time.Duration(float64(slices.Max(rest))*q.Stretch) + time.Duration(q.ObjectiveMS)*time.Millisecond
	times.lasting = slices.ContainsFunc(j.Steps, func(s cell.Step) bool { return s.Daemon })
	t.times[k.OccurrenceKey()] = times
	return times
}

// first orders what is true before what is not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// chains returns, for each step of a job, the expected duration of the longest
// chain of steps that begins with it.
func (t *term) chains(j *cell.Job, q *cell.Queue) []time.Duration {
	rest := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		rest[i] += t.speeds.expected(q.Name, j.Steps[i].EstimateMS)
		for _, before := range j.Steps[i].DependsOn {
			rest[before] = max(rest[before], rest[i])
		}
	}
	return rest
}
