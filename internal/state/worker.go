package state

import (
	"fmt"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// registerWorker adds a worker, or updates its capacity. A higher incarnation
// states that the earlier one is dead, so the earlier one's attempts are lost.
// A command that follows an older heartbeat changes nothing: it would take back
// a smaller capacity or the announcement that the worker leaves.
func (s *Store) registerWorker(c *statev1.RegisterWorker) *Result {
	w := s.d.Workers[c.WorkerId]
	if w != nil && c.Incarnation < w.Incarnation {
		return &Result{Refusal: fmt.Sprintf("worker %s: incarnation %d is older than %d", c.WorkerId, c.Incarnation, w.Incarnation)}
	}
	if w != nil && c.Incarnation == w.Incarnation && c.Sequence != 0 && c.Sequence <= w.Sequence {
		return &Result{Duplicate: true}
	}
	if w == nil || c.Incarnation > w.Incarnation {
		w = s.replaceWorker(w, c)
	}
	if w.Lost {
		w.Lost = false
		w.Registration++
	}
	w.Rack = c.Rack
	w.Capacity = structs.ResourcesFromProto(c.Capacity)
	w.Leaving = c.Leaving
	w.Sequence = c.Sequence
	charge(w, c.Running)
	s.observer.WorkerChanged(w.ID)
	return &Result{}
}

// replaceWorker starts a new incarnation, which an operator's drain outlasts.
func (s *Store) replaceWorker(old *structs.Worker, c *statev1.RegisterWorker) *structs.Worker {
	w := &structs.Worker{ID: c.WorkerId, Incarnation: c.Incarnation, Attempts: map[uint64]struct{}{}, Charged: map[uint64]structs.Resources{}}
	if old != nil {
		s.loseAttempts(old)
		w.Registration = old.Registration + 1
		w.Draining = old.Draining
	}
	s.d.Workers[w.ID] = w
	return w
}

func (s *Store) setWorkerState(c *statev1.SetWorkerState) *Result {
	w, refusal := s.currentWorker(c.WorkerId, c.Incarnation)
	if refusal != "" {
		return &Result{Refusal: refusal}
	}
	w.Draining = c.Leaving
	w.Probation = c.Probation
	s.observer.WorkerChanged(w.ID)
	return &Result{}
}

// loseWorker ends the attempts of a worker whose lease has run out. The command
// names the leadership and the registration that it was decided for: it may be
// applied long after the decision, when a later leader has renewed the lease or
// the worker was taken on again.
func (s *Store) loseWorker(c *statev1.LoseWorker) *Result {
	w, refusal := s.currentWorker(c.WorkerId, c.Incarnation)
	if refusal != "" {
		return &Result{Refusal: refusal}
	}
	if refusal := s.checkEpoch(c.Epoch); refusal != "" {
		return &Result{Refusal: refusal}
	}
	if c.Registration != w.Registration {
		return &Result{Refusal: fmt.Sprintf("worker %s was taken on again: registration %d, not %d", w.ID, w.Registration, c.Registration)}
	}
	s.loseAttempts(w)
	w.Lost = true
	w.LostAt = s.d.LogTime
	s.watchWorker(w)
	s.observer.WorkerChanged(w.ID)
	return &Result{}
}

// checkEpoch refuses a decision of an earlier leadership.
func (s *Store) checkEpoch(epoch uint64) string {
	if epoch != s.d.Epoch {
		return fmt.Sprintf("%s: leadership %d has begun, the command is of leadership %d", RefusalLeadershipOver, s.d.Epoch, epoch)
	}
	return ""
}

// RefusalLeadershipOver begins the refusal of a command of an earlier leadership.
const RefusalLeadershipOver = "leadership is over"

// loseAttempts ends every open attempt of a worker that can no longer run it.
func (s *Store) loseAttempts(w *structs.Worker) {
	for _, id := range sortedAttempts(w) {
		a := s.d.Attempts[id]
		s.closeAttempt(a)
		s.settleTask(a, &end{outcome: structs.OutcomeUnknown, lost: true, detail: "worker " + w.ID + " was lost while the task ran"})
	}
}

func (s *Store) currentWorker(id string, incarnation uint64) (*structs.Worker, string) {
	w := s.d.Workers[id]
	if w == nil {
		return nil, fmt.Sprintf("worker %s is not known", id)
	}
	if w.Incarnation != incarnation {
		return nil, fmt.Sprintf("worker %s has incarnation %d, not %d", id, w.Incarnation, incarnation)
	}
	return w, ""
}

// charge commits the sizes of the attempts that the worker runs though they are
// not open, in place of those charged before.
func charge(w *structs.Worker, running []*apiv1.RunningAttempt) {
	for id := range w.Charged {
		discharge(w, id)
	}
	for _, r := range running {
		_, open := w.Attempts[r.AttemptId]
		_, charged := w.Charged[r.AttemptId]
		if open || charged {
			continue
		}
		size := structs.ResourcesFromProto(r.Size).Max(structs.Resources{})
		if r.Size == nil {
			size = w.Capacity
		}
		w.Charged[r.AttemptId] = size
		w.Committed = w.Committed.Add(size)
	}
}

func discharge(w *structs.Worker, id uint64) {
	w.Committed = w.Committed.Sub(w.Charged[id])
	delete(w.Charged, id)
}
