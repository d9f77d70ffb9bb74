package membership

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// DefaultVoterTimeout is how long a voter must be silent before a spare replica replaces
// it. It is longer than the usual restart of a VM, because replacing a voter costs a copy of
// the whole state.
const DefaultVoterTimeout = 20 * time.Second

// candidateLifetime is how long the announcement of a joining replica counts.
const candidateLifetime = 3 * time.Second

// Replica is a replica of a group. Its id consists of the name of its process and an
// incarnation, separated by '#'.
type Replica struct {
	ID      string
	Address string
}

// ProcessName returns the name of the process in the id of a replica.
func ProcessName(id string) string {
	name, _, _ := strings.Cut(id, "#")
	return name
}

// incarnation returns the number in the id of a replica, 0 if there is none.
func incarnation(id string) uint64 {
	_, number, _ := strings.Cut(id, "#")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Candidate is a replica that asks to be a member of the group. Voters and learners
// announce themselves in the same way.
type Candidate struct {
	Replica
	// DataCentre is the data centre of its process, empty if it is not known.
	DataCentre string
	// LastSeen is when it last announced itself.
	LastSeen time.Duration
	// Format is the newest format of the group's state that it applies.
	Format uint32
}

// Record records an announcement in candidates, which are the replicas that announced
// themselves last by the names of their processes. An announcement with an earlier
// incarnation than the recorded one is ignored as long as that one is live: it was sent
// before the process restarted and arrived late. The recorded replica would otherwise count
// as one that no longer exists. A process whose clock has gone back over the restart is
// recorded once the other replica has been silent for candidateLifetime.
func Record(candidates map[string]Candidate, c Candidate) {
	name := ProcessName(c.ID)
	known, ok := candidates[name]
	if ok && incarnation(c.ID) < incarnation(known.ID) && c.LastSeen-known.LastSeen <= candidateLifetime {
		return
	}
	candidates[name] = c
}

// View is the input of Next: the members of a group and the replicas that announced
// themselves, as recorded by the group's leader.
type View struct {
	// PreferredVoters are the names of the processes that should be voters, in order of
	// preference. Their number is the number of voters that the group should have. An
	// empty name stands for any process.
	PreferredVoters []string
	Voters          []Replica
	Learners        []Replica
	// Candidates holds the replica of each process that last announced itself, by the name of
	// the process.
	Candidates map[string]Candidate
	// LastSeen returns when a voter was last seen.
	LastSeen func(id string) time.Duration
	Now      time.Duration
	// VoterTimeout replaces DefaultVoterTimeout if it is not 0.
	VoterTimeout time.Duration
	// Leader is the id of the leader, which can't be removed, and LeaderSince is since when
	// it leads. If Leader is empty, surplus voters stay.
	Leader      string
	LeaderSince time.Duration
	// MaxPerDataCentre is the number of voters that may be in one data centre if spare
	// replicas elsewhere allow it; 0 means that it is not limited. It has no effect if
	// Leader is empty.
	MaxPerDataCentre int
}

// Kind is the kind of a membership change.
type Kind int

// Kinds of membership changes.
const (
	None Kind = iota
	// Add makes a joining replica a voter.
	Add
	// Replace makes a joining replica a voter in place of another.
	Replace
	// Remove removes a replica.
	Remove
)

// Change is a membership change.
type Change struct {
	Kind Kind
	// OldID is the replica that is removed or replaced.
	OldID string
	// New is the replica that becomes a voter.
	New Replica
}

// Next returns the next change to make, of kind None if there is none. Restarted replicas
// come first, since the members with their old ids no longer exist; then missing voters are
// added and surplus ones removed, then silent voters are replaced, and last voters move
// out of data centres with too many of them.
func Next(v *View) Change {
	live := v.live()
	if c, ok := v.replaceRestarted(live); ok {
		return c
	}
	if c, ok := v.removeStaleLearner(); ok {
		return c
	}
	if len(v.Voters) < len(v.PreferredVoters) {
		if c, ok := v.spare(live, ""); ok {
			return Change{Kind: Add, New: c.Replica}
		}
		return Change{}
	}
	if c, ok := v.removeSurplusVoter(); ok {
		return c
	}
	if c, ok := v.replaceSilentVoter(live); ok {
		return c
	}
	return v.spreadVoters(live)
}

// live returns the candidates that announced themselves within candidateLifetime, those of
// preferred processes first.
func (v *View) live() []Candidate {
	var list []Candidate
	for _, c := range v.Candidates {
		if v.Now-c.LastSeen <= candidateLifetime {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		if d := v.rank(a) - v.rank(b); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	return list
}

// rank returns the position of the candidate in the order of preference.
func (v *View) rank(c Candidate) int {
	if i := slices.Index(v.PreferredVoters, ProcessName(c.ID)); i >= 0 {
		return i
	}
	return len(v.PreferredVoters)
}

// replaceRestarted replaces a voter whose process has restarted as another replica: the old
// replica no longer exists and must not count as a voter.
func (v *View) replaceRestarted(live []Candidate) (Change, bool) {
	for _, c := range live {
		for _, old := range v.Voters {
			if ProcessName(old.ID) == ProcessName(c.ID) && old.ID != c.ID {
				return Change{Kind: Replace, OldID: old.ID, New: c.Replica}, true
			}
		}
	}
	return Change{}, false
}

// removeStaleLearner removes a learner whose process has restarted as another replica.
func (v *View) removeStaleLearner() (Change, bool) {
	for _, l := range v.Learners {
		c, announced := v.Candidates[ProcessName(l.ID)]
		if announced && c.ID != l.ID {
			return Change{Kind: Remove, OldID: l.ID}, true
		}
	}
	return Change{}, false
}

// dataCentre returns the data centre of a voter, empty if it is not known.
func (v *View) dataCentre(id string) string { return v.Candidates[ProcessName(id)].DataCentre }

// votersIn returns the number of voters other than the given one in a data centre, 0 if the
// data centre is not known.
func (v *View) votersIn(dataCentre, except string) int {
	count := 0
	for _, r := range v.Voters {
		if dataCentre != "" && r.ID != except && v.dataCentre(r.ID) == dataCentre {
			count++
		}
	}
	return count
}

// spare returns the most preferred live candidate that is not a voter; among equals the
// one in the data centre with the fewest voters, where the voter that it replaces does not
// count, and then one that is a learner already.
func (v *View) spare(live []Candidate, replaced string) (Candidate, bool) {
	var spares []Candidate
	for _, c := range live {
		if !contains(v.Voters, c.ID) {
			spares = append(spares, c)
		}
	}
	if len(spares) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(spares, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(v.rank(a), v.rank(b)),
			cmp.Compare(v.votersIn(a.DataCentre, replaced), v.votersIn(b.DataCentre, replaced)),
			-compareBool(contains(v.Learners, a.ID), contains(v.Learners, b.ID)),
			strings.Compare(a.ID, b.ID))
	}), true
}

func contains(list []Replica, id string) bool {
	return slices.ContainsFunc(list, func(r Replica) bool { return r.ID == id })
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// timeout returns the silence after which a voter is replaced.
func (v *View) timeout() time.Duration { return cmp.Or(v.VoterTimeout, DefaultVoterTimeout) }

// replaceSilentVoter replaces a voter that has been silent for longer than the timeout, if there
// is a spare replica.
func (v *View) replaceSilentVoter(live []Candidate) (Change, bool) {
	for _, old := range v.Voters {
		if v.Now-v.LastSeen(old.ID) <= v.timeout() {
			continue
		}
		if c, ok := v.spare(live, old.ID); ok {
			return Change{Kind: Replace, OldID: old.ID, New: c.Replica}, true
		}
	}
	return Change{}, false
}

// removeSurplusVoter removes a voter if there are more than there should be, as after a
// replacement that ended half-way: the one that was silent for longest if one is silent,
// else one of the data centre with the most voters. The leader waits for the announcements
// of all voters first.
func (v *View) removeSurplusVoter() (Change, bool) {
	if v.Leader == "" || len(v.Voters) <= len(v.PreferredVoters) || v.Now-v.LeaderSince <= v.timeout() {
		return Change{}, false
	}
	var others []Replica
	for _, r := range v.Voters {
		if r.ID != v.Leader {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return Change{}, false
	}
	silence := func(r Replica) time.Duration {
		if s := v.Now - v.LastSeen(r.ID); s > candidateLifetime {
			return s
		}
		return 0
	}
	surplus := slices.MaxFunc(others, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(silence(a), silence(b)),
			cmp.Compare(v.votersIn(v.dataCentre(a.ID), ""), v.votersIn(v.dataCentre(b.ID), "")),
			strings.Compare(a.ID, b.ID))
	})
	return Change{Kind: Remove, OldID: surplus.ID}, true
}

// spreadVoters replaces a voter of the data centre with the most voters, if they are more
// than MaxPerDataCentre and there is a spare replica in one with at least two fewer. It
// waits until all voters have announced themselves.
func (v *View) spreadVoters(live []Candidate) Change {
	if v.Leader == "" || v.MaxPerDataCentre == 0 || len(v.Voters) != len(v.PreferredVoters) {
		return Change{}
	}
	var crowded Replica
	most := v.MaxPerDataCentre
	for _, r := range v.Voters {
		if !slices.ContainsFunc(live, func(c Candidate) bool { return c.ID == r.ID }) {
			return Change{}
		}
		if count := v.votersIn(v.dataCentre(r.ID), ""); r.ID != v.Leader && count > most {
			crowded, most = r, count
		}
	}
	if crowded.ID == "" {
		return Change{}
	}
	c, ok := v.spare(live, crowded.ID)
	if !ok || c.DataCentre == "" || v.votersIn(c.DataCentre, "") > most-2 {
		return Change{}
	}
	return Change{Kind: Replace, OldID: crowded.ID, New: c.Replica}
}
