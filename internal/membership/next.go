package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// DefaultVoterTimeout is how long a voter must not have been heard of before a spare
// replica takes its place. It is longer than a restart of a VM usually takes,
// because moving a replica costs a copy of the whole state.
const DefaultVoterTimeout = 20 * time.Second

// candidateLife is how long an announcement of a joining replica counts.
const candidateLife = 3 * time.Second

// Replica is a replica of a group. Its id is the name of the process and an
// incarnation, separated by '#'.
type Replica struct {
	ID      string
	Address string
}

// ProcessName returns the name of the process in a replica id.
func ProcessName(id string) string {
	name, _, _ := strings.Cut(id, "#")
	return name
}

// Candidate is a replica that asks to join.
type Candidate struct {
	Replica
	// LastSeen is when it last asked.
	LastSeen time.Duration
}

// View is what the leader knows of its group.
type View struct {
	// PreferredVoters are the names of the processes meant to be voters, most wanted
	// first; their number is the number of voters wanted.
	PreferredVoters []string
	Voters          []Replica
	Learners        []Replica
	Candidates      map[string]Candidate
	// LastSeen returns when a voter was last heard of.
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
	// Replace makes a joining replica a voter in the place of another.
	Replace
	// Remove removes a replica.
	Remove
)

// Change is the next membership change.
type Change struct {
	Kind  Kind
	OldID string
	New   Replica
}

// Next returns the next change to make, of kind None if there is none.
func Next(v *View) Change {
	live := v.live()
	if c, ok := v.restarted(live); ok {
		return c
	}
	if c, ok := v.staleLearner(); ok {
		return c
	}
	if len(v.Voters) < len(v.PreferredVoters) {
		if c, ok := v.spare(live); ok {
			return Change{Kind: Add, New: c.Replica}
		}
		return Change{}
	}
	return v.replaceSilent(live)
}

// live returns the candidates that asked lately, listed ones first.
func (v *View) live() []Candidate {
	var list []Candidate
	for _, c := range v.Candidates {
		if v.Now-c.LastSeen <= candidateLife {
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

func (v *View) rank(c Candidate) int {
	if i := slices.Index(v.PreferredVoters, ProcessName(c.ID)); i >= 0 {
		return i
	}
	return len(v.PreferredVoters)
}

// restarted finds a voter whose process came back as another replica: the old
// one is surely gone, and it must not be counted any longer.
func (v *View) restarted(live []Candidate) (Change, bool) {
	for _, c := range live {
		for _, old := range v.Voters {
			if ProcessName(old.ID) == ProcessName(c.ID) && old.ID != c.ID {
				return Change{Kind: Replace, OldID: old.ID, New: c.Replica}, true
			}
		}
	}
	return Change{}, false
}

// staleLearner finds a learner whose process has since come back as another.
func (v *View) staleLearner() (Change, bool) {
	for _, l := range v.Learners {
		c, asked := v.Candidates[ProcessName(l.ID)]
		if asked && c.ID != l.ID {
			return Change{Kind: Remove, OldID: l.ID}, true
		}
	}
	return Change{}, false
}

// spare returns the most wanted live candidate that is not a voter.
func (v *View) spare(live []Candidate) (Candidate, bool) {
	for _, c := range live {
		if !slices.ContainsFunc(v.Voters, func(r Replica) bool { return r.ID == c.ID }) {
			return c, true
		}
	}
	return Candidate{}, false
}

// replaceSilent replaces a voter that has been silent for too long.
func (v *View) replaceSilent(live []Candidate) Change {
	c, ok := v.spare(live)
	if !ok {
		return Change{}
	}
	silent := cmp.Or(v.VoterTimeout, DefaultVoterTimeout)
	for _, old := range v.Voters {
		if v.Now-v.LastSeen(old.ID) > silent {
			return Change{Kind: Replace, OldID: old.ID, New: c.Replica}
		}
	}
	return Change{}
}
