package state

import (
	"cmp"
	"fmt"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// submitJob adds a job with all its tasks waiting. A resubmission of a known id is
// a duplicate if its content has the same digest, and refused otherwise.
func (s *Store) submitJob(c *statev1.SubmitJob) *Result {
	if j := s.data.Jobs[c.JobId]; j != nil {
		if j.Digest != c.Digest {
			return &Result{Refusal: fmt.Sprintf("job %s was submitted before with different content", c.JobId)}
		}
		return &Result{Duplicate: true}
	}
	if refusal := s.checkID(c.JobId); refusal != "" {
		return &Result{Refusal: refusal}
	}
	j := &structs.Job{
		ID: c.JobId, Spec: structs.WorkSpecFromProto(c.Spec), Payload: c.Payload, Urgent: c.Urgent,
		Deadline: time.Duration(c.DeadlineMs) * time.Millisecond, Digest: c.Digest,
		Tasks: make([]structs.Task, c.Spec.GetTasks()), AcceptedAt: s.data.LogTime,
	}
	if len(j.Tasks) == 0 {
		return &Result{Refusal: fmt.Sprintf("job %s has no tasks", c.JobId)}
	}
	t := s.team(j.Spec.Team)
	if limit := j.Spec.QueueLimit; limit > 0 && t.WaitingTasks+len(j.Tasks) > limit {
		return &Result{Refusal: fmt.Sprintf("the queue of team %s is full: %d tasks wait, the limit is %d", j.Spec.Team, t.WaitingTasks, limit)}
	}
	t.WaitingTasks += len(j.Tasks)
	t.Waiting = t.Waiting.Add(j.Spec.Size.Scale(int64(len(j.Tasks))))
	s.data.Jobs[j.ID] = j
	s.observer.JobChanged(j.ID)
	return &Result{}
}

// cancelJob ends the waiting tasks at once. Running tasks are stopped by their
// workers; they end when the worker reports it or its lease has expired.
func (s *Store) cancelJob(c *statev1.CancelJob) *Result {
	j := s.data.Jobs[c.JobId]
	if j == nil {
		return &Result{Refusal: fmt.Sprintf("job %s is not known", c.JobId)}
	}
	if j.Cancelled || j.Ended() {
		return &Result{Duplicate: true}
	}
	j.Cancelled = true
	for i := range j.Tasks {
		switch j.Tasks[i].State {
		case structs.TaskWaiting:
			s.endTask(j, i, structs.OutcomeCancelled, nil, cmp.Or(c.Reason, "cancelled before it ran"))
		case structs.TaskRunning:
			a := s.data.Attempts[j.Tasks[i].Attempt]
			a.Stopping = true
			s.observer.WorkerChanged(a.WorkerID)
		}
	}
	s.observer.JobChanged(j.ID)
	return &Result{}
}
