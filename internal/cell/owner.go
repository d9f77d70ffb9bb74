package cell

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"laburnumgrade/internal/structs"
)

// FormerTeam is a team that is not configured any more and still owns jobs, attempts or
// withdrawals. They stay with it until one of its keys is configured again.
type FormerTeam struct {
	// Name, Keys and Limit are those of its last configuration. Keys and Limit are empty if
	// the team was removed before FormatOwners was adopted.
	Name  string            `cbor:"1,keyasint,omitempty"`
	Keys  []string          `cbor:"2,keyasint,omitempty"`
	Limit structs.Resources `cbor:"3,keyasint,omitempty"`
}

// formerTeamSeparator separates the name and the version in the ID of a former team. The name
// of a configured team does not contain it, so that no team is mistaken for a former one.
const formerTeamSeparator = "\x00"

// formerTeamID returns the ID of a team that was removed by the configuration after the given
// version.
func formerTeamID(name string, version int64) string {
	return name + formerTeamSeparator + strconv.FormatInt(version, 10)
}

// succession states who owns under the next configuration what the teams own under the
// present one.
type succession struct {
	next *configurationIndex
	// successors holds, for each configured or former team that goes on, its name in the next
	// configuration.
	successors map[string]string
	// removed holds the IDs that configured teams get as former teams.
	removed map[string]string
}

// newSuccession returns the succession from the configuration in force, with the former teams,
// to the next one.
//
// Clients know their team by its keys only, so a team goes on as the one that has its keys: if
// several have some, as the one with its name, else as the one with the most. Without any of its
// keys it goes on as the team with its name, unless that one is another team by its keys. A team
// that was not configured for a while is recognised by its keys only, since its name may have
// been given to another team.
func newSuccession(c *Configuration, former map[string]*FormerTeam, next *configurationIndex) *succession {
	x := &succession{next: next, successors: map[string]string{}, removed: map[string]string{}}
	taken := map[string]bool{}
	for i := range c.Teams {
		if t := next.teamWithKeys(c.Teams[i].Name, c.Teams[i].Keys); t != nil {
			x.successors[c.Teams[i].Name] = t.Name
			taken[t.Name] = true
		}
	}
	for i := range c.Teams {
		name := c.Teams[i].Name
		if _, goesOn := x.successors[name]; goesOn {
			continue
		}
		if next.teamsByName[name] != nil && !taken[name] {
			x.successors[name] = name
		} else {
			x.removed[name] = formerTeamID(name, c.Version)
		}
	}
	for id, f := range former {
		if t := next.teamWithKeys(f.Name, f.Keys); t != nil {
			x.successors[id] = t.Name
		}
	}
	return x
}

// teamWithKeys returns the team that has some of the keys, nil if there is none. Of several it
// returns the one with the name, else the one with the most of the keys, else the one whose key
// comes first.
func (x *configurationIndex) teamWithKeys(name string, keys []string) *Team {
	var best *Team
	counts := map[*Team]int{}
	for _, k := range keys {
		t := x.teamsByKey[k]
		if t == nil {
			continue
		}
		if t.Name == name {
			return t
		}
		counts[t]++
	}
	for _, k := range keys {
		if t := x.teamsByKey[k]; t != nil && (best == nil || counts[t] > counts[best]) {
			best = t
		}
	}
	return best
}

// ownerOf returns the team that owns under the next configuration what the given team owns now
// and was requested with the key, which may be empty. newKey is the key that decides on the
// owner from then on.
func (x *succession) ownerOf(team, key string) (owner, newKey string) {
	if team == "" {
		return "", "" // from a public queue, without the key of a team
	}
	if t := x.next.teamsByKey[key]; t != nil && key != "" {
		return t.Name, key
	}
	successor, goesOn := x.successors[team]
	switch {
	case !goesOn:
		return cmp.Or(x.removed[team], team), key
	case len(x.next.teamsByName[successor].Keys) > 0:
		// The team has withdrawn the key and uses others. The key proves nothing if it is
		// configured again.
		return successor, ""
	}
	return successor, key
}

