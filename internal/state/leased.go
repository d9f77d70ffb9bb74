package state

import (
	"strings"

	"laburnumgrade/gen/statev1"
)

// LeasedWorker holds the data of a worker that the leader needs to propose its loss
// when its lease has expired.
type LeasedWorker struct {
	ID                        string
	Incarnation, Registration uint64
	// Lost is set if the loss of the worker is already committed.
	Lost bool
	// Attempts is the number of open attempts.
	Attempts int
}

// LeasedWorkers returns all workers, lost ones included, in no particular order.
func (s *Store) LeasedWorkers() []LeasedWorker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]LeasedWorker, 0, len(s.data.Workers))
	for _, w := range s.data.Workers {
		list = append(list, LeasedWorker{w.ID, w.Incarnation, w.Registration, w.Lost, len(w.Attempts)})
	}
	return list
}

// loseWorkers marks each worker as lost for which loseWorker accepts the decision.
// The result's refusal is that of an ended leadership if there is one, otherwise
// the first refusal; the other workers are marked all the same.
func (s *Store) loseWorkers(c *statev1.LoseWorkers) *Result {
	r := &Result{}
	for _, w := range c.Workers {
		refusal := s.loseWorker(w).Refusal
		if r.Refusal == "" || strings.HasPrefix(refusal, RefusalLeadershipOver) {
			r.Refusal = refusal
		}
	}
	return r
}
