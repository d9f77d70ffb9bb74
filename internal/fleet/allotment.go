package fleet

import (
	"google.golang.org/protobuf/proto"

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

// grantAllotment moves part of the pool to a data centre.
func (s *Store) grantAllotment(c *statev1.GrantAllotment) (*statev1.FleetResult, *statev1.FleetChange) {
	amount := structs.ResourcesFromProto(c.Amount)
	if !(structs.Resources{}).Fits(amount) || amount.IsZero() {
		return refuse("the amount of a grant must be positive")
	}
	if !amount.Fits(s.pool(c.Team)) {
		return refuse("team %s has too little left of its limit", c.Team)
	}
	a := s.allotment(c.Team, c.DataCentre)
	a.Granted = structs.ResourcesFromProto(a.Granted).Add(amount).Proto()
	a.Grant++
	a.Grants = append(a.Grants, c.Amount)
	s.allotments[allotmentID{c.Team, c.DataCentre}] = a
	return &statev1.FleetResult{Grant: a.Grant}, &statev1.FleetChange{Allotment: a}
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
