package membership

import (
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
