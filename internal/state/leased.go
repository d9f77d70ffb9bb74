package state

import (
	"strings"

	"laburnumgrade/gen/statev1"
)

// LeasedWorker is what the leader needs to know of a worker to end its lease.
type LeasedWorker struct {
	ID                        string
	Incarnation, Registration uint64
	Lost                      bool
	// Attempts is the number of open attempts.
	Attempts int
}

// LeasedWorkers returns all workers, in no order.
func (s *Store) LeasedWorkers() []LeasedWorker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]LeasedWorker, 0, len(s.d.Workers))
	for _, w := range s.d.Workers {
		list = append(list, LeasedWorker{w.ID, w.Incarnation, w.Registration, w.Lost, len(w.Attempts)})
	}
	return list
}

// loseWorkers loses the workers for which the decision still holds. The refusal
// says that the leadership is over, or is that of the first worker refused.
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
