package state

import (
	"fmt"

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

// giveAllotment reduces the allotment before the fleet group hears of it. What
// runs must fit in the rest.
func (s *Store) giveAllotment(c *statev1.GiveAllotment) *Result {
	t := s.team(c.Team)
	if c.Transfer <= t.Transfer {
		return &Result{Duplicate: true}
	}
	if c.Transfer != t.Transfer+1 {
		return &Result{Refusal: fmt.Sprintf("team %s: transfer %d does not follow transfer %d", c.Team, c.Transfer, t.Transfer)}
	}
	amount := structs.ResourcesFromProto(c.Amount)
	rest := t.Allotment.Sub(amount)
	if !t.Running.Fits(rest) {
		return &Result{Refusal: fmt.Sprintf("team %s runs more than would be left of its allotment", c.Team)}
	}
	t.Transfer = c.Transfer
	t.Allotment = rest
	t.Given[c.Transfer] = amount
	return &Result{}
}
