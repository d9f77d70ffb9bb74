package scheduler

import "laburnumgrade/internal/structs"

// SetCharged sets the sum of the sizes of attempts that a worker reports to run
// although they are no longer open. It takes room on the worker and is not counted
// as usage of a team. SetCharged does nothing for a worker that is not known.
func (s *Scheduler) SetCharged(workerID string, size structs.Resources) {
	before := s.charged[workerID]
	slot, known := s.fleet.Lookup(workerID)
	if !known || before == size {
		return
	}
	if !size.IsZero() {
		s.fleet.Commit(slot, size)
		s.charged[workerID] = size
	}
	if !before.IsZero() {
		s.fleet.Release(slot, before)
	}
	if size.IsZero() {
		delete(s.charged, workerID)
	}
	s.checkOverCommitted(slot)
}

// WaitingTasks returns the number of waiting tasks of a job, 0 if the job does not
// wait.
func (s *Scheduler) WaitingTasks(id string) int {
	j, known := s.jobs[id]
	if !known {
		return 0
	}
	return len(j.tasks)
}
