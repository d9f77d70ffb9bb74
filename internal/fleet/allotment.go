package fleet

import (
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// teamLimit is the team's upper limit: the sum over its documents.
func (s *Store) teamLimit(team string) structs.Resources {
	var limit structs.Resources
	for id, d := range s.documents {
		if id.Team == team {
			limit = limit.Add(structs.ResourcesFromProto(d.Limit))
		}
	}
	return limit
}

// pool is what is left of a team's limit; negative if the limit was lowered
// below what is granted.
func (s *Store) pool(team string) structs.Resources {
	left := s.teamLimit(team)
	for id, a := range s.allotments {
		if id.Team == team {
			left = left.Sub(structs.ResourcesFromProto(a.Granted))
		}
	}
	return left
}

func (s *Store) allotment(team, dataCentre string) *statev1.Allotment {
	a := s.allotments[allotmentID{team, dataCentre}]
	if a == nil {
		return &statev1.Allotment{Team: team, DataCentre: dataCentre}
	}
	return proto.Clone(a).(*statev1.Allotment)
}

// grantAllotment moves part of the pool to a data centre. Grants are numbered,
// so that a repeated or delayed command grants nothing.
func (s *Store) grantAllotment(c *statev1.GrantAllotment) (*statev1.FleetResult, *statev1.FleetChange) {
	a := s.allotment(c.Team, c.DataCentre)
	if c.Grant <= a.Grant {
		return &statev1.FleetResult{Duplicate: true, Grant: a.Grant}, nil
	}
	if c.Grant != a.Grant+1 {
		return refuse("team %s in %s: grant %d does not follow grant %d", c.Team, c.DataCentre, c.Grant, a.Grant)
	}
	amount := structs.ResourcesFromProto(c.Amount)
	if !(structs.Resources{}).Fits(amount) || amount.IsZero() {
		return refuse("the amount of a grant must be positive")
	}
	if !s.poolCovers(c.Team, amount) {
		return refuse("team %s has too little left of its limit", c.Team)
	}
	a.Granted = structs.ResourcesFromProto(a.Granted).Add(amount).Proto()
	a.Grant++
	a.Grants = append(a.Grants, c.Amount)
	// What was asked back before the grant no longer holds.
	a.Wanted, a.Shed = nil, false
	s.allotments[allotmentID{c.Team, c.DataCentre}] = a
	return &statev1.FleetResult{Grant: a.Grant}, &statev1.FleetChange{Allotment: a}
}

// poolCovers reports whether the pool covers the amount in every dimension that
// the amount has. A dimension whose limit was lowered does not hold up others.
func (s *Store) poolCovers(team string, amount structs.Resources) bool {
	pool := s.pool(team)
	covers := func(want, have int64) bool { return want == 0 || want <= have }
	return covers(amount.MilliCPU, pool.MilliCPU) && covers(amount.MemoryBytes, pool.MemoryBytes) &&
		covers(amount.Accelerators, pool.Accelerators)
}

// wantAllotment records what a data centre is asked to keep. It is advice: only
// a returned transfer changes what is granted.
func (s *Store) wantAllotment(c *statev1.WantAllotment) (*statev1.FleetResult, *statev1.FleetChange) {
	a := s.allotment(c.Team, c.DataCentre)
	a.Wanted, a.Shed = c.Amount, c.Shed
	s.allotments[allotmentID{c.Team, c.DataCentre}] = a
	return &statev1.FleetResult{}, &statev1.FleetChange{Allotment: a}
}

// confirmGrants forgets the amounts of grants that were taken, so that the state
// does not grow with every grant.
func (s *Store) confirmGrants(c *statev1.ConfirmGrants) (*statev1.FleetResult, *statev1.FleetChange) {
	a := s.allotment(c.Team, c.DataCentre)
	open := int(a.Grant - min(c.Taken, a.Grant))
	if open >= len(a.Grants) {
		return &statev1.FleetResult{Duplicate: true}, nil
	}
	a.Grants = a.Grants[len(a.Grants)-open:]
	s.allotments[allotmentID{c.Team, c.DataCentre}] = a
	return &statev1.FleetResult{}, &statev1.FleetChange{Allotment: a}
}

// GrantAmount returns the amount of a grant that is still kept; nil if the grant
// was not made or was confirmed.
func GrantAmount(a *statev1.Allotment, number uint64) *apiv1.Resources {
	first := a.Grant - uint64(len(a.Grants)) + 1
	if number < first || number > a.Grant {
		return nil
	}
	return a.Grants[number-first]
}

// returnAllotment takes back what a data centre group has durably given up.
// Transfers are returned in order of their numbers, each once.
func (s *Store) returnAllotment(c *statev1.ReturnAllotment) (*statev1.FleetResult, *statev1.FleetChange) {
	a := s.allotment(c.Team, c.DataCentre)
	if c.Transfer <= a.Transfer {
		return &statev1.FleetResult{Duplicate: true}, nil
	}
	if c.Transfer != a.Transfer+1 {
		return refuse("team %s in %s: transfer %d does not follow transfer %d", c.Team, c.DataCentre, c.Transfer, a.Transfer)
	}
	a.Transfer = c.Transfer
	a.Granted = structs.ResourcesFromProto(a.Granted).Sub(structs.ResourcesFromProto(c.Amount)).Proto()
	s.allotments[allotmentID{c.Team, c.DataCentre}] = a
	return &statev1.FleetResult{}, &statev1.FleetChange{Allotment: a}
}
