package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// rejectJob ends all waiting tasks of a job with the outcome "not run". It is
// refused if any task was ever attempted, because that task may have run.
func (s *Store) rejectJob(c *statev1.RejectJob) *Result {
	j := s.data.Jobs[c.JobId]
	if j == nil {
		return &Result{Refusal: fmt.Sprintf("job %s is not known", c.JobId)}
	}
	for i := range j.Tasks {
		if j.Tasks[i].Attempts > 0 {
			return &Result{Refusal: fmt.Sprintf("task %d of job %s was attempted", i, c.JobId)}
		}
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == structs.TaskWaiting {
			s.endTask(j, i, structs.OutcomeNotRun, nil, c.Reason)
		}
	}
	s.observer.JobChanged(j.ID)
	return &Result{}
}

// rejectJobs rejects each of the jobs, except those for which rejectJob refuses.
func (s *Store) rejectJobs(c *statev1.RejectJobs) *Result {
	for _, r := range c.Jobs {
		s.rejectJob(r)
	}
	return &Result{}
}
