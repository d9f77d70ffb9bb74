package cell

import (
	"math"
	"slices"

	"laburnumgrade/internal/structs"
)

// unlimited is the limit of a dimension without an upper limit. It leaves room to add
// and subtract amounts without an overflow.
const unlimited = math.MaxInt64 / 4

// headroom returns the upper limit of a configured or former team minus the resources of its
// attempts in flight.
func (s *Store) headroom(team string) structs.Resources {
	limit := structs.Resources{}
	if t := s.configIndex.teamsByName[team]; t != nil {
		limit = t.Limit
	} else if f := s.FormerTeams[team]; f != nil {
		limit = f.Limit
	}
	if limit.MilliCPU == 0 {
		limit.MilliCPU = unlimited
	}
	if limit.MemoryBytes == 0 {
		limit.MemoryBytes = unlimited
	}
	if limit.Accelerators == 0 {
		limit.Accelerators = unlimited
	}
	return limit.Sub(s.teamUsage[team])
}

// start commits the placements that the state allows. It returns a []bool that states
// for each placement whether it was committed.
func (s *Store) start(c *Start) any {
	accepted := make([]bool, len(c.Placements))
	for from := 0; from < len(c.Placements); {
		to := from + 1
		for to < len(c.Placements) && s.sameGang(&c.Placements[from], &c.Placements[to]) {
			to++
		}
		s.startAllOrNone(c.Placements[from:to], accepted[from:to])
		from = to
	}
	return accepted
}

// sameGang reports whether two placements belong to the same occurrence of a gang.
func (s *Store) sameGang(a, b *Placement) bool {
	if a.Task.StepKey != b.Task.StepKey {
		return false
	}
	j := s.Jobs[a.Task.Job]
	return j != nil && a.Task.Step < len(j.Steps) && j.Steps[a.Task.Step].Gang
}

// startAllOrNone commits either all of the placements, which belong to one step, or
// none. A gang starts only as a whole and only when no attempt of an earlier run is in
// flight.
func (s *Store) startAllOrNone(placements []Placement, accepted []bool) {
	j := s.Jobs[placements[0].Task.Job]
	if j == nil || j.State != Active || j.stepOccurrence(placements[0].Task.StepKey) == nil {
		return
	}
	step, occurrence := &j.Steps[placements[0].Task.Step], j.stepOccurrence(placements[0].Task.StepKey)
	if step.Gang && (len(placements) != step.Count || occurrence.InFlight > 0) {
		return
	}
	for i := range placements {
		if !s.canStart(j, step, occurrence, &placements[i]) {
			// Undo the placements that were committed before the refused one.
			for k := range i {
				s.releaseAttempt(s.Workers[placements[k].Worker], placements[k].Task)
				occurrence.Tasks[placements[k].Task.Index].InFlight = false
			}
			return
		}
		s.commitPlacement(j, step, occurrence, &placements[i])
	}
	for i := range placements {
		accepted[i] = true
		task := &occurrence.Tasks[placements[i].Task.Index]
		task.Run = placements[i].Run
		occurrence.Run = max(occurrence.Run, placements[i].Run)
	}
	j.Started = true
	s.refreshReadyStep(j, placements[0].Task.StepKey)
}

// canStart reports whether the state allows a placement: the worker is usable and is the
// incarnation that was planned for, the task is neither done nor in flight, the run
// number is new, the dependencies are done, and the worker's capacity and the team's
// limit suffice.
func (s *Store) canStart(j *Job, step *Step, occurrence *StepOccurrence, p *Placement) bool {
	w := s.Workers[p.Worker]
	if w == nil || !w.Usable() || w.Born != p.Born || p.Task.Index < 0 || p.Task.Index >= len(occurrence.Tasks) {
		return false
	}
	task := &occurrence.Tasks[p.Task.Index]
	if task.Done || task.InFlight || p.Run <= task.Run || p.Run <= occurrence.Run && step.Gang || !j.dependenciesDone(p.Task.StepKey) {
		return false
	}
	if !s.suits(w, j, step) {
		return false
	}
	if step.MaxPerWorker > 0 && w.CountTasks(p.Task.StepKey) >= step.MaxPerWorker {
		return false
	}
	return step.Claim().Fits(w.Free()) && step.Size.Fits(s.headroom(j.Team))
}

// suits reports whether tasks of a step may run on a worker of its kind.
func (s *Store) suits(w *Worker, j *Job, step *Step) bool {
	q := s.queueOf(j)
	return q != nil && q.Service == w.Service && w.HasLabel(step.Label)
}

// Suits reports whether an attempt that is committed to a worker may run on it. Only one whose
// start order was for an earlier incarnation may be on a worker of another kind.
func (v *View) Suits(w *Worker, key TaskKey) bool {
	j := v.s.Jobs[key.Job]
	if !w.Attempts[key].Inherited || j == nil || v.s.queueOf(j) == nil {
		return true
	}
	return v.s.suits(w, j, &j.Steps[key.Step])
}

