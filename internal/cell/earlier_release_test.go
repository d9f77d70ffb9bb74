package cell

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/structs"
)

// Guards against a state of an earlier release, which counted no crashes, that does not load
// or in which crashes are not counted. Two attempts of one job run there.
func TestStateWithoutCrashesLoads(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "state_without_crashes.cbor"))
	assert.NilError(t, err)
	b := &storeBench{t: t, store: NewStore(nil)}
	assert.NilError(t, b.store.Restore(b.index, data))
	first, second := TaskKey{StepKey{Job: "0000000000000001"}, 0}, TaskKey{StepKey{Job: "0000000000000001"}, 1}
	for i, crash := range []struct {
		worker   string
		attempts []StartedAttempt
	}{{"w0", []StartedAttempt{{first, 2}}}, {"w1", []StartedAttempt{{second, 1}}}} {
		result := b.apply(&Command{Register: &Register{
			ID: crash.worker, Born: 3, Address: "10.0.0." + crash.worker[1:] + ":80", Service: "planner", Capacity: structs.Resources{MilliCPU: 8000}, Number: 1, Started: crash.attempts,
		}})
		crashes := result.([]*Crash)
		assert.Equal(t, len(crashes), 1)
		assert.DeepEqual(t, crashes[0].Tasks, []TaskKey{crash.attempts[0].Task})
		b.store.View(func(v *View) {
			task := v.Job(first.Job).Occurrences[0][0].Tasks[i]
			assert.Equal(t, [2]uint8{task.Crashes, task.ConfirmedCrashes}, [2]uint8{1, 1})
		})
	}
}

// Guards against registrations of a leader of an earlier release, which have no number, that
// are dropped as late: a draining worker would get new attempts.
func TestRegistrationWithoutNumberIsNotLate(t *testing.T) {
	b := newStoreBench(t)
	r := Register{ID: "w0", Born: 1, Address: "10.0.0.0:80", Service: "planner", Capacity: structs.Resources{MilliCPU: 4000}, Number: 7}
	b.apply(&Command{Register: &r})
	r.Number, r.Capacity.MilliCPU, r.Draining = 0, 2000, true
	b.apply(&Command{Register: &r})
	b.store.View(func(v *View) {
		w := v.Worker("w0")
		assert.Equal(t, w.Capacity.MilliCPU, int64(2000))
		assert.Assert(t, !w.Usable())
	})
}

// Guards against jobs, usage and withdrawals of a state of an earlier release, which kept the names
// of teams only, that do not go on with their team after the format is adopted, and against a
// removed team's job that goes to another one with its name. In the state team red has a job with
// an attempt of 3 cores and a withdrawal, and the removed team green a job with one of 2 cores.
func TestStateByTeamNamesLoads(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "state_by_team_names.cbor"))
	assert.NilError(t, err)
	b := &storeBench{t: t, store: NewStore(nil)}
	assert.NilError(t, b.store.Restore(b.index, data))
	const greenJob = "00000000000000a3"
	assert.Assert(t, b.mayRead(firstID, "k") && !b.mayRead(firstID, "l"))
	b.apply(&Command{AdoptFormat: &AdoptFormat{Format: NewestFormat}})
	b.restore()
	b.configureTeams(4, team("blue", 12, "k"), team("red", 12, "l"), team("green", 12, "m"))
	assert.Assert(t, b.mayRead(firstID, "k") && !b.mayRead(firstID, "l"))
	assert.Assert(t, b.withdrawn("/q/"+secondID, "k") && !b.withdrawn("/q/"+secondID, "l"))
	for name, free := range map[string]int64{"blue": 9000, "red": 12_000, "green": 12_000} {
		assert.Equal(t, b.store.headroom(name).MilliCPU, free, name)
	}
	assert.Assert(t, !b.mayRead(greenJob, "m"))
	assert.Equal(t, b.store.Jobs[greenJob].State, Active)
	assert.Equal(t, len(b.store.FormerTeams), 1)
	b.end("w1", placement(greenJob, 0, 0, 1, "w1"), EndedDone)
	assert.Equal(t, b.store.Jobs[greenJob].State, Complete)
}
