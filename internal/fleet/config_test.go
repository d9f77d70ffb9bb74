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

// configModel models two processes that lead the fleet group in turn and processes
// that serve under configuration leases. Messages and interrupted handlers are
// steps in inFlight, which run one at a time, in any order and with any delay. The
// rates of the clocks differ by 1%.
type configModel struct {
	t       *rapid.T
	now     time.Duration
	store   *Store
	index   uint64
	leaders [2]*modelLeader
	current int
	holders []*modelHolder
	// inFlight holds the messages and the rest of handlers that are yet to run.
	inFlight []func()
	// inForce holds the indexes of changes that GetChange reported to be in force.
	inForce []uint64
	// changes holds the indexes of all committed changes.
	changes     []uint64
	holderCount int
	// historyClock orders the calls and returns of the operators' changes.
	historyClock int64
	// operatorChanges holds the changes of operators, each of which may be sent again.
	operatorChanges []*operatorChange
}

// modelLeader is a process that may lead the fleet group. The rate of its clock is
// relative to the model's.
type modelLeader struct {
	table *lease.ConfigTable
	rate  float64
	since time.Duration
}

// modelHolder is a process with a copy of the configuration and a lease, like
// follower.Follower.
type modelHolder struct {
	name    string
	store   *Store
	rate    float64
	expires time.Duration
}

// operatorChange is a command of an operator and its place in the history that is
// checked for linearizability.
type operatorChange struct {
	operation   porcupine.Operation
	command     *statev1.FleetCommand
	resultKnown bool
}

// localTime returns the time by a clock that runs at the rate.
func localTime(now time.Duration, rate float64) time.Duration {
	return time.Duration(float64(now) * rate)
}

func applyTo(t assert.TestingT, s *Store, index uint64, c *statev1.FleetCommand) *statev1.FleetResult {
	b, err := proto.Marshal(c)
	assert.NilError(t, err)
	return s.Apply(index, b).(*statev1.FleetResult)
}

func putDocumentCommand(operation string, replaces uint64, grace int64) *statev1.FleetCommand {
	return &statev1.FleetCommand{OperationId: operation, Command: &statev1.FleetCommand_PutDocument{PutDocument: &statev1.PutDocument{
		Text: operation, Replaces: replaces, Spec: &statev1.WorkSpec{Team: "a", Service: "s"}, CutGraceMs: grace,
	}}}
}

func (m *configModel) apply(c *statev1.FleetCommand) *statev1.FleetResult {
	m.index++
	r := applyTo(m.t, m.store, m.index, c)
	if r.Refusal == "" && !r.Duplicate {
		m.changes = append(m.changes, m.index)
	}
	return r
}

// enqueue adds a step that runs after any delay.
func (m *configModel) enqueue(step func()) { m.inFlight = append(m.inFlight, step) }

func (m *configModel) lead(l int) {
	m.now += time.Millisecond
	m.current = l
	m.leaders[l].since = localTime(m.now, m.leaders[l].rate)
}

func (m *configModel) newHolder() *modelHolder {
	m.holderCount++
	return &modelHolder{name: fmt.Sprintf("h%d", m.holderCount), store: New(), rate: rapid.SampledFrom([]float64{0.99, 1}).Draw(m.t, "rate")}
}

// renew follows Follower.renew and FleetServer.RenewConfig; each enqueue is a point
// where the request, its handler or the reply may be delayed.
func (m *configModel) renew(h *modelHolder) {
	requested, applied, l := localTime(m.now, h.rate), h.store.Index(), m.current
	m.enqueue(func() {
		if m.current != l {
			return
		}
		leader := m.leaders[l]
		since := leader.since
		m.enqueue(func() {
			leader.table.Renew(h.name, "dc", applied, localTime(m.now, leader.rate))
			index, changes, full := m.store.ChangesSince(applied)
			if m.current != l || leader.since != since {
				return
			}
			m.enqueue(func() {
				if index < applied {
					return
				}
				h.store.ApplyChanges(index, changes, full)
				h.expires = max(h.expires, requested+lease.ConfigDuration)
			})
		})
	})
}

// getChange follows FleetServer.GetChange.
func (m *configModel) getChange(change uint64) {
	leader := m.leaders[m.current]
	grace := func(from uint64) time.Duration { return m.store.Grace(change, from) }
	if len(leader.table.Outstanding(change, grace, leader.since, localTime(m.now, leader.rate))) == 0 {
		m.inForce = append(m.inForce, change)
	}
}

// proposeChange sends an operator's change that replaces the version shown by one of
// the copies. The number of changes is bounded because the time for checking a
// history grows exponentially with overlapping operations.
func (m *configModel) proposeChange(t *rapid.T) {
	if len(m.operatorChanges) == 8 {
		t.Skip("the maximum number of changes was made")
	}
	seen := rapid.SampledFrom(m.holders).Draw(t, "copy").store.Document("a", "s").GetVersion()
	grace := rapid.SampledFrom([]int64{0, 400, 3000}).Draw(t, "grace")
	name := fmt.Sprintf("operation-%d", len(m.operatorChanges))
	m.historyClock++
	m.operatorChanges = append(m.operatorChanges, &operatorChange{
		operation: porcupine.Operation{ClientId: len(m.operatorChanges), Input: seen, Call: m.historyClock}, command: putDocumentCommand(name, seen, grace),
	})
	m.send(m.operatorChanges[len(m.operatorChanges)-1], rapid.IntRange(0, 3).Draw(t, "fate"))
}

