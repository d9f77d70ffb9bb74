package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// registerWorker adds a worker, or updates its capacity. A higher incarnation
// states that the earlier one is dead, so the earlier one's attempts are lost.
func (s *Store) registerWorker(c *statev1.RegisterWorker) *Result {
	w := s.d.Workers[c.WorkerId]
	if w != nil && c.Incarnation < w.Incarnation {
		return &Result{Refusal: fmt.Sprintf("worker %s: incarnation %d is older than %d", c.WorkerId, c.Incarnation, w.Incarnation)}
	}
	if w != nil && c.Incarnation > w.Incarnation {
		s.loseAttempts(w)
		w = nil
	}
	if w == nil {
		w = &structs.Worker{ID: c.WorkerId, Incarnation: c.Incarnation, Attempts: map[uint64]struct{}{}}
		s.d.Workers[c.WorkerId] = w
	}
	w.Rack = c.Rack
	w.Capacity = structs.ResourcesFromProto(c.Capacity)
	w.Leaving = c.Leaving
	w.Lost = false
	s.observer.WorkerChanged(w.ID)
	return &Result{}
}

func (s *Store) setWorkerState(c *statev1.SetWorkerState) *Result {
	w, refusal := s.currentWorker(c.WorkerId, c.Incarnation)
	if refusal != "" {
		return &Result{Refusal: refusal}
	}
	w.Leaving = c.Leaving
	w.Probation = c.Probation
	s.observer.WorkerChanged(w.ID)
	return &Result{}
}

func (s *Store) loseWorker(c *statev1.LoseWorker) *Result {
	w, refusal := s.currentWorker(c.WorkerId, c.Incarnation)
	if refusal != "" {
		return &Result{Refusal: refusal}
	}
	s.loseAttempts(w)
	w.Lost = true
	s.observer.WorkerChanged(w.ID)
	return &Result{}
}

// loseAttempts ends every open attempt of a worker that can no longer run it.
func (s *Store) loseAttempts(w *structs.Worker) {
	for _, id := range sortedAttempts(w) {
		a := s.d.Attempts[id]
		s.closeAttempt(a)
		s.settleTask(a, structs.OutcomeUnknown, nil, "worker "+w.ID+" was lost while the task ran", false)
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
