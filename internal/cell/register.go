package cell

import (
	"cmp"
	"slices"
)

// register records a worker's report about itself. Only the newest incarnation with an
// id, and the newest worker at an address, is kept in use; a delayed report of an older
// one is ignored. It returns the crashes that the report has proven.
func (s *Store) register(c *Register) any {
	w := s.Workers[c.ID]
	if w != nil && (c.Born < w.Born || w.Gone && c.Born == w.Born || w.IsLate(c)) {
		return nil
	}
	crashes, newest := s.claimAddress(c)
	if !newest {
		return nil
	}
	if w == nil {
		w = &Worker{ID: c.ID, Attempts: map[TaskKey]Attempt{}}
		s.Workers[c.ID] = w
	}
	if w.Born != c.Born {
		ends := func(a StartedAttempt) bool { return !c.CountsLives || slices.Contains(c.Proven, a) }
		if crash := s.endIncarnation(w, c.Started, ends); crash != nil {
			crashes = append(crashes, crash)
		}
		s.inheritAttempts(w)
		if c.CountsLives && w.Born != 0 {
			w.Lives++
			w.Reborn = true
		}
		w.LastEnd, w.LastReport, w.Gone, w.Draining, w.TakenDown, w.Departing = 0, 0, false, false, false, false
	}
	w.Born, w.Address, w.DataCentre, w.Service = c.Born, c.Address, c.DataCentre, c.Service
	w.Capacity, w.Labels, w.Rack = c.Capacity, c.Labels, c.Rack
	w.LastReport = max(w.LastReport, c.Number)
	w.Draining = w.Draining || c.Draining || c.Departing
	w.Departing = w.Departing || c.Departing
	if c.Deregistered {
		s.retire(w)
	}
	return crashes
}

// claimAddress retires the workers at the address that started earlier and returns their
// crashes. newest is false, and nothing has changed, if a worker that started later has the
// address: the report was delayed.
func (s *Store) claimAddress(c *Register) (crashes []*Crash, newest bool) {
	var older []*Worker
	for _, other := range s.Workers {
		if other.ID == c.ID || other.Address != c.Address || other.Gone {
			continue
		}
		if other.Born > c.Born {
			return nil, false
		}
		older = append(older, other)
	}
	slices.SortFunc(older, func(a, b *Worker) int { return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.ID, b.ID)) })
	for _, other := range older {
		if other.Born < c.Born {
			// The address rejects the orders for other IDs, so none is carried out later.
			if crash := s.endIncarnation(other, c.Started, allAttempts); crash != nil {
				crashes = append(crashes, crash)
			}
		}
		s.retire(other)
	}
	return crashes, true
}

// retire ends all attempts on a worker and excludes it from further use.
func (s *Store) retire(w *Worker) {
	s.endAllAttempts(w)
	s.forgetLosses(w)
	w.Gone = true
}
