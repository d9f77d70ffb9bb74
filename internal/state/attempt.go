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
	// maxFailures is the number of attempts after which a task whose attempt
	// reports a failure is not retried.
	maxFailures = 3
	// maxAttempts is the number of attempts after which a task whose attempt was
	// lost, interrupted or never started is not retried. Services are restarted
	// without a limit.
	maxAttempts = 12
	// The delay before a retry doubles with each attempt from minBackOff up to
	// maxBackOff.
	minBackOff = 250 * time.Millisecond
	maxBackOff = 30 * time.Second
)

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	outcome      structs.Outcome
	answer       []byte
	detail       string
	neverStarted bool
	checkpointed bool
	// lost is set if the worker was lost and has not reported the end itself.
	lost bool
}

func attemptEndFromProto(e *statev1.EndAttempt) *attemptEnd {
	return &attemptEnd{
		outcome: structs.Outcome(e.Outcome), answer: e.Answer, detail: e.Detail,
		neverStarted: e.NeverStarted, checkpointed: e.Checkpointed,
	}
}

// endAttempts records the ends of attempts that a worker reports. Each one is
// acknowledged, also if the attempt is no longer open, so that the worker stops
// reporting it. The late end of a lost attempt replaces the task's unknown outcome.
func (s *Store) endAttempts(ended []*statev1.EndAttempt) *Result {
	r := &Result{}
	for _, e := range ended {
		r.Acknowledged = append(r.Acknowledged, e.AttemptId)
		s.endAttempt(e)
	}
	return r
}

func (s *Store) endAttempt(e *statev1.EndAttempt) {
	if w := s.data.Workers[e.WorkerId]; w != nil && w.Incarnation == e.Incarnation {
		if _, charged := w.Charged[e.AttemptId]; charged {
			discharge(w, e.AttemptId)
			s.observer.WorkerChanged(w.ID)
		}
	}
	a := s.data.Attempts[e.AttemptId]
	if a == nil {
		s.recordLateEnd(e)
		return
	}
	if a.WorkerID != e.WorkerId || a.Incarnation != e.Incarnation {
		return
	}
	s.closeAttempt(a)
	s.retryOrEndTask(a, attemptEndFromProto(e))
}

// recordLateEnd replaces the unknown outcome of a task by the end that the worker
// of its lost attempt reports. A task with an unknown outcome is never retried, so
// its outcome becomes "not run" if the worker never started that attempt.
func (s *Store) recordLateEnd(e *statev1.EndAttempt) {
	j := s.data.Jobs[e.JobId]
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

// closeAttempt removes an open attempt and releases the resources committed to it
// on its worker and in its team's allotment.
func (s *Store) closeAttempt(a *structs.Attempt) {
	delete(s.data.Attempts, a.ID)
	if w := s.data.Workers[a.WorkerID]; w != nil {
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

// retryOrEndTask queues a task for another attempt or ends it, after its attempt
// has ended. A task is retried only if the attempt never started or was
// checkpointed, or if the work is idempotent and did not succeed.
func (s *Store) retryOrEndTask(a *structs.Attempt, e *attemptEnd) {
	j := s.data.Jobs[a.JobID]
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
	mayRetry := e.neverStarted || e.checkpointed || (j.Spec.Idempotent && e.outcome != structs.OutcomeOK)
	switch {
	case IsServiceJob(j):
		s.restartOrEndInstance(j, a, e)
	case j.Cancelled && e.neverStarted:
		s.endTask(j, a.Task, structs.OutcomeCancelled, nil, "cancelled before it ran")
	case j.Cancelled && (mayRetry || interrupted && !e.lost):
		s.endTask(j, a.Task, structs.OutcomeCancelled, nil, "cancelled")
	case mayRetry && !attemptsExhausted(j, task, e):
		s.requeue(j, a, e)
	case mayRetry && e.neverStarted && !j.Spec.Idempotent:
		s.endTask(j, a.Task, structs.OutcomeNotRun, nil, fmt.Sprintf("none of %d workers started it: %s", task.Attempts, e.detail))
	case interrupted && !mayRetry:
		task.LostAttempt, task.LostWorker, task.LostIncarnation = a.ID, a.WorkerID, a.Incarnation
		s.endTask(j, a.Task, structs.OutcomeUnknown, nil, strings.TrimPrefix(a.Reason+": "+e.detail, ": "))
	case interrupted:
		s.endTask(j, a.Task, structs.OutcomeFailed, nil, fmt.Sprintf("%d attempts did not finish: %s", task.Attempts, e.detail))
	default:
		s.endTask(j, a.Task, e.outcome, e.answer, e.detail)
	}
	s.observer.JobChanged(j.ID)
}

// attemptsExhausted reports whether the task has reached its limit of attempts.
// There is no limit for services and after a checkpointed attempt.
func attemptsExhausted(j *structs.Job, task *structs.Task, e *attemptEnd) bool {
	if j.Spec.Class == structs.ClassService || e.checkpointed {
		return false
	}
	if e.outcome == structs.OutcomeFailed {
		return task.Attempts >= maxFailures
	}
	return task.Attempts >= maxAttempts
}

// requeue makes the task wait for another attempt. The backoff delay is omitted
// for a checkpointed attempt and for one that the scheduler stopped to free
// resources (Reason is set).
func (s *Store) requeue(j *structs.Job, a *structs.Attempt, e *attemptEnd) {
	task := &j.Tasks[a.Task]
	task.State = structs.TaskWaiting
	if a.Reason == "" && !e.checkpointed {
		task.NotBefore = s.data.LogTime + backOff(a).Milliseconds()
	}
	t := s.team(a.Team)
	t.WaitingTasks++
	t.Waiting = t.Waiting.Add(j.Spec.Size)
}

// backOff returns the delay before the retry that follows an attempt, with up to a
// quarter added as jitter. The jitter is a hash of the attempt's id, not a random
// number, because every replica must compute the same delay.
func backOff(a *structs.Attempt) time.Duration {
	delay := min(minBackOff<<min(a.Number-1, 10), maxBackOff)
	const hashMultiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
	quarter := uint64((delay / 4).Milliseconds())
	return delay + time.Duration((a.ID*hashMultiplier>>32)*quarter>>32)*time.Millisecond
}

// endTask sets the task's outcome. When the last task of a job ends, it drops the
// job's payload and schedules the removal of the job.
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
		j.EndedAt = s.data.LogTime
		s.scheduleJobRemoval(j)
	}
}

// shedAttempts marks attempts that are to be throttled, checkpointed or stopped to
// free resources. Their workers receive the directive in the reply to a heartbeat.
func (s *Store) shedAttempts(c *statev1.ShedAttempts) *Result {
	for _, shed := range c.Attempts {
		a := s.data.Attempts[shed.AttemptId]
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

// sortedAttempts returns the ids of the worker's open attempts in ascending order,
// so that every replica processes them in the same order.
func sortedAttempts(w *structs.Worker) []uint64 {
	ids := make([]uint64, 0, len(w.Attempts))
	for id := range w.Attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
