package cell

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/structs"
)

// newOwnerBench returns a store with the newest format.
func newOwnerBench(t *testing.T) *storeBench {
	b := newStoreBench(t)
	b.apply(&Command{AdoptFormat: &AdoptFormat{Format: NewestFormat}})
	return b
}

// configureTeams puts a configuration with the teams in force.
func (b *storeBench) configureTeams(version int64, teams ...Team) {
	b.t.Helper()
	c := configuration(version)
	c.Teams = teams
	assert.NilError(b.t, c.Validate())
	assert.Equal(b.t, b.apply(&Command{Configure: c}), Accepted)
}

func team(name string, cores int64, keys ...string) Team {
	return Team{Name: name, Keys: keys, Limit: structs.Resources{MilliCPU: cores * 1000}}
}

// mayRead reports whether a key may read a job.
func (b *storeBench) mayRead(id, key string) bool {
	allowed := false
	b.store.View(func(v *View) {
		_, verdict := v.Status(&Request{Host: "h", Path: "/q/" + id, Key: key})
		allowed = verdict == Accepted
	})
	return allowed
}

// Guards against attempts that count for a name and not for the team: a renamed team would exceed
// its limit, and a team that gets the name of another one would wait for its attempts.
func TestUsageStaysWithRenamedTeam(t *testing.T) {
	b := newOwnerBench(t)
	b.configureTeams(2, team("red", 4, "k"), team("blue", 4, "l"))
	b.submit(firstID, Step{Count: 2, Size: structs.Resources{MilliCPU: 3000}})
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0")), []bool{true})
	b.configureTeams(3, team("blue", 4, "k"), team("red", 4, "l"))
	for range 2 {
		assert.Equal(t, b.store.headroom("blue").MilliCPU, int64(1000))
		assert.Equal(t, b.store.headroom("red").MilliCPU, int64(4000))
		b.restore()
	}
	assert.DeepEqual(t, b.start(placement(firstID, 0, 1, 1, "w1")), []bool{false})
	b.end("w0", placement(firstID, 0, 0, 1, "w0"), EndedDone)
	assert.Equal(t, b.store.headroom("blue").MilliCPU, int64(4000))
	assert.DeepEqual(t, b.start(placement(firstID, 0, 1, 1, "w1")), []bool{true})
}

// Guards against a team whose work is no longer limited, and against work that is given up, once
// its team is removed from the configuration.
func TestRemovedTeamKeepsItsLimit(t *testing.T) {
	b := newOwnerBench(t)
	b.configureTeams(2, team("red", 4, "k"), team("blue", 4, "l"))
	b.submit(firstID, Step{Count: 3, Size: structs.Resources{MilliCPU: 2000}})
	b.configureTeams(3, team("blue", 4, "l"))
	b.restore()
	b.configureTeams(4, team("blue", 8, "l"))
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0"), placement(firstID, 0, 1, 1, "w0"), placement(firstID, 0, 2, 1, "w0")), []bool{true, true, false})
	b.end("w0", placement(firstID, 0, 0, 1, "w0"), EndedDone)
	assert.DeepEqual(t, b.start(placement(firstID, 0, 2, 1, "w0")), []bool{true})
}

// Guards against former teams that stay in the state for ever.
func TestFormerTeamWithoutWorkIsDropped(t *testing.T) {
	b := newOwnerBench(t)
	b.submit(firstID, singleTask(1))
	assert.Equal(t, b.cancelAs("/q/"+secondID, "k"), NoJob)
	b.configureTeams(2, team("blue", 4, "l"))
	assert.Equal(t, len(b.store.FormerTeams), 1)
	b.apply(&Command{ForgetWithdrawals: &ForgetWithdrawals{LastIndex: b.index}})
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0")), []bool{true})
	b.end("w0", placement(firstID, 0, 0, 1, "w0"), EndedDone)
	b.configureTeams(3, team("blue", 4, "l"))
	assert.Equal(t, len(b.store.FormerTeams), 1, "the ended job can still be read once the key is back")
	b.apply(&Command{DeleteJobs: &DeleteJobs{Jobs: []string{firstID}}})
	b.configureTeams(4, team("blue", 4, "l"))
	assert.Equal(t, len(b.store.FormerTeams), 0)
}