// changesOwners reports whether something may get another owner, or another key that decides on
// it, with the next configuration.
func (s *Store) changesOwners(next *configurationIndex) bool {
	if len(s.FormerTeams) > 0 {
		return true
	}
	for i := range s.Configuration.Teams {
		t := &s.Configuration.Teams[i]
		moves := func(key string) bool { return next.teamsByKey[key] == nil || next.teamsByKey[key].Name != t.Name }
		if len(t.Keys) == 0 || slices.ContainsFunc(t.Keys, moves) {
			return true
		}
	}
	return false
}

// transferOwnership moves jobs, attempts and withdrawals to the teams that own them under the
// next configuration. The caller then rebuilds the indexes.
func (s *Store) transferOwnership(next *configurationIndex) {
	if !s.changesOwners(next) {
		return
	}
	x := newSuccession(s.Configuration, s.FormerTeams, next)
	owners := map[string]bool{}
	for _, j := range s.Jobs {
		j.Team, j.Key = x.ownerOf(j.Team, j.Key)
		owners[j.Team] = true
	}
	s.transferAttempts(x, owners)
	s.transferWithdrawals(x, owners)
	s.updateFormerTeams(x, owners)
}

// transferAttempts moves each attempt to the team of its job, and adds the teams that own
// attempts to owners.
func (s *Store) transferAttempts(x *succession, owners map[string]bool) {
	for _, w := range s.Workers {
		for key, a := range w.Attempts {
			owner := ""
			if j := s.Jobs[key.Job]; j != nil {
				owner = j.Team
			} else {
				owner, _ = x.ownerOf(a.Team, "")
			}
			owners[owner] = true
			if owner != a.Team {
				a.Team = owner
				w.Attempts[key] = a
				w.changes++
			}
		}
	}
	s.sumTeamUsage()
}

// transferWithdrawals moves withdrawals, and adds the teams that own some to owners.
func (s *Store) transferWithdrawals(x *succession, owners map[string]bool) {
	moved := map[string][]Withdrawal{}
	for team, list := range s.Withdrawals {
		for _, w := range list {
			var owner string
			owner, w.Key = x.ownerOf(team, w.Key)
			moved[owner] = append(moved[owner], w)
		}
	}
	for owner, list := range moved {
		owners[owner] = true
		slices.SortFunc(list, func(a, b Withdrawal) int { return cmp.Compare(a.Index, b.Index) })
		moved[owner] = list[max(0, len(list)-maxWithdrawals):]
	}
	s.Withdrawals = moved
}

// updateFormerTeams adds the teams that were removed and drops those that own nothing. owners
// are the teams that own something.
func (s *Store) updateFormerTeams(x *succession, owners map[string]bool) {
	maps.DeleteFunc(s.FormerTeams, func(id string, _ *FormerTeam) bool { return !owners[id] })
	for i := range s.Configuration.Teams {
		t := &s.Configuration.Teams[i]
		if id := x.removed[t.Name]; owners[id] {
			s.addFormerTeam(id, &FormerTeam{Name: t.Name, Keys: t.Keys, Limit: t.Limit})
		}
	}
}

func (s *Store) addFormerTeam(id string, t *FormerTeam) {
	if s.FormerTeams == nil {
		s.FormerTeams = map[string]*FormerTeam{}
	}
	s.FormerTeams[id] = t
}

// sumTeamUsage derives teamUsage from the attempts.
func (s *Store) sumTeamUsage() {
	s.teamUsage = map[string]structs.Resources{}
	for _, w := range s.Workers {
		for _, a := range w.Attempts {
			s.teamUsage[a.Team] = s.teamUsage[a.Team].Add(a.Size)
		}
	}
}

// FormerTeams returns the number of former teams.
func (v *View) FormerTeams() int { return len(v.s.FormerTeams) }
