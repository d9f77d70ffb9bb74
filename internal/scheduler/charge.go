package scheduler

import "laburnumgrade/internal/structs"

// SetCharged states what a worker runs beside its open attempts. It takes room
// on the worker, but belongs to no team.
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
	s.noteOverCommitted(slot)
}

// WaitingTasks returns the number of waiting tasks of a job.
func (s *Scheduler) WaitingTasks(id string) int {
	j, known := s.jobs[id]
	if !known {
		return 0
	}
	return len(j.tasks)
}
