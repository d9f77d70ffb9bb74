package fleet

import (
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// teamLimit returns the upper limit of the team: the sum of the limits in its
// documents.
func (s *Store) teamLimit(team string) structs.Resources {
	var limit structs.Resources
	for id, d := range s.documents {
		if id.Team == team {
			limit = limit.Add(structs.ResourcesFromProto(d.Limit))
		}
	}
	return limit
}

// pool returns the part of the team's limit that is not granted to any data
// centre. It is negative if the limit was lowered below what is granted.
func (s *Store) pool(team string) structs.Resources {
	left := s.teamLimit(team)
	for id, a := range s.allotments {
		if id.Team == team {
			left = left.Sub(structs.ResourcesFromProto(a.Granted))
		}
	}
	return left
}

// allotment returns a copy of the allotment; a new one if there is none.
func (s *Store) allotment(team, dataCentre string) *statev1.Allotment {
	a := s.allotments[allotmentID{team, dataCentre}]
	if a == nil {
		return &statev1.Allotment{Team: team, DataCentre: dataCentre}
	}
	return proto.Clone(a).(*statev1.Allotment)
}

// grantAllotment moves part of the pool to a data centre. Grants are numbered, so
// that a command that is repeated or delayed grants nothing a second time.
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
	// A request to return capacity from before the grant is obsolete.
	a.Wanted, a.Shed = nil, false
	s.allotments[allotmentID{c.Team, c.DataCentre}] = a
	return &statev1.FleetResult{Grant: a.Grant}, &statev1.FleetChange{Allotment: a}
}

// poolCovers reports whether the pool covers the amount in every dimension in
// which the amount is not zero. A dimension whose limit was lowered below what is
// granted does not block grants that do not use it.
func (s *Store) poolCovers(team string, amount structs.Resources) bool {
	pool := s.pool(team)
	covers := func(want, have int64) bool { return want == 0 || want <= have }
	return covers(amount.MilliCPU, pool.MilliCPU) && covers(amount.MemoryBytes, pool.MemoryBytes) &&
		covers(amount.Accelerators, pool.Accelerators)
}

// wantAllotment records the allotment that a data centre is asked to shrink to. It
// is only a request: the granted amount changes when a transfer is returned.
func (s *Store) wantAllotment(c *statev1.WantAllotment) (*statev1.FleetResult, *statev1.FleetChange) {
	a := s.allotment(c.Team, c.DataCentre)
	a.Wanted, a.Shed = c.Amount, c.Shed
	s.allotments[allotmentID{c.Team, c.DataCentre}] = a
	return &statev1.FleetResult{}, &statev1.FleetChange{Allotment: a}
}

// confirmGrants removes the amounts of the grants that the data centre has applied,
// so that the state does not grow with every grant.
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

// GrantAmount returns the amount of the grant with the given number, or nil if
// there is no such grant or its amount was removed after it was confirmed.
func GrantAmount(a *statev1.Allotment, number uint64) *apiv1.Resources {
	first := a.Grant - uint64(len(a.Grants)) + 1
	if number < first || number > a.Grant {
		return nil
	}
	return a.Grants[number-first]
}

// returnAllotment returns to the pool what a data centre group has durably removed
// from its allotment. Transfers are numbered; they are returned in order and each
// only once.
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
