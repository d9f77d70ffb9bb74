package membership

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const now = time.Minute

// candidates returns candidates that were last seen at the given time.
func candidates(lastSeen time.Duration, ids ...string) map[string]Candidate {
	m := map[string]Candidate{}
	for _, id := range ids {
		m[ProcessName(id)] = Candidate{Replica: Replica{ID: id}, LastSeen: lastSeen}
	}
	return m
}

func replicas(ids ...string) []Replica {
	var list []Replica
	for _, id := range ids {
		list = append(list, Replica{ID: id})
	}
	return list
}

// TestNext guards against a restarted replica that counts as the voter with its old id,
// a group that stays below its number of voters, and a voter that is replaced although it
// was silent only for the time of a restart or no spare replica is alive.
func TestNext(t *testing.T) {
	preferred := []string{"a", "b", "c"}
	tests := []struct {
		name       string
		voters     []Replica
		learners   []Replica
		candidates map[string]Candidate
		lastSeen   map[string]time.Duration
		want       Change
	}{
		{"complete", replicas("a#1", "b#1", "c#1"), nil, candidates(now, "a#1", "b#1", "c#1"), nil, Change{}},
		{"founder alone", replicas("a#1"), nil, candidates(now, "a#1", "b#1", "c#1"), nil, Change{Kind: Add, New: Replica{ID: "b#1"}}},
		{"most preferred first", replicas("a#1"), nil, candidates(now, "d#1", "c#1"), nil, Change{Kind: Add, New: Replica{ID: "c#1"}}},
		{"old announcement", replicas("a#1", "b#1"), nil, candidates(now-candidateLifetime-1, "c#1"), nil, Change{}},
		{"restarted voter", replicas("a#1", "b#1", "c#1"), nil, candidates(now, "b#2"), nil, Change{Kind: Replace, OldID: "b#1", New: Replica{ID: "b#2"}}},
		{"restarted voter before a missing one", replicas("a#1", "b#1"), nil, candidates(now, "b#2", "c#1"), nil, Change{Kind: Replace, OldID: "b#1", New: Replica{ID: "b#2"}}},
		{"restarted learner", replicas("a#1", "b#1"), replicas("c#1"), candidates(now, "c#2"), nil, Change{Kind: Remove, OldID: "c#1"}},
		{"silent voter with a spare", replicas("a#1", "b#1", "c#1"), nil, candidates(now, "d#1"), map[string]time.Duration{"c#1": now - DefaultVoterTimeout - 1}, Change{Kind: Replace, OldID: "c#1", New: Replica{ID: "d#1"}}},
		{"voter not silent for long enough", replicas("a#1", "b#1", "c#1"), nil, candidates(now, "d#1"), map[string]time.Duration{"c#1": now - DefaultVoterTimeout}, Change{}},
		{"silent voter without a spare", replicas("a#1", "b#1", "c#1"), nil, candidates(now, "a#1"), map[string]time.Duration{"c#1": 0}, Change{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Next(&View{
				PreferredVoters: preferred, Voters: test.voters, Learners: test.learners, Candidates: test.candidates, Now: now,
				LastSeen: func(id string) time.Duration {
					if at, ok := test.lastSeen[id]; ok {
						return at
					}
					return now
				},
			})
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestNextSpreadsVoters guards against voters of which the loss of one data centre takes
// the majority, against voters that move without need or before all are known, and
// against surplus voters that stay, or the removal of a live one instead of a silent one.
func TestNextSpreadsVoters(t *testing.T) {
	all := "a1 a2 b1 b2 c1 c2 d1 d2"
	tests := []struct {
		name      string
		voters    string
		live      string
		silent    string
		learners  string
		since     time.Duration
		max, size int
		want      Change
	}{
		{"fourth data centre first", "a1 b1 c1", all, "", "", 0, 2, 5, Change{Kind: Add, New: Replica{ID: "d1"}}},
		{"silent voters do not count where they are replaced", "a1 b1 c1", "a1 a2 b1 b2", "c1", "", 0, 1, 3, Change{Kind: Replace, OldID: "c1", New: Replica{ID: "a2"}}},
		{"data centre with fewest voters replaces a silent one", "a1 b1 c1 d1 a2", "a1 b1 b2 c1 d1 d2", "a2", "", 0, 2, 5, Change{Kind: Replace, OldID: "a2", New: Replica{ID: "b2"}}},
		{"learner among equals", "a1 b1 c1 d1", all, "", "c2", 0, 2, 5, Change{Kind: Add, New: Replica{ID: "c2"}}},
		{"two of three in one data centre", "a1 a2 b1", all, "", "", 0, 1, 3, Change{Kind: Replace, OldID: "a2", New: Replica{ID: "c1"}}},
		{"two of five in one data centre", "a1 a2 b1 b2 c1", all, "", "", 0, 2, 5, Change{}},
		{"no data centre with fewer", "a1 a2 b1", "a1 a2 b1 b2", "", "", 0, 1, 3, Change{}},
		{"a voter is not yet known", "a1 a2 b1", "a1 a2 c1", "", "", 0, 1, 3, Change{}},
		{"silent surplus voter", "a1 b1 c1 d1", "a1 b1 d1", "c1", "", 0, 1, 3, Change{Kind: Remove, OldID: "c1"}},
		{"surplus voter in the most crowded data centre", "a1 b1 b2 c1", all, "", "", 0, 1, 3, Change{Kind: Remove, OldID: "b2"}},
		{"surplus voter, new leader", "a1 b1 b2 c1", all, "", "", now - DefaultVoterTimeout, 1, 3, Change{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := &View{
				PreferredVoters: make([]string, test.size), Voters: replicas(strings.Fields(test.voters)...), Learners: replicas(strings.Fields(test.learners)...),
				Candidates: candidates(now, strings.Fields(test.live)...), Now: now, Leader: "a1", LeaderSince: test.since, MaxPerDataCentre: test.max,
				LastSeen: func(id string) time.Duration {
					if strings.Contains(test.silent, id) && test.silent != "" {
						return now - DefaultVoterTimeout - 1
					}
					return now
				},
			}
			for name, c := range candidates(now-DefaultVoterTimeout-1, strings.Fields(test.silent)...) {
				view.Candidates[name] = c
			}
			for name, c := range view.Candidates {
				c.DataCentre = name[:1]
				view.Candidates[name] = c
			}
			assert.DeepEqual(t, Next(view), test.want)
		})
	}
}

// TestRecordIgnoresEarlierIncarnation guards against the replacement or removal of a running
// replica because an announcement that its process sent before it restarted arrives late,
// and against a process that is never recorded again after its clock went back.
func TestRecordIgnoresEarlierIncarnation(t *testing.T) {
	tests := []struct {
		name     string
		recorded Candidate
		late     Candidate
		voters   []Replica
		learners []Replica
		want     Change
	}{
		{"voter", candidates(now, "b#2")["b"], candidates(now, "b#1")["b"], replicas("a#1", "b#2", "c#1"), nil, Change{}},
		{"voter, numbers of different length", candidates(now, "b#10")["b"], candidates(now, "b#9")["b"], replicas("a#1", "b#10", "c#1"), nil, Change{}},
		{"learner", candidates(now, "c#2")["c"], candidates(now, "c#1")["c"], replicas("a#1", "b#1"), replicas("c#2"), Change{Kind: Add, New: Replica{ID: "c#2"}}},
		{"restart", candidates(now, "b#1")["b"], candidates(now, "b#2")["b"], replicas("a#1", "b#1", "c#1"), nil, Change{Kind: Replace, OldID: "b#1", New: Replica{ID: "b#2"}}},
		{"clock went back", candidates(now-candidateLifetime-1, "b#2")["b"], candidates(now, "b#1")["b"], replicas("a#1", "b#2", "c#1"), nil, Change{Kind: Replace, OldID: "b#2", New: Replica{ID: "b#1"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recorded := map[string]Candidate{}
			Record(recorded, test.recorded)
			Record(recorded, test.late)
			got := Next(&View{
				PreferredVoters: []string{"a", "b", "c"}, Voters: test.voters, Learners: test.learners, Candidates: recorded, Now: now,
				LastSeen: func(string) time.Duration { return now },
			})
			assert.DeepEqual(t, got, test.want)
		})
	}
}