// Guards against a submission that arrives late and creates a job whose cancellation was
// acknowledged, if its team was renamed between the two, and against a withdrawal that keeps a job
// of another team out.
func TestWithdrawalStaysWithRenamedTeam(t *testing.T) {
	b := newOwnerBench(t)
	b.configureTeams(2, team("red", 4, "k"), team("blue", 4, "l"))
	assert.Equal(t, b.cancelAs("/q/"+firstID, "k"), NoJob)
	b.configureTeams(3, team("blue", 4, "k"), team("red", 4, "l"))
	for range 2 {
		assert.Assert(t, b.withdrawn("/q/"+firstID, "k"))
		assert.Assert(t, !b.withdrawn("/q/"+firstID, "l"))
		b.restore()
	}
}

// Guards against more withdrawals of one team than the state keeps, after two teams with many
// become one, and against the loss of the newest.
func TestWithdrawalsOfMergedTeamsAreBounded(t *testing.T) {
	b := newOwnerBench(t)
	b.configureTeams(2, team("red", 4, "k"), team("blue", 4, "l"))
	path := func(i int) string { return fmt.Sprintf("/q/%016x", i) }
	for i := range maxWithdrawals {
		b.cancelAs(path(2*i), "k")
		b.cancelAs(path(2*i+1), "l")
	}
	b.configureTeams(3, team("blue", 4, "k", "l"))
	assert.Equal(t, len(b.store.Withdrawals["blue"]), maxWithdrawals)
	assert.Assert(t, slices.IsSortedFunc(b.store.Withdrawals["blue"], func(a, b Withdrawal) int { return int(a.Index) - int(b.Index) }))
	assert.Assert(t, b.withdrawn(path(2*maxWithdrawals-2), "k") && b.withdrawn(path(2*maxWithdrawals-1), "l"))
	assert.Assert(t, !b.withdrawn(path(maxWithdrawals-1), "k"))
}

// Guards against all jobs whose keys were withdrawn going to a team that is configured with an
// empty key.
func TestEmptyKeyOwnsNothing(t *testing.T) {
	b := newOwnerBench(t)
	b.submit(firstID, singleTask(1))
	b.configureTeams(2, team("red", 4, "k2"), team("blue", 4, "l"))
	b.configureTeams(3, team("green", 4, "k2"), team("blue", 4, "l", ""))
	assert.Assert(t, b.mayRead(firstID, "k2"))
	assert.Assert(t, !b.mayRead(firstID, ""))
}

// Guards against jobs of an open queue that were submitted without a key and get an owner.
func TestJobWithoutKeyHasNoOwner(t *testing.T) {
	b := newOwnerBench(t)
	c := configuration(2)
	c.Queues[0].Public = true
	b.apply(&Command{Configure: c})
	b.apply(&Command{Submit: &Submit{Request: Request{Host: "h", Path: "/q/" + firstID, Key: "x"}, Job: Submission{Steps: []Step{singleTask(1)}}}})
	c.Version, c.Teams = 3, []Team{team("blue", 4, "x")}
	b.apply(&Command{Configure: c})
	assert.Equal(t, b.store.Jobs[firstID].Team, "")
	assert.Equal(t, len(b.store.FormerTeams), 0)
	c.Version = 4
	assert.Assert(t, b.mayRead(firstID, ""))
}

