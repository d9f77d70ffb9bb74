package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// rejectJob ends the waiting tasks of a job that has had no attempt as not
// run. A job of which a task was attempted can no longer be "not run".
func (s *Store) rejectJob(c *statev1.RejectJob) *Result {
	j := s.d.Jobs[c.JobId]
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
