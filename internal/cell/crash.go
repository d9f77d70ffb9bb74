package cell

import (
	"maps"
	"slices"
)

const (
	// suspectCrashes is the number of crashes, proven or possible, from which a task is a
	// suspect.
	suspectCrashes = 2
)

const (
	// MaxCrashes is the number of crashes under a task at which its job fails, if at least
	// suspectCrashes of its attempts had certainly started and had not settled.
	MaxCrashes = 3
	// maxUnconfirmedCrashes is the number of crashes under a task at which its job fails in
	// any case.
	maxUnconfirmedCrashes = 5
)

// LostAttempt is an attempt that ended because its worker could not be reached, so that
// the worker may have crashed under it.
type LostAttempt struct {
	// Started is set if the attempt had certainly started, had not settled and, as far as
	// known, ran until the worker was lost.
	Started bool `cbor:",omitempty"`
}

// Crash is a crash of a worker that was counted, as Register returns it.
type Crash struct {
	Worker string
	// Tasks are the tasks that it was counted for, and GivenUp the jobs that failed.
	Tasks   []TaskKey
	GivenUp []string
}

// TakeDown announces that an incarnation of a worker is about to be ended on purpose.
// Its end is then no crash.
type TakeDown struct {
	Worker string `cbor:"1,keyasint,omitempty"`
	Born   int64  `cbor:"2,keyasint,omitempty"`
}

// PossibleCrashes returns the number of crashes of workers under the task, including
// incarnations that were lost and have shown neither a successor nor themselves since.
func (t *Task) PossibleCrashes() int { return int(t.Crashes) + t.unresolvedLosses }

// UnresolvedLosses returns how many of the possible crashes are not proven.
func (t *Task) UnresolvedLosses() int { return t.unresolvedLosses }

// Suspect reports whether the task may be the cause of the crashes under it.
func (t *Task) Suspect() bool { return t.PossibleCrashes() >= suspectCrashes }

// takeDown marks an incarnation that is about to be ended.
func (s *Store) takeDown(c *TakeDown) any {
	if w := s.Workers[c.Worker]; w != nil && w.Born == c.Born {
		w.TakenDown = true
	}
	return nil
}

// allAttempts selects all attempts on a worker.
func allAttempts(StartedAttempt) bool { return true }

// inheritAttempts marks the attempts that are left on a worker whose incarnation has ended, with
// its crash counted.
func (s *Store) inheritAttempts(w *Worker) {
	for key, a := range w.Attempts {
		a.Inherited, a.CrashCounted = true, true
		w.Attempts[key] = a
		w.changes++
	}
}

// loseAttempts ends the selected attempts on a worker and remembers them until it is known
// whether the worker has crashed. started lists those that had certainly started; ranOut is
// that of ExpireLease.
func (s *Store) loseAttempts(w *Worker, started []StartedAttempt, ranOut bool, selected func(StartedAttempt) bool) {
	for key, a := range w.Attempts {
		if selected(StartedAttempt{key, a.Run}) {
			s.recordEnd(w, &AttemptEnd{Task: key, Run: a.Run, Outcome: EndedEarly})
			s.recordLoss(w, key, &a, started, ranOut)
		}
	}
}

// recordLoss remembers that an incarnation may have crashed under an attempt. started and
// ranOut are those of loseAttempts.
func (s *Store) recordLoss(w *Worker, key TaskKey, a *Attempt, started []StartedAttempt, ranOut bool) {
	hasStarted := slices.Contains(started, StartedAttempt{key, a.Run})
	if hasStarted {
		s.markBegun(key.Job)
	}
	if w.TakenDown || s.activeTask(key) == nil {
		return
	}
	earlier, known := w.Lost[key]
	if w.Lost == nil {
		w.Lost = map[TaskKey]LostAttempt{}
	}
	w.Lost[key] = LostAttempt{Started: earlier.Started || a.Started && !ranOut || hasStarted}
	if !known {
		s.addUnresolvedLoss(key, 1)
	}
	s.workersWithLosses[w.ID] = w
}