// Guards against a leader that decides by the new rules while replicas of an earlier release
// decide by names: until the format is adopted, all replicas do.
func TestOwnersFollowNamesUntilFormatIsAdopted(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	assert.Equal(t, b.cancelAs("/q/"+secondID, "k"), NoJob)
	b.configureTeams(2, team("blue", 4, "k"), team("red", 4, "l"))
	assert.Assert(t, !b.mayRead(firstID, "k"))
	assert.Assert(t, b.mayRead(firstID, "l"))
	assert.Assert(t, !b.withdrawn("/q/"+secondID, "k"))
	assert.Equal(t, b.store.Jobs[firstID].Key, "")
	b.apply(&Command{AdoptFormat: &AdoptFormat{Format: NewestFormat}})
	b.configureTeams(3, team("green", 4, "k"), team("blue", 4, "l"))
	assert.Assert(t, !b.mayRead(firstID, "k"))
	assert.Assert(t, b.mayRead(firstID, "l"), "the job goes on with the team that had it when the format was adopted")
}

// Guards against a team that gets the name of one that was removed under an earlier release, and
// with it the jobs of that one.
func TestJobsOfUnknownTeamsStaySeparate(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	assert.Equal(t, b.cancelAs("/q/"+secondID, "k"), NoJob)
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0")), []bool{true})
	b.configureTeams(2, team("blue", 4, "l"))
	b.apply(&Command{AdoptFormat: &AdoptFormat{Format: NewestFormat}})
	b.configureTeams(3, team("blue", 4, "l"), team("red", 4, "m"))
	assert.Assert(t, !b.mayRead(firstID, "m"))
	assert.Assert(t, !b.withdrawn("/q/"+secondID, "m"))
	assert.Equal(t, b.store.headroom("red").MilliCPU, int64(4000))
	assert.Equal(t, b.store.Jobs[firstID].State, Active)
}

// Guards against a format that is given up again.
func TestFormatIsNotLowered(t *testing.T) {
	b := newOwnerBench(t)
	b.apply(&Command{AdoptFormat: &AdoptFormat{Format: FormatNames}})
	b.restore()
	assert.Equal(t, b.store.Format, NewestFormat)
}

// Guards against a configured team that is taken for a former one.
func TestTeamNameWithZeroByteIsRefused(t *testing.T) {
	c := configuration(1)
	c.Teams[0].Name = formerTeamID("red", 1)
	assert.ErrorContains(t, c.Validate(), "zero byte")
}

// BenchmarkConfigure measures a configuration of 4,000 teams, each of which is renamed, with jobs
// and attempts, against one that changes nothing.
func BenchmarkConfigure(b *testing.B) {
	const teams, jobs, workers = 4000, 40_000, 1000
	for _, renames := range []bool{false, true} {
		b.Run(fmt.Sprintf("renames=%v", renames), func(b *testing.B) {
			s := NewStore(nil)
			index := uint64(0)
			apply := func(c *Command) {
				index++
				s.apply(index, c)
			}
			configure := func(version int64) *Configuration {
				c := configuration(version)
				for i := range teams {
					name := fmt.Sprint("team", i)
					if renames {
						name = fmt.Sprint("team", (int64(i)+version)%teams)
					}
					c.Teams = append(c.Teams, team(name, 1000, fmt.Sprint("key-of-about-20-b", i), fmt.Sprint("another-key-of-20", i)))
				}
				return c
			}
			apply(&Command{AdoptFormat: &AdoptFormat{Format: NewestFormat}})
			apply(&Command{Configure: configure(1)})
			for i := range workers {
				apply(&Command{Register: &Register{ID: fmt.Sprint("w", i), Born: 1, Address: fmt.Sprint("10.0.0.0:", i), Service: "planner", Capacity: structs.Resources{MilliCPU: 64_000}}})
			}
			for i := range jobs {
				r := Request{Host: "h", Path: fmt.Sprintf("/q/%016x", i), Key: fmt.Sprint("key-of-about-20-b", i%teams)}
				apply(&Command{Submit: &Submit{Request: r, Job: Submission{Spec: "s", Steps: []Step{singleTask(1)}}}})
				apply(&Command{Start: &Start{Placements: []Placement{placement(fmt.Sprintf("%016x", i), 0, 0, 1, fmt.Sprint("w", i%workers))}}})
			}
			version := int64(2)
			for b.Loop() {
				b.StopTimer()
				c := configure(version)
				version++
				b.StartTimer()
				apply(&Command{Configure: c})
			}
		})
	}
}
