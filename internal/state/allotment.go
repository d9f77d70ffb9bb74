package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// takeAllotment adds a grant of the fleet group to the team's allotment. Grants
// are taken in order of their numbers, each once.
func (s *Store) takeAllotment(c *statev1.TakeAllotment) *Result {
	t := s.team(c.Team)
	if c.Grant <= t.Grant {
		return &Result{Duplicate: true}
	}
	if c.Grant != t.Grant+1 {
		return &Result{Refusal: fmt.Sprintf("team %s: grant %d does not follow grant %d", c.Team, c.Grant, t.Grant)}
	}
	t.Grant = c.Grant
	t.Allotment = t.Allotment.Add(structs.ResourcesFromProto(c.Amount))
	return &Result{}
}

// giveAllotment reduces the allotment before the fleet group hears of it. The
// rest may be less than what runs: then nothing is placed, and the transfer may
// be returned only once what runs fits again (ReturnableTransfers).
func (s *Store) giveAllotment(c *statev1.GiveAllotment) *Result {
	t := s.team(c.Team)
	if c.Transfer <= t.Transfer {
		return &Result{Duplicate: true}
	}
	if c.Transfer != t.Transfer+1 {
		return &Result{Refusal: fmt.Sprintf("team %s: transfer %d does not follow transfer %d", c.Team, c.Transfer, t.Transfer)}
	}
	amount := structs.ResourcesFromProto(c.Amount)
	if !(structs.Resources{}).Fits(amount) || !amount.Fits(t.Allotment) {
		return &Result{Refusal: fmt.Sprintf("team %s has no such amount of allotment to give", c.Team)}
	}
	t.Transfer = c.Transfer
	t.Allotment = t.Allotment.Sub(amount)
	t.Given[c.Transfer] = amount
	return &Result{}
}

// confirmReturn forgets transfers that the fleet group has taken back.
func (s *Store) confirmReturn(c *statev1.ConfirmReturn) *Result {
	t := s.team(c.Team)
	for number := range t.Given {
		if number <= c.Transfer {
			delete(t.Given, number)
		}
	}
	return &Result{}
}

// Transfer is an allotment given up and not known to be returned.
type Transfer struct {
	Number uint64
	Amount structs.Resources
}

// ReturnableTransfers lists, in order, the transfers that may be returned to the fleet
// group: what runs has fitted the reduced allotment, and placements keep it so.
func (s *Store) ReturnableTransfers(team string) []Transfer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.d.Teams[team]
	if t == nil || !t.Running.Fits(t.Allotment) {
		return nil
	}
	var list []Transfer
	for _, number := range slices.Sorted(maps.Keys(t.Given)) {
		list = append(list, Transfer{number, t.Given[number]})
	}
	return list
}

// AttemptWithSpec is an open attempt with what its document allows.
type AttemptWithSpec struct {
	Attempt structs.Attempt
	Spec    structs.WorkSpec
}

// TeamAttempts returns the open attempts of a team, by id.
func (s *Store) TeamAttempts(team string) []AttemptWithSpec {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []AttemptWithSpec
	for _, a := range s.d.Attempts {
		if a.Team == team {
			list = append(list, AttemptWithSpec{*a, s.d.Jobs[a.JobID].Spec})
		}
	}
	slices.SortFunc(list, func(a, b AttemptWithSpec) int { return cmp.Compare(a.Attempt.ID, b.Attempt.ID) })
	return list
}

// WorkerAttempts returns the open attempts of a worker, by id.
func (s *Store) WorkerAttempts(worker string) []AttemptWithSpec {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w := s.d.Workers[worker]
	if w == nil {
		return nil
	}
	var list []AttemptWithSpec
	for _, id := range sortedAttempts(w) {
		a := s.d.Attempts[id]
		list = append(list, AttemptWithSpec{*a, s.d.Jobs[a.JobID].Spec})
	}
	return list
}
