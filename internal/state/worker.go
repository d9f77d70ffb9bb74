package state

import (
	"fmt"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// registerWorker adds a worker or updates the data from its heartbeat. A higher
// incarnation proves that the earlier one has ended, so the attempts of the earlier
// one are lost. A command from an older heartbeat than the last one applied changes
// nothing: it could restore a capacity that was reduced since, or revoke the
// worker's announcement that it is leaving.
func (s *Store) registerWorker(c *statev1.RegisterWorker) *Result {
	w := s.data.Workers[c.WorkerId]
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

// replaceWorker adds a worker's new incarnation. A drain set by an operator stays in
// effect across incarnations.
func (s *Store) replaceWorker(old *structs.Worker, c *statev1.RegisterWorker) *structs.Worker {
	w := &structs.Worker{ID: c.WorkerId, Incarnation: c.Incarnation, Attempts: map[uint64]struct{}{}, Charged: map[uint64]structs.Resources{}}
	if old != nil {
		s.loseAttempts(old)
		w.Registration = old.Registration + 1
		w.Draining = old.Draining
	}
	s.data.Workers[w.ID] = w
	return w
}

// setWorkerState sets the drain and probation flags of a worker.
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

// loseWorker marks a worker whose lease has expired as lost and ends its attempts.
// The command may be applied long after the leader decided on it, when a later
// leader has renewed the lease or the worker has registered again. It therefore
// carries the leadership and the registration that it was decided for, and is
// refused if either has changed.
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
	w.LostAt = s.data.LogTime
	s.scheduleWorkerRemoval(w)
	s.observer.WorkerChanged(w.ID)
	return &Result{}
}

// checkEpoch returns a refusal if the epoch is not that of the current leadership.
func (s *Store) checkEpoch(epoch uint64) string {
	if epoch != s.data.Epoch {
		return fmt.Sprintf("%s: leadership %d has begun, the command is of leadership %d", RefusalLeadershipOver, s.data.Epoch, epoch)
	}
	return ""
}

// RefusalLeadershipOver is the prefix of the refusal of a command that was decided
// under an earlier leadership.
const RefusalLeadershipOver = "leadership is over"

// loseAttempts ends every open attempt of a worker that was lost or replaced by a
// later incarnation.
func (s *Store) loseAttempts(w *structs.Worker) {
	for _, id := range sortedAttempts(w) {
		a := s.data.Attempts[id]
		s.closeAttempt(a)
		s.retryOrEndTask(a, &attemptEnd{outcome: structs.OutcomeUnknown, lost: true, detail: "worker " + w.ID + " was lost while the task ran"})
	}
}

// currentWorker returns the worker if the incarnation is the registered one, or the
// reason to refuse the command.
func (s *Store) currentWorker(id string, incarnation uint64) (*structs.Worker, string) {
	w := s.data.Workers[id]
	if w == nil {
		return nil, fmt.Sprintf("worker %s is not known", id)
	}
	if w.Incarnation != incarnation {
		return nil, fmt.Sprintf("worker %s has incarnation %d, not %d", id, w.Incarnation, incarnation)
	}
	return w, ""
}

// charge replaces the worker's charged attempts. An attempt that the worker still
// runs though it is no longer open uses resources until the worker has stopped it,
// so its size counts as committed. An attempt of unknown size counts as the whole
// capacity.
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

// discharge releases the resources of a charged attempt.
func discharge(w *structs.Worker, id uint64) {
	w.Committed = w.Committed.Sub(w.Charged[id])
	delete(w.Charged, id)
}
