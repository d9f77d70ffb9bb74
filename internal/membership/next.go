package membership

import (
	"cmp"
	"slices"
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

// Candidate is a replica that asks to be a member of the group. Voters and learners
// announce themselves in the same way.
type Candidate struct {
	Replica
	// LastSeen is when it last announced itself.
	LastSeen time.Duration
}

// View is the input of Next: the members of a group and the replicas that announced
// themselves, as recorded by the group's leader.
type View struct {
	// PreferredVoters are the names of the processes that should be voters, in order of
	// preference. Their number is the number of voters that the group should have.
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
// added, and last silent voters are replaced.
func Next(v *View) Change {
	live := v.live()
	if c, ok := v.replaceRestarted(live); ok {
		return c
	}
	if c, ok := v.removeStaleLearner(); ok {
		return c
	}
	if len(v.Voters) < len(v.PreferredVoters) {
		if c, ok := v.spare(live); ok {
			return Change{Kind: Add, New: c.Replica}
		}
		return Change{}
	}
	return v.replaceSilentVoter(live)
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

// spare returns the most preferred live candidate that is not a voter.
func (v *View) spare(live []Candidate) (Candidate, bool) {
	for _, c := range live {
		if !slices.ContainsFunc(v.Voters, func(r Replica) bool { return r.ID == c.ID }) {
			return c, true
		}
	}
	return Candidate{}, false
}

// replaceSilentVoter replaces a voter that has been silent for longer than the timeout, if there
// is a spare replica.
func (v *View) replaceSilentVoter(live []Candidate) Change {
	c, ok := v.spare(live)
	if !ok {
		return Change{}
	}
	timeout := cmp.Or(v.VoterTimeout, DefaultVoterTimeout)
	for _, old := range v.Voters {
		if v.Now-v.LastSeen(old.ID) > timeout {
			return Change{Kind: Replace, OldID: old.ID, New: c.Replica}
		}
	}
	return Change{}
}
