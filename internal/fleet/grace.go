package fleet

import (
	"maps"
	"slices"
	"time"

	"laburnumgrade/gen/statev1"
)

// maxGraceSteps bounds what is remembered of a team's earlier graces. Older
// steps are merged into one with the longest of them.
const maxGraceSteps = 16

// noteGrace records the longest cut_grace of the team's documents if it has
// changed. A process that lost its lease serves under the grace of its own copy,
// so a shorter grace does not bind it.
func (s *Store) noteGrace(team string, index uint64) {
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

// Grace returns for how long after its lease a process whose copy has the index
// from, or a later one, may serve the team that the change concerns. A change
// that is no longer kept may concern any team.
func (s *Store) Grace(change, from uint64) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	team, known := s.teamOf(change)
	if known {
		return longestGrace(s.graces[team], from)
	}
	var longest time.Duration
	for _, steps := range s.graces {
		longest = max(longest, longestGrace(steps, from))
	}
	return longest
}

func longestGrace(steps []*statev1.GraceStep, from uint64) time.Duration {
	var longest int64
	for i, step := range steps {
		// The step lasts until the next one's index.
		if i == len(steps)-1 || steps[i+1].Index > from {
			longest = max(longest, step.GraceMs)
		}
	}
	return time.Duration(longest) * time.Millisecond
}

func (s *Store) teamOf(change uint64) (string, bool) {
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

func (s *Store) graceSteps() []*statev1.GraceStep {
	var list []*statev1.GraceStep
	for _, team := range slices.Sorted(maps.Keys(s.graces)) {
		list = append(list, s.graces[team]...)
	}
	return list
}
