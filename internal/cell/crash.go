package cell

import "math"

const (
	// suspectCrashes is the number of crashes, proven or possible, from which a task is a
	// suspect.
	suspectCrashes = 2
)

// MaxCrashes is the number of crashes under a task at which its job fails.
const MaxCrashes = 3

// LostAttempt is an attempt that ended because its worker could not be reached, so that
// the worker may have crashed under it.
type LostAttempt struct {
	// Beside is set if attempts of other jobs were in flight on the worker.
	Beside bool `cbor:",omitempty"`
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

// loseAttempts ends all attempts on a worker and remembers them until it is known whether
// the worker has crashed.
func (s *Store) loseAttempts(w *Worker) {
	beside := w.hasSeveralJobs()
	for key, a := range w.Attempts {
		s.recordEnd(w, &AttemptEnd{Task: key, Run: a.Run, Outcome: EndedEarly})
		if w.TakenDown {
			continue
		}
		earlier, known := w.Lost[key]
		if w.Lost == nil {
			w.Lost = map[TaskKey]LostAttempt{}
		}
		w.Lost[key] = LostAttempt{Beside: earlier.Beside || beside}
		if !known {
			s.addUnresolvedLoss(key, 1)
		}
	}
	if len(w.Lost) > 0 {
		s.workersWithLosses[w.ID] = w
	}
}

// endIncarnation ends all attempts on an incarnation that a later one has replaced. Unless
// its end was planned it has crashed, which counts for each task that ran there.
func (s *Store) endIncarnation(w *Worker) {
	s.loseAttempts(w)
	lost := w.Lost
	s.forgetLosses(w)
	if w.Draining || w.Gone || w.TakenDown {
		return
	}
	for key, l := range lost {
		s.countCrash(key, l.Beside)
	}
}

// countCrash counts a crash under a task. It fails the task's job if the task ran there
// without other jobs and another worker has crashed under it before, or if it has reached
// MaxCrashes. An attempt that has been started since gets the chance to disprove the
// former.
func (s *Store) countCrash(key TaskKey, beside bool) {
	task := s.activeTask(key)
	if task == nil || task.Done {
		return
	}
	if task.Crashes < math.MaxUint8 {
		task.Crashes++
	}
	if task.Crashes >= MaxCrashes || task.Crashes >= suspectCrashes && !beside && !task.InFlight {
		s.endJob(s.Jobs[key.Job], Failed)
	}
}

// forgetLosses drops the lost attempts of a worker.
func (s *Store) forgetLosses(w *Worker) {
	for key := range w.Lost {
		s.addUnresolvedLoss(key, -1)
	}
	w.Lost = nil
	delete(s.workersWithLosses, w.ID)
}

// forgetLossesOf drops the lost attempts of a job that has ended.
func (s *Store) forgetLossesOf(job string) {
	for id, w := range s.workersWithLosses {
		for key := range w.Lost {
			if key.Job == job {
				delete(w.Lost, key)
			}
		}
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

// hasSeveralJobs reports whether attempts of more than one job are committed to the
// worker.
func (w *Worker) hasSeveralJobs() bool {
	first := ""
	for key := range w.Attempts {
		if first != "" && key.Job != first {
			return true
		}
		first = key.Job
	}
	return false
}