// send commits the change. With fate 0 it is committed later, with fate 1 its result
// is lost; otherwise the operator receives the result.
func (m *configModel) send(o *operatorChange, fate int) {
	if fate == 0 {
		m.enqueue(func() { m.apply(o.command) })
		return
	}
	r := m.apply(o.command)
	if fate == 1 || o.resultKnown {
		return
	}
	o.resultKnown = true
	m.historyClock++
	o.operation.Return, o.operation.Output = m.historyClock, r
}

// checkServing fails if a process may still serve under an index below that of a
// change that was reported to be in force.
func (m *configModel) checkServing(t *rapid.T) {
	for _, h := range m.holders {
		d := h.store.Document("a", "s")
		grace := time.Duration(d.GetCutGraceMs()) * time.Millisecond
		if h.expires == 0 || localTime(m.now, h.rate) >= h.expires+grace {
			continue
		}
		for _, change := range m.inForce {
			if h.store.Index() < change {
				t.Fatalf("%s serves under index %d although change %d is in force", h.name, h.store.Index(), change)
			}
		}
	}
}

// documentModel is a register that is updated by compare-and-set.
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

// TestConfiguration guards against a process that serves under an earlier
// configuration after a change was reported to be in force. Replies are delayed,
// leaders change, processes restart, clock rates differ and the team's grace
// changes. It also guards against two operators who both replace the same version,
// and against a resend that is applied twice.
func TestConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &configModel{t: t, store: New(), now: time.Hour}
		for i := range m.leaders {
			m.leaders[i] = &modelLeader{table: lease.NewConfigTable(), rate: rapid.SampledFrom([]float64{0.99, 1}).Draw(t, "rate")}
		}
		m.lead(0)
		m.holders = []*modelHolder{m.newHolder(), m.newHolder()}
		t.Repeat(map[string]func(*rapid.T){
			"": m.checkServing,
			"step": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip("nothing is in flight")
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "step")
				s := m.inFlight[i]
				m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
				s()
			},
			"renew": func(t *rapid.T) {
				m.renew(rapid.SampledFrom(m.holders).Draw(t, "holder"))
				for range rapid.IntRange(0, 3).Draw(t, "steps") {
					s := m.inFlight[len(m.inFlight)-1]
					m.inFlight = m.inFlight[:len(m.inFlight)-1]
					s()
					if len(m.inFlight) == 0 {
						return
					}
				}
			},
			"change":  m.proposeChange,
			"change2": m.proposeChange,
			"resend": func(t *rapid.T) {
				if len(m.operatorChanges) > 0 {
					m.send(rapid.SampledFrom(m.operatorChanges).Draw(t, "operator"), rapid.IntRange(0, 3).Draw(t, "fate"))
				}
			},
			"ask": func(t *rapid.T) {
				if len(m.changes) > 0 {
					m.getChange(m.changes[len(m.changes)-1])
				}
			},
			"tick": func(t *rapid.T) {
				ms := rapid.SampledFrom([]int{100, 400, 1000, 1500, 1510, 1516, 1900, 3000, 4500, 4530}).Draw(t, "ms")
				m.now += time.Duration(ms) * time.Millisecond
			},
			"leader": func(t *rapid.T) { m.lead(rapid.IntRange(0, 1).Draw(t, "leader")) },
			"restart": func(t *rapid.T) {
				m.holders[rapid.IntRange(0, 1).Draw(t, "holder")] = m.newHolder()
			},
			"snapshot": func(t *rapid.T) {
				b, err := m.store.Snapshot()
				assert.NilError(t, err)
				m.store = New()
				assert.NilError(t, m.store.Restore(0, b))
			},
		})
		var history []porcupine.Operation
		for _, o := range m.operatorChanges {
			m.send(o, 3)
			history = append(history, o.operation)
		}
		if !porcupine.CheckOperations(documentModel, history) {
			t.Fatal("the results are not those of a single compare-and-set register")
		}
	})
}

// TestOperationIDs guards against returning one operator's result to another who
// used the same operation id, and against a second key for a resent grant.
func TestOperationIDs(t *testing.T) {
	s := New()
	assert.Equal(t, applyTo(t, s, 1, putDocumentCommand("o", 0, 0)).Version, uint64(1))
	assert.Assert(t, applyTo(t, s, 2, putDocumentCommand("o", 0, 0)).Duplicate)
	other := putDocumentCommand("o", 0, 0)
	other.GetPutDocument().Text = "another"
	assert.Assert(t, applyTo(t, s, 3, other).Refusal != "")
	grant := func(id string) *statev1.FleetCommand {
		return &statev1.FleetCommand{OperationId: "k", Command: &statev1.FleetCommand_GrantKey{GrantKey: &statev1.GrantKey{KeyId: id, Team: "a", Hash: []byte(id)}}}
	}
	applyTo(t, s, 4, grant("first"))
	assert.Equal(t, applyTo(t, s, 5, grant("second")).KeyId, "first")
	assert.Equal(t, len(s.Keys("a")), 1)
}

// TestCopyNeverGoesBack guards against a copy that returns to an earlier state when
// full states and changes arrive out of order.
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
			version = applyTo(t, s, i+1, putDocumentCommand(fmt.Sprint(i), version, 0)).Version
			index, changes, full := s.ChangesSince(rapid.Uint64Range(0, i).Draw(t, "from"))
			replies = append(replies, reply{index, slices.Clone(changes), full})
		}
		for _, r := range rapid.Permutation(replies).Draw(t, "order") {
			before := h.Document("a", "s").GetVersion()
			if len(r.changes) > 0 && r.changes[0].Index > h.Index()+1 {
				continue // not a reply to a request with this copy's index
			}
			h.ApplyChanges(r.index, r.changes, r.full)
			assert.Assert(t, h.Document("a", "s").GetVersion() >= before)
			assert.Equal(t, h.Document("a", "s").GetVersion(), h.Index())
		}
	})
}