// endIncarnation ends the selected attempts on an incarnation that a later one has replaced.
// Unless its end was planned it has crashed, which counts for each task that may have run
// there. It returns the crash, or nil if there was none or no task ran there.
func (s *Store) endIncarnation(w *Worker, started []StartedAttempt, ends func(StartedAttempt) bool) *Crash {
	for key, a := range w.Attempts {
		if a.CrashCounted && !slices.Contains(started, StartedAttempt{key, a.Run}) {
			continue // it counts for the incarnation that its start order was for
		}
		s.recordLoss(w, key, &a, started, false)
	}
	for key, a := range w.Attempts {
		if ends(StartedAttempt{key, a.Run}) {
			s.recordEnd(w, &AttemptEnd{Task: key, Run: a.Run, Outcome: EndedEarly})
		}
	}
	lost := w.Lost
	s.forgetLosses(w)
	if len(lost) == 0 || w.Draining || w.Gone || w.TakenDown {
		return nil
	}
	crash := &Crash{Worker: w.ID}
	for key, l := range lost {
		crash.Tasks = append(crash.Tasks, key)
		if s.countCrash(key, l) {
			crash.GivenUp = append(crash.GivenUp, key.Job)
		}
	}
	return crash
}

// countCrash counts a crash under a task and reports whether it has failed the task's job.
// A worker may have been down before an attempt was to start there, or crash long after its
// start, so MaxCrashes crashes suffice only if attempts of the task had certainly started
// shortly before in suspectCrashes of them. A daemon is restarted however it ends.
func (s *Store) countCrash(key TaskKey, l LostAttempt) bool {
	task := s.activeTask(key)
	if task == nil || task.Done {
		return false
	}
	task.Crashes = increment(task.Crashes)
	if l.Started {
		task.ConfirmedCrashes = increment(task.ConfirmedCrashes)
	}
	if s.Jobs[key.Job].Steps[key.Step].Daemon {
		return false
	}
	certain := task.Crashes >= MaxCrashes && task.ConfirmedCrashes >= suspectCrashes
	if !certain && task.Crashes < maxUnconfirmedCrashes {
		return false
	}
	s.endJob(s.Jobs[key.Job], Failed)
	return true
}

// increment adds one to a count, which stays at its maximum.
func increment(count uint8) uint8 { return max(count, count+1) }

// forgetCrashes drops the proven and the possible crashes under the task of an attempt.
func (s *Store) forgetCrashes(w *Worker, attempt StartedAttempt) {
	a, ok := w.Attempts[attempt.Task]
	task := s.activeTask(attempt.Task)
	if !ok || a.Run != attempt.Run || task == nil {
		return
	}
	w.removeCommitted(&a)
	a.Crashes = 0
	w.addCommitted(&a)
	w.Attempts[attempt.Task] = a
	task.Crashes, task.ConfirmedCrashes, task.unresolvedLosses = 0, 0, 0
	s.dropLosses(func(key TaskKey) bool { return key == attempt.Task })
}

// forgetLosses drops the lost attempts of a worker.
func (s *Store) forgetLosses(w *Worker) {
	for key := range w.Lost {
		s.addUnresolvedLoss(key, -1)
	}
	w.Lost = nil
	delete(s.workersWithLosses, w.ID)
}

// dropLosses drops the lost attempts of some tasks without changing their numbers of
// unresolved losses.
func (s *Store) dropLosses(dropped func(TaskKey) bool) {
	for id, w := range s.workersWithLosses {
		maps.DeleteFunc(w.Lost, func(key TaskKey, _ LostAttempt) bool { return dropped(key) })
		if len(w.Lost) == 0 {
			w.Lost = nil
			delete(s.workersWithLosses, id)
		}
	}
}

// addUnresolvedLoss changes the number of unresolved losses of a task of an active job.
func (s *Store) addUnresolvedLoss(key TaskKey, n int) {
	if task := s.activeTask(key); task != nil {
		task.unresolvedLosses += n
	}
}

// activeTask returns a task of an active job, or nil if there is none.
func (s *Store) activeTask(key TaskKey) *Task {
	j := s.Jobs[key.Job]
	if j == nil || j.State != Active {
		return nil
	}
	occurrence := j.stepOccurrence(key.StepKey)
	if occurrence == nil || key.Index < 0 || key.Index >= len(occurrence.Tasks) {
		return nil
	}
	return &occurrence.Tasks[key.Index]
}
