package cell

// Formats of the state. A replica applies commands by the rules of the format that was adopted,
// so that replicas of two releases reach the same state.
const (
	// FormatNames is the format of releases before FormatOwners: what a team owns stays with
	// its name.
	FormatNames uint32 = iota
	// FormatOwners makes a configuration move what a team owns to the team that goes on.
	FormatOwners

	// NewestFormat is the newest format that this release applies.
	NewestFormat = FormatOwners
)

// AdoptFormat puts a format of the state in force. It is committed only once all replicas apply
// it.
type AdoptFormat struct {
	Format uint32 `cbor:"1,keyasint,omitempty"`
}

// adoptFormat puts a newer format in force.
func (s *Store) adoptFormat(c *AdoptFormat) any {
	if s.Format < FormatOwners && c.Format >= FormatOwners {
		s.separateRemovedTeams()
	}
	s.Format = max(s.Format, c.Format)
	return nil
}

// separateRemovedTeams makes former teams of the teams that own something and are not
// configured. Until then only their names are known, and one that is configured later with
// the name of such a team may be another one.
func (s *Store) separateRemovedTeams() {
	if s.Configuration == nil {
		return
	}
	ownerOf := func(team string) string {
		if team == "" || s.configIndex.teamsByName[team] != nil {
			return team
		}
		id := formerTeamID(team, s.Configuration.Version)
		s.addFormerTeam(id, &FormerTeam{Name: team})
		return id
	}
	for _, j := range s.Jobs {
		j.Team = ownerOf(j.Team)
	}
	for _, w := range s.Workers {
		for key, a := range w.Attempts {
			a.Team = ownerOf(a.Team)
			w.Attempts[key] = a
		}
	}
	s.sumTeamUsage()
	moved := map[string][]Withdrawal{}
	for team, list := range s.Withdrawals {
		moved[ownerOf(team)] = list
	}
	s.Withdrawals = moved
	s.indexWithdrawals()
}

// Format returns the format of the state.
func (v *View) Format() uint32 { return v.s.Format }
