package cell

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/structs"
)

// Guards against an evacuation that is not in force after its acknowledgement, against a
// refusal of a repeated command, and against an earlier command that prevails over a later one.
func TestLastEvacuationCommandIsInForce(t *testing.T) {
	b := newStoreBench(t)
	for _, active := range []bool{true, true, false, false, true} {
		assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{"dc-1", active}}), Accepted)
		b.store.View(func(v *View) {
			assert.Equal(t, v.IsEvacuated("dc-1"), active)
			assert.Assert(t, !v.IsEvacuated("dc-2") && !v.IsEvacuated(""))
		})
	}
}

// Guards against a state that names without meaning fill, and against a stop or a repeated
// start that is refused because the state is full.
func TestEvacuationsAreBounded(t *testing.T) {
	b := newStoreBench(t)
	for _, name := range []string{"", "a/b", "a b", "a\n", "a\x00", "\xff", strings.Repeat("x", 65)} {
		for _, active := range []bool{true, false} {
			assert.Equal(t, b.store.evacuate(&Evacuate{name, active}), Invalid, "%q", name)
		}
	}
	for i := range maxEvacuated {
		assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{fmt.Sprint("dc-", i), true}}), Accepted)
	}
	assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{"one-more", true}}), Invalid)
	assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{"dc-7", true}}), Accepted)
	assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{"one-more", false}}), Accepted)
	assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{"dc-7", false}}), Accepted)
	assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{"one-more", true}}), Accepted)
}

// Guards against evacuations that a restart with a snapshot forgets, or that it brings back
// after they were stopped.
func TestEvacuationsOutliveRestart(t *testing.T) {
	b := newStoreBench(t)
	b.apply(&Command{Evacuate: &Evacuate{"dc-1", true}})
	b.apply(&Command{Evacuate: &Evacuate{"dc-2", true}})
	b.apply(&Command{Evacuate: &Evacuate{"dc-2", false}})
	old, err := b.store.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, b.store.Restore(b.index, old))
	b.store.View(func(v *View) { assert.DeepEqual(t, v.Evacuated(), []string{"dc-1"}) })
	// The log after the snapshot contains later commands.
	for _, c := range []Evacuate{{"dc-1", false}, {"dc-3", true}} {
		b.apply(&Command{Evacuate: &c})
	}
	b.store.View(func(v *View) { assert.DeepEqual(t, v.Evacuated(), []string{"dc-3"}) })
}

// Guards against a snapshot of an earlier release, which knows no evacuations, that does not
// load, and against a snapshot that differs from those although nothing is evacuated.
func TestSnapshotWithoutEvacuations(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "state_without_crashes.cbor"))
	assert.NilError(t, err)
	b := &storeBench{t: t, store: NewStore(nil)}
	assert.NilError(t, b.store.Restore(b.index, data))
	b.store.View(func(v *View) { assert.Equal(t, len(v.Evacuated()), 0) })
	before, err := b.store.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(before, []byte("Evacuated")))
	assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{"dc-1", true}}), Accepted)
	with, err := b.store.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(with, []byte("Evacuated")))
	var earlier struct{ Jobs map[string]*Job }
	assert.NilError(t, cbor.Unmarshal(with, &earlier), "an earlier release ignores what it does not know")
	assert.Equal(t, b.apply(&Command{Evacuate: &Evacuate{"dc-1", false}}), Accepted)
	after, err := b.store.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(after, []byte("Evacuated")))
}

// Guards against replicas of different releases that reach different states: a start that the
// log contains after an evacuation is applied alike by all.
func TestStartAfterEvacuationIsAppliedAlike(t *testing.T) {
	for _, active := range []bool{false, true} {
		b := newStoreBench(t)
		b.apply(&Command{Register: &Register{ID: "w0", Born: 1, Address: "10.0.0.0:80", DataCentre: "dc-1", Service: "planner", Capacity: structs.Resources{MilliCPU: 8000}}})
		b.submit(firstID, singleTask(1))
		b.apply(&Command{Evacuate: &Evacuate{"dc-1", active}})
		assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0")), []bool{true})
	}
}
