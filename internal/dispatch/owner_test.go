package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/structs"
)

// ownedPath is the prefix of a queue that is not public.
const ownedPath = "/owned/"

// teamKeys holds the keys of the teams of a configuration, by their names.
type teamKeys map[string][]string

// configureTeams puts a configuration with the teams in force.
func (b *testCell) configureTeams(version int64, teams teamKeys) {
	b.do(&cellapi.Call{Configure: ownedConfiguration(version, teams)})
}

// ownedConfiguration returns a configuration with two queues that are not public and the teams, each
// with a limit of 4 cores.
func ownedConfiguration(version int64, teams teamKeys) *cell.Configuration {
	c := &cell.Configuration{
		Version: version, Services: []cell.Service{{Name: service}},
		Queues: []cell.Queue{
			{Name: "owned", Host: "h", Prefix: ownedPath, Service: service, TimeoutMS: 1000, MaxFailures: 2, ObjectiveMS: 20_000},
			{Name: "other", Host: "h", Prefix: ownedPath + "other/", Service: service, TimeoutMS: 1000, MaxFailures: 2, ObjectiveMS: 20_000},
		},
	}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		c.Teams = append(c.Teams, cell.Team{Name: name, Keys: teams[name], Weight: 1, Limit: structs.Resources{MilliCPU: 4000}})
	}
	return c
}

func ownedRequest(id, key string) *cell.Request {
	return &cell.Request{Host: "h", Path: ownedPath + id, Key: key}
}

// submitOwned submits a job of one task to the queue.
func (b *testCell) submitOwned(id, key string) {
	b.do(&cellapi.Call{Submit: &cell.Submit{Request: *ownedRequest(id, key), Job: cell.Submission{Spec: "s", Steps: []cell.Step{taskStep(1, 2)}}}})
}

// changeOfTeams is a sequence of configurations after which the owner of a job, which was
// submitted with the first key of team "north" under the first one, has the key owner. Requests
// with the other keys must not find the job.
type changeOfTeams struct {
	name     string
	versions []teamKeys
	owner    string
	others   []string
}

var changesOfTeams = []changeOfTeams{
	{"the name changes", []teamKeys{{"north": {"k1"}, "south": {"k2"}}, {"north-2": {"k1"}, "south": {"k2"}}}, "k1", []string{"k2"}},
	{"two teams exchange their names", []teamKeys{{"north": {"k1"}, "south": {"k2"}}, {"north": {"k2"}, "south": {"k1"}}}, "k1", []string{"k2"}},
	{"another team gets the name", []teamKeys{{"north": {"k1"}}, {"north": {"k3"}, "north-2": {"k1"}}}, "k1", []string{"k3"}},
	{"the key is replaced, then the name changes", []teamKeys{{"north": {"k1"}}, {"north": {"k1", "k3"}}, {"north-2": {"k3"}}}, "k3", []string{"k1"}},
	{"all keys are replaced", []teamKeys{{"north": {"k1"}, "south": {"k2"}}, {"north": {"k3"}, "south": {"k2"}}}, "k3", []string{"k1", "k2"}},
	{"all keys are withdrawn for a while", []teamKeys{{"north": {"k1"}}, {"north": nil}, {"north": {"k3"}}}, "k3", []string{"k1"}},
	{"the team is removed for a while", []teamKeys{{"north": {"k1"}, "south": {"k2"}}, {"south": {"k2"}}, {"north-2": {"k1"}, "south": {"k2"}}}, "k1", []string{"k2"}},
	{"the team is removed, and another one gets the name", []teamKeys{{"north": {"k1"}, "south": {"k2"}}, {"south": {"k2"}}, {"north": {"k3"}, "south": {"k2"}}}, "", []string{"k1", "k2", "k3"}},
	{"the team is split", []teamKeys{{"north": {"k1", "k3"}}, {"north": {"k3"}, "north-2": {"k1"}}}, "k1", []string{"k3"}},
	{"the key moves to another team", []teamKeys{{"north": {"k1", "k3"}, "south": {"k2"}}, {"north": {"k3"}, "south": {"k2", "k1"}}}, "k2", []string{"k3"}},
	{"two teams become one", []teamKeys{{"north": {"k1"}, "south": {"k2"}}, {"south": {"k2", "k1"}}}, "k2", nil},
	{"a withdrawn key is given to another team", []teamKeys{{"north": {"k1", "k3"}, "south": {"k2"}}, {"north": {"k3"}, "south": {"k2"}}, {"north": {"k3"}, "south": {"k2", "k1"}}}, "k3", []string{"k1", "k2"}},
}

