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
