package fleet

import (
	"slices"
	"strings"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// Index returns the index of the last change that the store contains.
func (s *Store) Index() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index
}

// ChangesSince returns the current index and the changes after the given one. If
// they are no longer kept, or the given index is 0, it returns the full state
// instead.
func (s *Store) ChangesSince(index uint64) (uint64, []*statev1.FleetChange, *statev1.FleetState) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if index >= s.index {
		return s.index, nil, nil
	}
	if len(s.changes) == 0 || index < s.changes[0].Index-1 || index == 0 {
		return s.index, nil, s.fullState(false)
	}
	from, _ := slices.BinarySearchFunc(s.changes, index+1, func(c *statev1.FleetChange, i uint64) int {
		return int(int64(c.Index) - int64(i))
	})
	return s.index, slices.Clone(s.changes[from:]), nil
}

// ApplyChanges brings a copy of the configuration to the index. Changes and full
// states that are older than the copy are ignored, so replies may arrive in any
// order.
func (s *Store) ApplyChanges(index uint64, changes []*statev1.FleetChange, full *statev1.FleetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if full != nil && full.Index > s.index {
		s.load(full)
	}
	for _, c := range changes {
		if c.Index > s.index {
			s.applyChange(c)
		}
	}
	s.index = max(s.index, index)
}

func (s *Store) applyChange(c *statev1.FleetChange) {
	s.index = c.Index
	if d := c.Document; d != nil {
		s.documents[queueID{d.Team, d.Service}] = d
	}
	if k := c.Key; k != nil {
		s.keys[k.KeyId] = k
	}
	if a := c.Allotment; a != nil {
		s.allotments[allotmentID{a.Team, a.DataCentre}] = a
	}
	if g := c.Group; g != nil {
		s.groups[g.Group] = g
	}
}

// Document returns a team's document; nil if there is none.
func (s *Store) Document(team, service string) *statev1.Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.documents[queueID{team, service}]
}

// Documents returns all documents, sorted by team and service.
func (s *Store) Documents() []*statev1.Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.fullState(false).Documents
}

// Key returns a key; nil if there is none.
func (s *Store) Key(id string) *statev1.Key {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keys[id]
}

// Keys returns the keys of a team, or all keys if the team is empty, sorted by id.
func (s *Store) Keys(team string) []*statev1.Key {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []*statev1.Key
	for _, k := range s.keys {
		if team == "" || k.Team == team {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *statev1.Key) int { return strings.Compare(a.KeyId, b.KeyId) })
	return list
}

// Allotment returns what is granted of a team's limit to a data centre; an
// allotment with nothing granted if there is none.
func (s *Store) Allotment(team, dataCentre string) *statev1.Allotment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.allotment(team, dataCentre)
}

// Limit returns the team's upper limit and the pool, which is the part of the limit
// that is not granted to any data centre; negative after the limit was lowered
// below what is granted.
func (s *Store) Limit(team string) (limit, pool structs.Resources) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teamLimit(team), s.pool(team)
}