// Guards against jobs that their team can neither read nor cancel, or that another team can,
// after a configuration has changed the names or keys of teams, also under a new leader with a
// restored state, and against tasks that run on after the cancellation.
func TestJobStaysWithItsTeam(t *testing.T) {
	for _, c := range changesOfTeams {
		for _, restores := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) { runCell(t, 1, func(b *testCell) { b.playChangeOfTeams(&c, restores) }) })
		}
	}
}

// playChangeOfTeams plays a change and checks who may read and cancel the job.
func (b *testCell) playChangeOfTeams(c *changeOfTeams, restores bool) {
	b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = time.Hour })
	version := int64(2)
	for i, teams := range c.versions {
		b.configureTeams(version, teams)
		version++
		if i == 0 {
			b.submitOwned(jobID1, teams["north"][0])
			time.Sleep(time.Second)
		}
		if restores {
			b.restoreUnderNextLeader()
		}
	}
	b.reportAll()
	time.Sleep(time.Second)
	for _, key := range c.others {
		for _, call := range []*cellapi.Call{{Status: ownedRequest(jobID1, key)}, {Cancel: ownedRequest(jobID1, key)}} {
			v := b.leader.Do(b.t.Context(), call).Verdict
			assert.Assert(b.t, v == cell.NoJob || v == cell.BadKey, "key %s: %v", key, v)
		}
	}
	assert.Equal(b.t, len(b.runningAttemptsOf(jobID1)), 1, "the job was cancelled by another team")
	if c.owner == "" {
		return
	}
	assert.Equal(b.t, b.leader.Do(b.t.Context(), &cellapi.Call{Status: ownedRequest(jobID1, c.owner)}).Verdict, cell.Accepted)
	assert.Equal(b.t, b.leader.Do(b.t.Context(), &cellapi.Call{Cancel: ownedRequest(jobID1, c.owner)}).Verdict, cell.Accepted)
	time.Sleep(time.Second)
	assert.Equal(b.t, len(b.runningAttemptsOf(jobID1)), 0, "tasks run on after the cancellation")
}

// restoreUnderNextLeader changes the leader and replaces the state by a snapshot of itself.
func (b *testCell) restoreUnderNextLeader() {
	term, _ := b.log.Term()
	b.changeLeader(term + 1)
	b.log.mu.Lock() // nothing is committed between the two
	defer b.log.mu.Unlock()
	data, err := b.store.Snapshot()
	assert.NilError(b.t, err)
	assert.NilError(b.t, b.store.Restore(0, data))
}

// Guards against a submission that is answered as accepted and not stored, because its ID is that
// of a job of another team or of another queue of the same team, also while that job is being
// committed.
func TestSubmissionUnderIDOfOtherJobIsRefused(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		b.configureTeams(2, teamKeys{"north": {"k1"}, "south": {"k2"}})
		b.submitOwned(jobID1, "k1")
		for _, prefix := range []string{ownedPath, ownedPath + "other/"} {
			key := map[string]string{ownedPath: "k2", ownedPath + "other/": "k1"}[prefix]
			other := &cell.Submit{Request: cell.Request{Host: "h", Path: prefix + jobID1, Key: key}, Job: cell.Submission{Spec: "other", Steps: []cell.Step{taskStep(1, 1)}}}
			assert.Equal(b.t, b.leader.Do(b.t.Context(), &cellapi.Call{Submit: other}).Verdict, cell.IDTaken, prefix)
			assert.Equal(b.t, b.leader.Do(b.t.Context(), &cellapi.Call{Status: &other.Request}).Verdict, cell.NoJob, prefix)
		}
		b.submitOwned(jobID1, "k1") // repeated by its own client
	})
}

// Guards against two teams whose submissions under one ID are committed at the same time and are
// both answered as accepted.
func TestSubmissionsUnderOneIDAtTheSameTime(t *testing.T) {
	var log *slowLog
	runCellWith(t, 1, func(c *Config) {
		log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: 50 * time.Millisecond}
		c.Log = log
	}, func(b *testCell) {
		b.configureTeams(2, teamKeys{"north": {"k1"}, "south": {"k2"}})
		verdicts := make(chan cell.Verdict, 2)
		for _, key := range []string{"k1", "k2"} {
			go func() {
				verdicts <- b.leader.Do(b.t.Context(), &cellapi.Call{Submit: &cell.Submit{Request: *ownedRequest(jobID1, key), Job: cell.Submission{Spec: key, Steps: []cell.Step{taskStep(1, 1)}}}}).Verdict
			}()
		}
		got := []cell.Verdict{<-verdicts, <-verdicts}
		slices.Sort(got)
		assert.DeepEqual(b.t, got, []cell.Verdict{cell.Accepted, cell.IDTaken})
	})
}
