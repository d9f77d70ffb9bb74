package state

import (
	"fmt"
	"slices"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// maxAttempts bounds how often a failing idempotent task is run.
const maxAttempts = 3

func (s *Store) submitJob(c *statev1.SubmitJob) *Result {
	if j := s.d.Jobs[c.JobId]; j != nil {
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
		Tasks: make([]structs.Task, c.Spec.GetTasks()), AcceptedAt: s.d.LogTime,
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
	s.d.Jobs[j.ID] = j
	s.observer.JobChanged(j.ID)
	return &Result{}
}

// cancelJob ends the waiting tasks at once; running ones are stopped by their
// workers and end when those report it or their leases have run out.
func (s *Store) cancelJob(c *statev1.CancelJob) *Result {
	j := s.d.Jobs[c.JobId]
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
			s.endTask(j, i, structs.OutcomeCancelled, nil, "cancelled before it ran")
		case structs.TaskRunning:
			a := s.d.Attempts[j.Tasks[i].Attempt]
			a.Stopping = true
			s.observer.WorkerChanged(a.WorkerID)
		}
	}
	s.observer.JobChanged(j.ID)
	return &Result{}
}

// endAttempts records the ends that a worker reports. An end of an attempt that
// is no longer open is acknowledged: a late answer still reaches its task if
// the outcome was unknown.
func (s *Store) endAttempts(ended []*statev1.EndAttempt) *Result {
	r := &Result{}
	for _, e := range ended {
		r.Acknowledged = append(r.Acknowledged, e.AttemptId)
		a := s.d.Attempts[e.AttemptId]
		if a == nil {
			continue
		}
		if a.WorkerID != e.WorkerId || a.Incarnation != e.Incarnation {
			continue
		}
		s.closeAttempt(a)
		s.settleTask(a, structs.Outcome(e.Outcome), e.Answer, e.Detail, e.NeverStarted)
	}
	return r
}

// closeAttempt frees what the attempt has committed.
func (s *Store) closeAttempt(a *structs.Attempt) {
	delete(s.d.Attempts, a.ID)
	if w := s.d.Workers[a.WorkerID]; w != nil {
		if _, open := w.Attempts[a.ID]; open {
			delete(w.Attempts, a.ID)
			w.Committed = w.Committed.Sub(a.Size)
		}
		s.observer.WorkerChanged(w.ID)
	}
	t := s.team(a.Team)
	t.Running = t.Running.Sub(a.Size)
	t.RunningTasks--
}

// settleTask decides what follows the end of a task's attempt. Only a task
// that never started, or an idempotent one, may wait for another attempt.
func (s *Store) settleTask(a *structs.Attempt, outcome structs.Outcome, answer []byte, detail string, neverStarted bool) {
	j := s.d.Jobs[a.JobID]
	if j == nil {
		return
	}
	task := &j.Tasks[a.Task]
	if task.State != structs.TaskRunning || task.Attempt != a.ID {
		return
	}
	task.Attempt = 0
	again := neverStarted || (j.Spec.Idempotent && outcome != structs.OutcomeOK)
	exhausted := outcome == structs.OutcomeFailed && task.Attempts >= maxAttempts
	switch {
	case again && j.Cancelled:
		s.endTask(j, a.Task, structs.OutcomeCancelled, nil, "cancelled")
	case again && !exhausted:
		task.State = structs.TaskWaiting
		t := s.team(a.Team)
		t.WaitingTasks++
		t.Waiting = t.Waiting.Add(a.Size)
	default:
		s.endTask(j, a.Task, outcome, answer, detail)
	}
	s.observer.JobChanged(j.ID)
}

func (s *Store) endTask(j *structs.Job, i int, outcome structs.Outcome, answer []byte, detail string) {
	task := &j.Tasks[i]
	if task.State == structs.TaskWaiting {
		t := s.team(j.Spec.Team)
		t.WaitingTasks--
		t.Waiting = t.Waiting.Sub(j.Spec.Size)
	}
	task.State = structs.TaskEnded
	task.Outcome = outcome
	task.Answer = answer
	task.Detail = detail
	j.EndedTasks++
	if j.Ended() {
		j.Payload = nil
	}
}

func sortedAttempts(w *structs.Worker) []uint64 {
	ids := make([]uint64, 0, len(w.Attempts))
	for id := range w.Attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