// commitPlacement charges an attempt to its worker and its team.
func (s *Store) commitPlacement(j *Job, step *Step, occurrence *StepOccurrence, p *Placement) {
	w := s.Workers[p.Worker]
	crashes := min(math.MaxUint8, occurrence.Tasks[p.Task.Index].PossibleCrashes())
	a := Attempt{Run: p.Run, Team: j.Team, Size: step.Size, Filler: step.Filler, Crashes: uint8(crashes)}
	w.Attempts[p.Task] = a
	w.addCommitted(&a)
	s.teamUsage[j.Team] = s.teamUsage[j.Team].Add(a.Size)
	occurrence.Tasks[p.Task.Index].InFlight = true
	occurrence.InFlight++
}

// releaseAttempt removes an attempt from its worker and its team. It returns false if
// the worker has no such attempt.
func (s *Store) releaseAttempt(w *Worker, key TaskKey) (Attempt, bool) {
	a, ok := w.Attempts[key]
	if !ok {
		return a, false
	}
	delete(w.Attempts, key)
	w.removeCommitted(&a)
	s.teamUsage[a.Team] = s.teamUsage[a.Team].Sub(a.Size)
	if j := s.Jobs[key.Job]; j != nil {
		if occurrence := j.stepOccurrence(key.StepKey); occurrence != nil {
			occurrence.InFlight--
		}
	}
	return a, true
}

// recordEnds records ends of attempts on a worker. Ends from an earlier incarnation are
// ignored.
func (s *Store) recordEnds(c *RecordEnds) any {
	w := s.Workers[c.Worker]
	if w == nil {
		return nil
	}
	s.recordUnanswered(w, c)
	if w.Born != c.Born {
		return nil
	}
	for _, started := range c.Started {
		if a, ok := w.Attempts[started.Task]; ok && a.Run == started.Run {
			a.Started = true
			w.Attempts[started.Task] = a
			w.changes++
			s.markBegun(started.Task.Job)
		}
	}
	for _, settled := range c.Settled {
		if a, ok := w.Attempts[settled.Task]; ok && a.Run == settled.Run {
			a.Started = false
			w.Attempts[settled.Task] = a
			w.changes++
		}
	}
	for _, sound := range c.Sound {
		s.forgetCrashes(w, sound)
	}
	for i := range c.Ends {
		e := &c.Ends[i]
		if a, ok := w.Attempts[e.Task]; ok && a.Run == e.Run && e.Outcome != EndedUnstarted {
			s.markBegun(e.Task.Job)
		}
		s.recordEnd(w, e)
	}
	w.LastEnd = max(w.LastEnd, c.LastEnd)
	if c.Alive {
		s.forgetLosses(w)
	}
	if c.EarlierOrdersOver {
		s.forgetEarlierOrders(w)
	}
	return nil
}

// recordUnanswered records which start orders had no answer, and that none of those so far may be
// carried out any more. Both concern all incarnations under the ID.
func (s *Store) recordUnanswered(w *Worker, c *RecordEnds) {
	for _, u := range c.Unanswered {
		w.UnansweredStarts++
		if a, ok := w.Attempts[u.Task]; ok && a.Run == u.Run {
			a.Unanswered = true
			w.Attempts[u.Task] = a
			w.changes++
		}
	}
	if c.SettledStarts == 0 || c.SettledStarts < w.UnansweredStarts {
		return
	}
	w.SettledStarts = w.UnansweredStarts
	for key, a := range w.Attempts {
		if a.Unanswered {
			a.Unanswered = false
			w.Attempts[key] = a
			w.changes++
		}
	}
}

// forgetEarlierOrders records that no order for an earlier incarnation has an effect on a worker
// any more. The attempts there are those that it has listed.
func (s *Store) forgetEarlierOrders(w *Worker) {
	w.Reborn = false
	for key, a := range w.Attempts {
		a.Inherited = false
		w.Attempts[key] = a
	}
	w.changes++
}

// markBegun records that an attempt of a job has started.
func (s *Store) markBegun(job string) {
	if j := s.Jobs[job]; j != nil {
		j.Begun = true
	}
}

// recordEnd records the end of an attempt. An end whose attempt is not committed to the
// worker is ignored.
func (s *Store) recordEnd(w *Worker, e *AttemptEnd) {
	if a, ok := w.Attempts[e.Task]; !ok || a.Run != e.Run {
		return
	}
	s.releaseAttempt(w, e.Task)
	j := s.Jobs[e.Task.Job]
	if j == nil || j.State != Active {
		return
	}
	occurrence := j.stepOccurrence(e.Task.StepKey)
	task := &occurrence.Tasks[e.Task.Index]
	task.InFlight = false
	if e.Checkpoint != "" {
		occurrence.saveCheckpoint(&j.Steps[e.Task.Step], task, e.Checkpoint)
	}
	switch e.Outcome {
	case EndedDone:
		s.recordSuccess(j, occurrence, e)
	case EndedFailed:
		s.recordFailure(j, occurrence, e)
	}
	if j.State == Active {
		s.refreshReadyStep(j, e.Task.StepKey)
	}
}

