package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/lease"
)

// configWorld is a model of two processes that lead the fleet group in turn,
// and of processes that serve under configuration leases. Steps run one at a
// time and may be delayed; clocks differ by 1%.
type configWorld struct {
	t        *rapid.T
	now      time.Duration
	store    *Store
	index    uint64
	leaders  [2]*fleetLeader
	current  int
	holders  []*configCopy
	steps    []func()
	accepted []uint64
	changes  []uint64
	started  int
	clock    int64
	// commands holds what each operator may send again.
	commands []*operatorChange
}

type fleetLeader struct {
	table *lease.ConfigTable
	rate  float64
	since time.Duration
}

// configCopy mirrors follower.Follower.
type configCopy struct {
	name    string
	store   *Store
	rate    float64
	expires time.Duration
}

type operatorChange struct {
	operation porcupine.Operation
	command   *statev1.FleetCommand
	known     bool
}

func local(now time.Duration, rate float64) time.Duration { return time.Duration(float64(now) * rate) }

func applyTo(t assert.TestingT, s *Store, index uint64, c *statev1.FleetCommand) *statev1.FleetResult {
	b, err := proto.Marshal(c)
	assert.NilError(t, err)
	return s.Apply(index, b).(*statev1.FleetResult)
}

func put(operation string, replaces uint64, grace int64) *statev1.FleetCommand {
	return &statev1.FleetCommand{OperationId: operation, Command: &statev1.FleetCommand_PutDocument{PutDocument: &statev1.PutDocument{
		Text: operation, Replaces: replaces, Spec: &statev1.WorkSpec{Team: "a", Service: "s"}, CutGraceMs: grace,
	}}}
}

func (w *configWorld) apply(c *statev1.FleetCommand) *statev1.FleetResult {
	w.index++
	r := applyTo(w.t, w.store, w.index, c)
	if r.Refusal == "" && !r.Duplicate {
		w.changes = append(w.changes, w.index)
	}
	return r
}

func (w *configWorld) later(step func()) { w.steps = append(w.steps, step) }

func (w *configWorld) lead(l int) {
	w.now += time.Millisecond
	w.current = l
	w.leaders[l].since = local(w.now, w.leaders[l].rate)
}

func (w *configWorld) newCopy() *configCopy {
	w.started++
	return &configCopy{name: fmt.Sprintf("h%d", w.started), store: New(), rate: rapid.SampledFrom([]float64{0.99, 1}).Draw(w.t, "rate")}
}

// renew mirrors follower.renew and FleetServer.RenewConfig.
func (w *configWorld) renew(h *configCopy) {
	asked, applied, l := local(w.now, h.rate), h.store.Index(), w.current
	w.later(func() {
		if w.current != l {
			return
		}
		leader := w.leaders[l]
		since := leader.since
		w.later(func() {
			leader.table.Renew(h.name, "dc", applied, local(w.now, leader.rate))
			index, changes, full := w.store.ChangesSince(applied)
			if w.current != l || leader.since != since {
				return
			}
			w.later(func() {
				if index < applied {
					return
				}
				h.store.ApplyChanges(index, changes, full)
				h.expires = max(h.expires, asked+lease.ConfigDuration)
			})
		})
	})
}

// ask mirrors FleetServer.GetChange.
func (w *configWorld) ask(change uint64) {
	leader := w.leaders[w.current]
	grace := func(from uint64) time.Duration { return w.store.Grace(change, from) }
	if len(leader.table.Outstanding(change, grace, leader.since, local(w.now, leader.rate))) == 0 {
		w.accepted = append(w.accepted, change)
	}
}

// change is an operator's change, based on the version that a copy shows.
// The number of changes is bounded, since the check of a history takes time that
// grows exponentially with overlapping operations.
func (w *configWorld) change(t *rapid.T) {
	if len(w.commands) == 8 {
		t.Skip("enough changes")
	}
	seen := rapid.SampledFrom(w.holders).Draw(t, "copy").store.Document("a", "s").GetVersion()
	grace := rapid.SampledFrom([]int64{0, 400, 3000}).Draw(t, "grace")
	name := fmt.Sprintf("operation-%d", len(w.commands))
	w.clock++
	w.commands = append(w.commands, &operatorChange{
		operation: porcupine.Operation{ClientId: len(w.commands), Input: seen, Call: w.clock}, command: put(name, seen, grace),
	})
	w.send(w.commands[len(w.commands)-1], rapid.IntRange(0, 3).Draw(t, "fate"))
}

// send commits the change; the operator learns the result unless fate is 0 or 1.
func (w *configWorld) send(o *operatorChange, fate int) {
	if fate == 0 {
		w.later(func() { w.apply(o.command) })
		return
	}
	r := w.apply(o.command)
	if fate == 1 || o.known {
		return
	}
	o.known = true
	w.clock++
	o.operation.Return, o.operation.Output = w.clock, r
}

func (w *configWorld) check(t *rapid.T) {
	for _, h := range w.holders {
		d := h.store.Document("a", "s")
		grace := time.Duration(d.GetCutGraceMs()) * time.Millisecond
		if h.expires == 0 || local(w.now, h.rate) >= h.expires+grace {
			continue
		}
		for _, change := range w.accepted {
			if h.store.Index() < change {
				t.Fatalf("%s serves under index %d though change %d was accepted", h.name, h.store.Index(), change)
			}
		}
	}
}

