package state

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

const (
	// maxFailures bounds the attempts of a task that fails.
	maxFailures = 3
	// maxAttempts bounds the attempts of a task that fails, is lost or is never
	// started. Services are restarted without a bound.
	maxAttempts = 12
	// The delay before another attempt doubles from minBackOff to maxBackOff.
	minBackOff = 250 * time.Millisecond
	maxBackOff = 30 * time.Second
)

// end is how an attempt ended.
type end struct {
	outcome      structs.Outcome
	answer       []byte
	detail       string
	neverStarted bool
	checkpointed bool
	// lost is set if the worker has not reported the end.
	lost bool
}

func endFromProto(e *statev1.EndAttempt) *end {
	return &end{
		outcome: structs.Outcome(e.Outcome), answer: e.Answer, detail: e.Detail,
		neverStarted: e.NeverStarted, checkpointed: e.Checkpointed,
	}
}

// endAttempts records the ends that a worker reports. An end of an attempt that
// is not open is acknowledged too; it replaces an unknown outcome.
func (s *Store) endAttempts(ended []*statev1.EndAttempt) *Result {
	r := &Result{}
	for _, e := range ended {
		r.Acknowledged = append(r.Acknowledged, e.AttemptId)
		s.endAttempt(e)
	}
	return r
}

func (s *Store) endAttempt(e *statev1.EndAttempt) {
	if w := s.d.Workers[e.WorkerId]; w != nil && w.Incarnation == e.Incarnation {
		if _, charged := w.Charged[e.AttemptId]; charged {
			discharge(w, e.AttemptId)
			s.observer.WorkerChanged(w.ID)
		}
	}
	a := s.d.Attempts[e.AttemptId]
	if a == nil {
		s.answerLate(e)
		return
	}
	if a.WorkerID != e.WorkerId || a.Incarnation != e.Incarnation {
		return
	}
	s.closeAttempt(a)
	s.settleTask(a, endFromProto(e))
}

// answerLate replaces the unknown outcome of a lost attempt by what its worker
// reports. The task is not run again, so "not run" is true if the worker never
// started it.
func (s *Store) answerLate(e *statev1.EndAttempt) {
	j := s.d.Jobs[e.JobId]
	if j == nil || e.Task < 0 || int(e.Task) >= len(j.Tasks) {
		return
	}
	task := &j.Tasks[e.Task]
	if task.LostAttempt != e.AttemptId || task.LostWorker != e.WorkerId || task.LostIncarnation != e.Incarnation {
		return
	}
	outcome := structs.Outcome(e.Outcome)
	switch {
	case e.NeverStarted:
		outcome = structs.OutcomeNotRun
	case outcome != structs.OutcomeOK && outcome != structs.OutcomeFailed:
		return
	}
	task.Outcome = outcome
	task.Answer = e.Answer
	task.Detail = e.Detail
	task.LostAttempt = 0
	s.observer.JobChanged(j.ID)
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

// settleTask decides what follows the end of a task's attempt. Only a task that
// never started, was checkpointed or is idempotent may have another attempt.
func (s *Store) settleTask(a *structs.Attempt, e *end) {
	j := s.d.Jobs[a.JobID]
	if j == nil {
		return
	}
	task := &j.Tasks[a.Task]
	if task.State != structs.TaskRunning || task.Attempt != a.ID {
		return
	}
	task.Attempt = 0
	if e.checkpointed {
		task.Checkpoint = a.ID
	}
	interrupted := e.outcome != structs.OutcomeOK && e.outcome != structs.OutcomeFailed
	again := e.neverStarted || e.checkpointed || (j.Spec.Idempotent && e.outcome != structs.OutcomeOK)
	switch {
	case IsServiceJob(j):
		s.settleInstance(j, a, e)
	case j.Cancelled && e.neverStarted:
		s.endTask(j, a.Task, structs.OutcomeCancelled, nil, "cancelled before it ran")
	case j.Cancelled && (again || interrupted && !e.lost):
		s.endTask(j, a.Task, structs.OutcomeCancelled, nil, "cancelled")
	case again && !exhausted(j, task, e):
		s.requeue(j, a, e)
	case again && e.neverStarted && !j.Spec.Idempotent:
		s.endTask(j, a.Task, structs.OutcomeNotRun, nil, fmt.Sprintf("none of %d workers started it: %s", task.Attempts, e.detail))
	case interrupted && !again:
		task.LostAttempt, task.LostWorker, task.LostIncarnation = a.ID, a.WorkerID, a.Incarnation
		s.endTask(j, a.Task, structs.OutcomeUnknown, nil, strings.TrimPrefix(a.Reason+": "+e.detail, ": "))
	case interrupted:
		s.endTask(j, a.Task, structs.OutcomeFailed, nil, fmt.Sprintf("%d attempts did not finish: %s", task.Attempts, e.detail))
	default:
		s.endTask(j, a.Task, e.outcome, e.answer, e.detail)
	}
	s.observer.JobChanged(j.ID)
}

// exhausted reports whether the task may have no further attempt.
func exhausted(j *structs.Job, task *structs.Task, e *end) bool {
	if j.Spec.Class == structs.ClassService || e.checkpointed {
		return false
	}
	if e.outcome == structs.OutcomeFailed {
		return task.Attempts >= maxFailures
	}
	return task.Attempts >= maxAttempts
}

// requeue lets the task wait for another attempt. What was shed to make room
// waits without a delay.
func (s *Store) requeue(j *structs.Job, a *structs.Attempt, e *end) {
	task := &j.Tasks[a.Task]
	task.State = structs.TaskWaiting
	if a.Reason == "" && !e.checkpointed {
		task.NotBefore = s.d.LogTime + backOff(a).Milliseconds()
	}
	t := s.team(a.Team)
	t.WaitingTasks++
	t.Waiting = t.Waiting.Add(j.Spec.Size)
}

// backOff returns the delay after an attempt, with a jitter of a quarter that
// depends only on the attempt's id, since every replica must find the same.
func backOff(a *structs.Attempt) time.Duration {
	delay := min(minBackOff<<min(a.Number-1, 10), maxBackOff)
	const golden = 0x9E3779B97F4A7C15
	quarter := uint64((delay / 4).Milliseconds())
	return delay + time.Duration((a.ID*golden>>32)*quarter>>32)*time.Millisecond
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
		j.EndedAt = s.d.LogTime
		s.watchJob(j)
	}
}

// shedAttempts marks attempts that are to give resources back. Their workers
// learn of it with the next heartbeat.
func (s *Store) shedAttempts(c *statev1.ShedAttempts) *Result {
	for _, shed := range c.Attempts {
		a := s.d.Attempts[shed.AttemptId]
		if a == nil {
			continue
		}
		a.Throttled = a.Throttled || shed.Means == statev1.ShedAttempt_THROTTLE
		a.Checkpointing = a.Checkpointing || shed.Means == statev1.ShedAttempt_CHECKPOINT
		a.Stopping = a.Stopping || shed.Means == statev1.ShedAttempt_STOP
		a.Reason = shed.Reason
		s.observer.WorkerChanged(a.WorkerID)
	}
	return &Result{}
}

func sortedAttempts(w *structs.Worker) []uint64 {
	ids := make([]uint64, 0, len(w.Attempts))
	for id := range w.Attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