// saveCheckpoint stores a checkpoint of a task. A checkpoint of one member of a gang
// is valid for all members.
func (o *StepOccurrence) saveCheckpoint(step *Step, task *Task, checkpoint string) {
	task.Checkpoint = checkpoint
	if !step.Gang {
		return
	}
	for i := range o.Tasks {
		o.Tasks[i].Checkpoint = checkpoint
	}
}

// recordSuccess marks a task, or its whole gang, as done, and completes the occurrence
// and the job if this was the last one.
func (s *Store) recordSuccess(j *Job, occurrence *StepOccurrence, e *AttemptEnd) {
	step := &j.Steps[e.Task.Step]
	if step.Daemon || occurrence.Done == len(occurrence.Tasks) {
		return // a daemon is never done; other members of a gang may end after it is done
	}
	if step.Gang {
		// A gang is done as a whole when one member of its newest run is done.
		if e.Run == occurrence.Run {
			for i := range occurrence.Tasks {
				occurrence.markDone(i)
			}
		}
	} else {
		occurrence.markDone(e.Task.Index)
	}
	if occurrence.Done < len(occurrence.Tasks) {
		return
	}
	for i := range j.Occurrences[e.Task.Occurrence] {
		if stepOccurrence := &j.Occurrences[e.Task.Occurrence][i]; stepOccurrence.Done < len(stepOccurrence.Tasks) {
			s.refreshReadySteps(j)
			return
		}
	}
	j.CompletedOccurrences++
	if j.CompletedOccurrences >= j.occurrenceCount() {
		s.endJob(j, Complete)
	}
}

// markDone marks a task as done.
func (o *StepOccurrence) markDone(i int) {
	if !o.Tasks[i].Done {
		o.Tasks[i].Done = true
		o.Done++
	}
}

// recordFailure counts a failure, and fails the job if it has reached its maximum.
// Failures of daemons are not counted.
func (s *Store) recordFailure(j *Job, occurrence *StepOccurrence, e *AttemptEnd) {
	step := &j.Steps[e.Task.Step]
	if step.Daemon {
		return
	}
	if step.Gang {
		// Several members may fail in the same run of the gang; count the run once.
		if e.Run != occurrence.FailedRun {
			occurrence.FailedRun = e.Run
			occurrence.Failures++
		}
	} else {
		occurrence.Tasks[e.Task.Index].Failures++
	}
	if occurrence.failureCount() >= s.maxFailures(j) {
		s.endJob(j, Failed)
	}
}

// failureCount returns the number of failures of the gang or, for other steps, of the
// task with the most failures.
func (o *StepOccurrence) failureCount() int {
	n := o.Failures
	for i := range o.Tasks {
		n = max(n, int(o.Tasks[i].Failures))
	}
	return n
}

// maxFailures returns the number of failures of a task at which the job fails, at
// least 1. If the job's queue was removed from the configuration, it is the value that
// the queue had when it accepted the job.
func (s *Store) maxFailures(j *Job) int {
	if q := s.queueOf(j); q != nil {
		return max(1, q.MaxFailures)
	}
	return max(1, j.MaxFailures)
}

// failExhaustedJobs fails the jobs that have reached the MaxFailures of a new
// configuration.
func (s *Store) failExhaustedJobs() {
	for _, j := range s.Jobs {
		if j.State == Active && j.exhausted(s.maxFailures(j)) {
			s.endJob(j, Failed)
		}
	}
}

// exhausted reports whether a task or gang of the job has failed maxFailures times.
func (j *Job) exhausted(maxFailures int) bool {
	for _, steps := range j.Occurrences {
		for i := range steps {
			if steps[i].failureCount() >= maxFailures {
				return true
			}
		}
	}
	return false
}

// expireLease ends all attempts on an incarnation whose lease has expired. The worker may
// have crashed or only be cut off.
func (s *Store) expireLease(c *ExpireLease) any {
	if w := s.Workers[c.Worker]; w != nil && w.Born == c.Born {
		for _, id := range c.Begun {
			s.markBegun(id)
		}
		s.loseAttempts(w, c.Started, c.RanOut, func(a StartedAttempt) bool {
			return !c.Selected || slices.Contains(c.Ended, a)
		})
		for _, inherited := range c.Inherited {
			if a, ok := w.Attempts[inherited.Task]; ok && a.Run == inherited.Run {
				a.Inherited = true
				w.Attempts[inherited.Task] = a
				w.changes++
			}
		}
	}
	return nil
}

// endAllAttempts ends all attempts on a worker with the outcome EndedEarly.
func (s *Store) endAllAttempts(w *Worker) {
	for key, a := range w.Attempts {
		s.recordEnd(w, &AttemptEnd{Task: key, Run: a.Run, Outcome: EndedEarly})
	}
}