// documentModel is a register that is replaced by compare-and-set.
var documentModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		r := output.(*statev1.FleetResult)
		if r.Refusal != "" {
			return state == r.Version && state != input, state
		}
		return state == input, r.Version
	},
}

// Guards against a process that serves under an earlier configuration after a
// change was accepted, with delayed replies, changes of leader, restarts, clocks
// that differ and teams that chose a grace; and against two operators who both
// replace one version, or a resend that is applied twice.
func TestConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &configWorld{t: t, store: New(), now: time.Hour}
		for i := range w.leaders {
			w.leaders[i] = &fleetLeader{table: lease.NewConfigTable(), rate: rapid.SampledFrom([]float64{0.99, 1}).Draw(t, "rate")}
		}
		w.lead(0)
		w.holders = []*configCopy{w.newCopy(), w.newCopy()}
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"step": func(t *rapid.T) {
				if len(w.steps) == 0 {
					t.Skip("nothing is under way")
				}
				i := rapid.IntRange(0, len(w.steps)-1).Draw(t, "step")
				s := w.steps[i]
				w.steps = append(w.steps[:i:i], w.steps[i+1:]...)
				s()
			},
			"renew": func(t *rapid.T) {
				w.renew(rapid.SampledFrom(w.holders).Draw(t, "holder"))
				for range rapid.IntRange(0, 3).Draw(t, "steps") {
					s := w.steps[len(w.steps)-1]
					w.steps = w.steps[:len(w.steps)-1]
					s()
					if len(w.steps) == 0 {
						return
					}
				}
			},
			"change":  w.change,
			"change2": w.change,
			"resend": func(t *rapid.T) {
				if len(w.commands) > 0 {
					w.send(rapid.SampledFrom(w.commands).Draw(t, "operator"), rapid.IntRange(0, 3).Draw(t, "fate"))
				}
			},
			"ask": func(t *rapid.T) {
				if len(w.changes) > 0 {
					w.ask(w.changes[len(w.changes)-1])
				}
			},
			"tick": func(t *rapid.T) {
				ms := rapid.SampledFrom([]int{100, 400, 1000, 1500, 1510, 1516, 1900, 3000, 4500, 4530}).Draw(t, "ms")
				w.now += time.Duration(ms) * time.Millisecond
			},
			"leader": func(t *rapid.T) { w.lead(rapid.IntRange(0, 1).Draw(t, "leader")) },
			"restart": func(t *rapid.T) {
				w.holders[rapid.IntRange(0, 1).Draw(t, "holder")] = w.newCopy()
			},
			"snapshot": func(t *rapid.T) {
				b, err := w.store.Snapshot()
				assert.NilError(t, err)
				w.store = New()
				assert.NilError(t, w.store.Restore(0, b))
			},
		})
		var history []porcupine.Operation
		for _, o := range w.commands {
			w.send(o, 3)
			history = append(history, o.operation)
		}
		if !porcupine.CheckOperations(documentModel, history) {
			t.Fatal("the results must be those of one register that is replaced by compare-and-set")
		}
	})
}

// Guards against one operator's answer given to another who chose the same
// operation id, and against a second key for a resend.
func TestOperationIDs(t *testing.T) {
	s := New()
	assert.Equal(t, applyTo(t, s, 1, put("o", 0, 0)).Version, uint64(1))
	assert.Assert(t, applyTo(t, s, 2, put("o", 0, 0)).Duplicate)
	other := put("o", 0, 0)
	other.GetPutDocument().Text = "another"
	assert.Assert(t, applyTo(t, s, 3, other).Refusal != "")
	grant := func(id string) *statev1.FleetCommand {
		return &statev1.FleetCommand{OperationId: "k", Command: &statev1.FleetCommand_GrantKey{GrantKey: &statev1.GrantKey{KeyId: id, Team: "a", Hash: []byte(id)}}}
	}
	applyTo(t, s, 4, grant("first"))
	assert.Equal(t, applyTo(t, s, 5, grant("second")).KeyId, "first")
	assert.Equal(t, len(s.Keys("a")), 1)
}

// Guards against a copy that goes back when full states and changes arrive in
// another order than they were made.
func TestCopyNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		h := New()
		version := uint64(0)
		type reply struct {
			index   uint64
			changes []*statev1.FleetChange
			full    *statev1.FleetState
		}
		var replies []reply
		for i := range uint64(20) {
			version = applyTo(t, s, i+1, put(fmt.Sprint(i), version, 0)).Version
			index, changes, full := s.ChangesSince(rapid.Uint64Range(0, i).Draw(t, "from"))
			replies = append(replies, reply{index, slices.Clone(changes), full})
		}
		for _, r := range rapid.Permutation(replies).Draw(t, "order") {
			before := h.Document("a", "s").GetVersion()
			if len(r.changes) > 0 && r.changes[0].Index > h.Index()+1 {
				continue // not an answer to this copy's index
			}
			h.ApplyChanges(r.index, r.changes, r.full)
			assert.Assert(t, h.Document("a", "s").GetVersion() >= before)
			assert.Equal(t, h.Document("a", "s").GetVersion(), h.Index())
		}
	})
}
