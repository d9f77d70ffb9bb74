package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// takeAllotment adds a grant of the fleet group to the team's allotment in this
// data centre. Grants are numbered per team and applied in order, each once.
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

// giveAllotment takes an amount out of the team's allotment, to be returned to the
// fleet group later. The allotment is reduced here first, so that the same amount
// is never usable in two data centres. The remaining allotment may be less than
// what the team runs. Then no task of the team is placed, and the transfer is not
// returned until the running tasks fit again (see ReturnableTransfers).
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

// confirmReturn removes the transfers up to the given number, which the fleet
// group has recorded as returned.
func (s *Store) confirmReturn(c *statev1.ConfirmReturn) *Result {
	t := s.team(c.Team)
	for number := range t.Given {
		if number <= c.Transfer {
			delete(t.Given, number)
		}
	}
	return &Result{}
}

// Transfer is an amount that was taken out of a team's allotment and whose return
// to the fleet group is not yet confirmed.
type Transfer struct {
	Number uint64
	Amount structs.Resources
}

// ReturnableTransfers returns the team's unconfirmed transfers, ordered by number,
// if its running tasks fit the reduced allotment, and nil otherwise. Once they fit,
// placements keep them within the allotment.
func (s *Store) ReturnableTransfers(team string) []Transfer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.data.Teams[team]
	if t == nil || !t.Running.Fits(t.Allotment) {
		return nil
	}
	var list []Transfer
	for _, number := range slices.Sorted(maps.Keys(t.Given)) {
		list = append(list, Transfer{number, t.Given[number]})
	}
	return list
}

// AttemptWithSpec is an open attempt and the work specification of its job, which
// says whether the attempt may be throttled, checkpointed or preempted.
type AttemptWithSpec struct {
	Attempt structs.Attempt
	Spec    structs.WorkSpec
}

// TeamAttempts returns the open attempts of a team, ordered by id.
func (s *Store) TeamAttempts(team string) []AttemptWithSpec {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []AttemptWithSpec
	for _, a := range s.data.Attempts {
		if a.Team == team {
			list = append(list, AttemptWithSpec{*a, s.data.Jobs[a.JobID].Spec})
		}
	}
	slices.SortFunc(list, func(a, b AttemptWithSpec) int { return cmp.Compare(a.Attempt.ID, b.Attempt.ID) })
	return list
}

// WorkerAttempts returns the open attempts of a worker, ordered by id.
func (s *Store) WorkerAttempts(worker string) []AttemptWithSpec {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w := s.data.Workers[worker]
	if w == nil {
		return nil
	}
	var list []AttemptWithSpec
	for _, id := range sortedAttempts(w) {
		a := s.data.Attempts[id]
		list = append(list, AttemptWithSpec{*a, s.data.Jobs[a.JobID].Spec})
	}
	return list
}
