package fleet

import (
	"maps"
	"slices"
	"time"

	"laburnumgrade/gen/statev1"
)

// maxGraceSteps bounds the number of past graces kept for a team. When it is
// exceeded, the two oldest are merged into one with the longer grace.
const maxGraceSteps = 16

// recordGrace records the longest cut_grace of the team's documents if it has
// changed. Earlier graces are kept because a process whose lease has expired
// serves under the grace in its own copy, which may be longer than the new one.
func (s *Store) recordGrace(team string, index uint64) {
	var longest int64
	for id, d := range s.documents {
		if id.Team == team {
			longest = max(longest, d.CutGraceMs)
		}
	}
	steps := s.graces[team]
	if len(steps) == 0 && longest == 0 || len(steps) > 0 && steps[len(steps)-1].GraceMs == longest {
		return
	}
	steps = append(steps, &statev1.GraceStep{Team: team, Index: index, GraceMs: longest})
	if len(steps) > maxGraceSteps {
		merged := &statev1.GraceStep{Team: team, Index: steps[0].Index, GraceMs: max(steps[0].GraceMs, steps[1].GraceMs)}
		steps = append([]*statev1.GraceStep{merged}, steps[2:]...)
	}
	s.graces[team] = steps
}

// Grace returns for how long after its lease has expired a process may serve the
// team that the change concerns, if its copy has the index from or a later one. If
// the change is no longer kept, the team is unknown, and Grace returns the longest
// grace of all teams.
func (s *Store) Grace(change, from uint64) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	team, known := s.teamOfChange(change)
	if known {
		return longestGrace(s.graces[team], from)
	}
	var longest time.Duration
	for _, steps := range s.graces {
		longest = max(longest, longestGrace(steps, from))
	}
	return longest
}

// longestGrace returns the longest grace that was in effect at the index from or
// later.
func longestGrace(steps []*statev1.GraceStep, from uint64) time.Duration {
	var longest int64
	for i, step := range steps {
		// A step is in effect up to the index of the next one.
		if i == len(steps)-1 || steps[i+1].Index > from {
			longest = max(longest, step.GraceMs)
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// teamOfChange returns the team that the change concerns, empty if it concerns no
// team's serving, and whether the change is still kept.
func (s *Store) teamOfChange(change uint64) (string, bool) {
	i, found := slices.BinarySearchFunc(s.changes, change, func(c *statev1.FleetChange, index uint64) int {
		return int(int64(c.Index) - int64(index))
	})
	if !found {
		return "", false
	}
	c := s.changes[i]
	switch {
	case c.Document != nil:
		return c.Document.Team, true
	case c.Key != nil:
		return c.Key.Team, true
	}
	return "", true
}

// graceSteps returns the grace steps of all teams, for a snapshot.
func (s *Store) graceSteps() []*statev1.GraceStep {
	var list []*statev1.GraceStep
	for _, team := range slices.Sorted(maps.Keys(s.graces)) {
		list = append(list, s.graces[team]...)
	}
	return list
}
