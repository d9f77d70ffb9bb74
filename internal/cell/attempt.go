package cell

import (
	"math"

	"laburnumgrade/internal/structs"
)

// unlimited stands for a dimension without an upper limit.
const unlimited = math.MaxInt64 / 4

// headroom returns what the team may still start.
func (s *Store) headroom(team string) structs.Resources {
	t := s.index.teams[team]
	limit := structs.Resources{}
	if t != nil {
		limit = t.Limit
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
	return limit.Sub(s.usage[team])
}

// start commits the placements that the state allows and returns a []bool with
// which of them it does.
func (s *Store) start(c *Start) any {
	accepted := make([]bool, len(c.Placements))
	for from := 0; from < len(c.Placements); {
		to := from + 1
		for to < len(c.Placements) && s.sameGang(&c.Placements[from], &c.Placements[to]) {
			to++
		}
		s.startTogether(c.Placements[from:to], accepted[from:to])
		from = to
	}
	return accepted
}

// sameGang reports whether two placements stand or fall together.
func (s *Store) sameGang(a, b *Placement) bool {
	if a.Task.StepKey != b.Task.StepKey {
		return false
	}
	j := s.Jobs[a.Task.Job]
	return j != nil && a.Task.Step < len(j.Steps) && j.Steps[a.Task.Step].Gang
}

// startTogether commits all of the placements or none.
func (s *Store) startTogether(placements []Placement, accepted []bool) {
	j := s.Jobs[placements[0].Task.Job]
	if j == nil || j.State != Active || j.stepRun(placements[0].Task.StepKey) == nil {
		return
	}
	step, run := &j.Steps[placements[0].Task.Step], j.stepRun(placements[0].Task.StepKey)
	if step.Gang && (len(placements) != step.Count || run.InFlight > 0) {
		return
	}
	for i := range placements {
		if !s.mayStart(j, step, run, &placements[i]) {
			for k := range i {
				s.release(s.Workers[placements[k].Worker], placements[k].Task)
				run.Tasks[placements[k].Task.Index].InFlight = false
			}
			return
		}
		s.commit(j, step, run, &placements[i])
	}
	for i := range placements {
		accepted[i] = true
		task := &run.Tasks[placements[i].Task.Index]
		task.Run = placements[i].Run
		run.Run = max(run.Run, placements[i].Run)
	}
	j.Started = true
	s.refreshStep(j, placements[0].Task.StepKey)
}

// mayStart checks one placement against the state.
func (s *Store) mayStart(j *Job, step *Step, run *StepOccurrence, p *Placement) bool {
	w := s.Workers[p.Worker]
	if w == nil || !w.Usable() || w.Born != p.Born || p.Task.Index < 0 || p.Task.Index >= len(run.Tasks) {
		return false
	}
	task := &run.Tasks[p.Task.Index]
	if task.Done || task.InFlight || p.Run <= task.Run || p.Run <= run.Run && step.Gang || !j.due(p.Task.StepKey) {
		return false
	}
	q := s.index.byName[j.Queue]
	if q == nil || q.Service != w.Service || !w.HasLabel(step.Label) {
		return false
	}
	if step.MaxPerWorker > 0 && w.CountTasks(p.Task.StepKey) >= step.MaxPerWorker {
		return false
	}
	return step.Claim().Fits(w.Free()) && step.Size.Fits(s.headroom(j.Team))
}

func (s *Store) commit(j *Job, step *Step, run *StepOccurrence, p *Placement) {
	w := s.Workers[p.Worker]
	a := Attempt{Run: p.Run, Team: j.Team, Size: step.Size, Filler: step.Filler}
	w.Attempts[p.Task] = a
	w.used = w.used.Add(a.claim())
	s.usage[j.Team] = s.usage[j.Team].Add(a.Size)
	run.Tasks[p.Task.Index].InFlight = true
	run.InFlight++
}

// release takes an attempt off its worker and its team.
func (s *Store) release(w *Worker, key TaskKey) (Attempt, bool) {
	a, ok := w.Attempts[key]
	if !ok {
		return a, false
	}
	delete(w.Attempts, key)
	w.used = w.used.Sub(a.claim())
	s.usage[a.Team] = s.usage[a.Team].Sub(a.Size)
	if j := s.Jobs[key.Job]; j != nil {
		if run := j.stepRun(key.StepKey); run != nil {
			run.InFlight--
		}
	}
	return a, true
}

// note takes in the ends of attempts on a worker.
func (s *Store) note(c *RecordEnds) any {
	w := s.Workers[c.Worker]
	if w == nil || w.Born != c.Born {
		return nil
	}
	for i := range c.Ends {
		s.noteEnd(w, &c.Ends[i])
	}
	w.LastEnd = max(w.LastEnd, c.LastEnd)
	return nil
}

func (s *Store) noteEnd(w *Worker, e *AttemptEnd) {
	if a, ok := w.Attempts[e.Task]; !ok || a.Run != e.Run {
		return
	}
	s.release(w, e.Task)
	j := s.Jobs[e.Task.Job]
	if j == nil || j.State != Active {
		return
	}
	run := j.stepRun(e.Task.StepKey)
	task := &run.Tasks[e.Task.Index]
	task.InFlight = false
	if e.Checkpoint != "" {
		run.save(&j.Steps[e.Task.Step], task, e.Checkpoint)
	}
	switch e.Outcome {
	case EndedDone:
		s.noteDone(j, run, e)
	case EndedFailed:
		s.noteFailed(j, run, e)
	}
	if j.State == Active {
		s.refreshStep(j, e.Task.StepKey)
	}
}

// save keeps a checkpoint; that of any member counts for its gang.
func (r *StepOccurrence) save(step *Step, task *Task, saved string) {
	task.Checkpoint = saved
	if !step.Gang {
		return
	}
	for i := range r.Tasks {
		r.Tasks[i].Checkpoint = saved
	}
}

func (s *Store) noteDone(j *Job, run *StepOccurrence, e *AttemptEnd) {
	step := &j.Steps[e.Task.Step]
	if step.Daemon || run.Done == len(run.Tasks) {
		return // a gang ends once, whatever its other members say later
	}
	if step.Gang {
		// A gang is done as a whole: one member's end speaks for all.
		if e.Run == run.Run {
			for i := range run.Tasks {
				run.finish(i)
			}
		}
	} else {
		run.finish(e.Task.Index)
	}
	if run.Done < len(run.Tasks) {
		return
	}
	for i := range j.Occurrences[e.Task.Occurrence] {
		if r := &j.Occurrences[e.Task.Occurrence][i]; r.Done < len(r.Tasks) {
			s.refresh(j)
			return
		}
	}
	j.CompletedOccurrences++
	if j.CompletedOccurrences >= j.occurrences() {
		s.end(j, Complete)
	}
}

func (r *StepOccurrence) finish(i int) {
	if !r.Tasks[i].Done {
		r.Tasks[i].Done = true
		r.Done++
	}
}

func (s *Store) noteFailed(j *Job, run *StepOccurrence, e *AttemptEnd) {
	step := &j.Steps[e.Task.Step]
	if step.Daemon {
		return
	}
	if step.Gang {
		// Several members may fail in the same run of the gang.
		if e.Run != run.FailedRun {
			run.FailedRun = e.Run
			run.Failures++
		}
	} else {
		run.Tasks[e.Task.Index].Failures++
	}
	if run.failures() >= s.attempts(j) {
		s.end(j, Failed)
	}
}

// failures returns how often the gang, or the task that failed most, has failed.
func (r *StepOccurrence) failures() int {
	n := r.Failures
	for i := range r.Tasks {
		n = max(n, int(r.Tasks[i].Failures))
	}
	return n
}

// attempts returns how often a task of the job may fail. A job whose queue is
// dropped from the configuration keeps what the queue allowed when it accepted
// the job.
func (s *Store) attempts(j *Job) int {
	if q := s.index.byName[j.Queue]; q != nil {
		return max(1, q.MaxFailures)
	}
	return max(1, j.MaxFailures)
}

// endExhausted ends the jobs that a new configuration allows no further attempt.
func (s *Store) endExhausted() {
	for _, j := range s.Jobs {
		if j.State == Active && j.exhausted(s.attempts(j)) {
			s.end(j, Failed)
		}
	}
}

func (j *Job) exhausted(attempts int) bool {
	for _, steps := range j.Occurrences {
		for i := range steps {
			if steps[i].failures() >= attempts {
				return true
			}
		}
	}
	return false
}

// lapse ends all attempts of a life whose lease has certainly run out.
func (s *Store) lapse(c *ExpireLease) any {
	if w := s.Workers[c.Worker]; w != nil && w.Born == c.Born {
		s.endAll(w)
	}
	return nil
}

func (s *Store) endAll(w *Worker) {
	for key, a := range w.Attempts {
		s.noteEnd(w, &AttemptEnd{Task: key, Run: a.Run, Outcome: EndedEarly})
	}
}

// register takes in what a worker says of itself. The newest life of an id, and
// of an address, is the one that counts.
func (s *Store) register(c *Register) any {
	w := s.Workers[c.ID]
	if w != nil && c.Born < w.Born || w != nil && w.Gone && c.Born == w.Born {
		return nil
	}
	if !s.takeAddress(c) {
		return nil
	}
	if w == nil {
		w = &Worker{ID: c.ID, Attempts: map[TaskKey]Attempt{}}
		s.Workers[c.ID] = w
	}
	if w.Born != c.Born {
		s.endAll(w)
		w.LastEnd, w.Gone, w.Draining = 0, false, false
	}
	w.Born, w.Address, w.DataCentre, w.Service = c.Born, c.Address, c.DataCentre, c.Service
	w.Capacity, w.Labels, w.Rack = c.Capacity, c.Labels, c.Rack
	w.Draining = w.Draining || c.Draining
	if c.Deregistered {
		s.leave(w)
	}
	return nil
}

// takeAddress ends the older lives at the address. It returns false if a later
// life holds it: the report was delayed.
func (s *Store) takeAddress(c *Register) bool {
	var older []*Worker
	for _, other := range s.Workers {
		if other.ID == c.ID || other.Address != c.Address || other.Gone {
			continue
		}
		if other.Born > c.Born {
			return false
		}
		older = append(older, other)
	}
	for _, other := range older {
		s.leave(other)
	}
	return true
}

// leave ends a worker's life.
func (s *Store) leave(w *Worker) {
	s.endAll(w)
	w.Gone = true
}
