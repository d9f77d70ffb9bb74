package quota

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/fleet"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

type noopObserver struct{}

func (noopObserver) Reset()               {}
func (noopObserver) WorkerChanged(string) {}
func (noopObserver) JobChanged(string)    {}
func (noopObserver) InstancesChanged()    {}

const (
	core         = 1000
	highestLimit = 12
)

// transferModel holds one fleet store and three data centre stores. Commands
// between them are lost, duplicated and reordered, and the copy that a data centre
// has of its allotment may be old.
type transferModel struct {
	t           *rapid.T
	fleet       *fleet.Store
	index       uint64
	dataCentres []*dataCentre
	limit       int64
	version     uint64
	jobs        int
	// maxLimit is the highest limit since the running tasks last met the limit.
	maxLimit int64
	// inFlight holds the commands that were delayed or are to be repeated.
	inFlight []func()
	// reliable is set while each command is delivered at once and exactly once.
	reliable bool
}

type dataCentre struct {
	name  string
	store *state.Store
	index uint64
	// seen is the data centre's copy of its allotment in the fleet group.
	seen *statev1.Allotment
}

func (m *transferModel) applyFleet(c *statev1.FleetCommand) *statev1.FleetResult {
	b, err := proto.Marshal(c)
	assert.NilError(m.t, err)
	m.index++
	return m.fleet.Apply(m.index, b).(*statev1.FleetResult)
}

func (m *transferModel) apply(dc *dataCentre, c *statev1.DataCentreCommand) *state.Result {
	b, err := proto.Marshal(c)
	assert.NilError(m.t, err)
	dc.index++
	return dc.store.Apply(dc.index, b).(*state.Result)
}

// deliver executes a command now, later, now and later, or never.
func (m *transferModel) deliver(command func()) {
	if m.reliable {
		command()
		return
	}
	switch rapid.IntRange(0, 5).Draw(m.t, "delivery") {
	case 0:
	case 1:
		m.inFlight = append(m.inFlight, command)
	case 2:
		m.inFlight = append(m.inFlight, command)
		command()
	default:
		command()
	}
}

func cores(n int64) *apiv1.Resources { return &apiv1.Resources{MilliCpu: n} }

func (m *transferModel) setLimit(limit int64) {
	r := m.applyFleet(&statev1.FleetCommand{Command: &statev1.FleetCommand_PutDocument{PutDocument: &statev1.PutDocument{
		Replaces: m.version, Spec: &statev1.WorkSpec{Team: "a", Service: "s"}, Limit: cores(limit),
	}}})
	assert.Equal(m.t, r.Refusal, "")
	m.version = r.Version
	m.limit = limit
	m.maxLimit = max(m.maxLimit, limit)
}

// divide does what the leader of the fleet group does.
func (m *transferModel) divide() {
	var usages []Usage
	for _, dc := range m.dataCentres {
		t := dc.store.Team("a")
		a := m.fleet.Allotment("a", dc.name)
		usages = append(usages, Usage{DataCentre: dc.name, Running: t.Running, Waiting: t.Waiting, Granted: structs.ResourcesFromProto(a.Granted)})
	}
	limit, _ := m.fleet.Limit("a")
	for _, adjustment := range Divide(limit, usages) {
		grant := m.fleet.Allotment("a", adjustment.DataCentre).Grant + 1
		m.deliver(func() {
			m.applyFleet(&statev1.FleetCommand{Command: &statev1.FleetCommand_WantAllotment{WantAllotment: &statev1.WantAllotment{
				Team: "a", DataCentre: adjustment.DataCentre, Amount: adjustment.Wanted.Proto(), Shed: adjustment.Shed,
			}}})
			if adjustment.Grant.IsZero() {
				return
			}
			m.applyFleet(&statev1.FleetCommand{Command: &statev1.FleetCommand_GrantAllotment{GrantAllotment: &statev1.GrantAllotment{
				Team: "a", DataCentre: adjustment.DataCentre, Amount: adjustment.Grant.Proto(), Grant: grant,
			}}})
		})
	}
}

// exchange does what the leader of a data centre group does, with the copy of the
// allotment that it last received.
func (m *transferModel) exchange(dc *dataCentre) {
	seen := dc.seen
	for _, c := range Reconcile(dc.store, "a", seen) {
		m.deliver(func() { m.apply(dc, c) })
	}
	for _, transfer := range dc.store.ReturnableTransfers("a") {
		m.deliver(func() {
			m.applyFleet(&statev1.FleetCommand{Command: &statev1.FleetCommand_ReturnAllotment{ReturnAllotment: &statev1.ReturnAllotment{
				Team: "a", DataCentre: dc.name, Transfer: transfer.Number, Amount: transfer.Amount.Proto(),
			}}})
		})
	}
	taken := dc.store.Team("a").Grant
	m.deliver(func() {
		m.applyFleet(&statev1.FleetCommand{Command: &statev1.FleetCommand_ConfirmGrants{ConfirmGrants: &statev1.ConfirmGrants{Team: "a", DataCentre: dc.name, Taken: taken}}})
	})
}

func (m *transferModel) submit(dc *dataCentre) {
	m.jobs++
	m.apply(dc, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SubmitJob{SubmitJob: &statev1.SubmitJob{
		JobId: fmt.Sprintf("00000000-0000-7000-8000-%012d", m.jobs),
		Spec:  &statev1.WorkSpec{Team: "a", Service: "s", Tasks: 1, Size: cores(core), MayPreempt: true, Idempotent: true},
	}}})
}

func (m *transferModel) place(dc *dataCentre) {
	m.apply(dc, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{UnixMs: dc.store.LogTime() + 60_000}}})
	for _, id := range dc.store.OpenJobs() {
		m.apply(dc, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_Plan{Plan: &statev1.Plan{Placements: []*statev1.Placement{{JobId: id, WorkerId: "w", Incarnation: 1}}}}})
	}
}

// endAttempts ends the attempts that are being stopped, or all.
func (m *transferModel) endAttempts(dc *dataCentre, all bool) {
	for _, c := range dc.store.TeamAttempts("a") {
		if all || c.Attempt.Stopping {
			m.apply(dc, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_EndAttempt{EndAttempt: &statev1.EndAttempt{
				AttemptId: c.Attempt.ID, WorkerId: "w", Incarnation: 1, Outcome: apiv1.Outcome_OUTCOME_CANCELLED,
			}}})
		}
	}
}

func (m *transferModel) running() int64 {
	sum := int64(0)
	for _, dc := range m.dataCentres {
		sum += dc.store.Team("a").Running.MilliCPU
	}
	return sum
}

func (m *transferModel) check(t *rapid.T) {
	if m.running() > m.maxLimit {
		t.Fatalf("team a runs %d, the limit was at most %d", m.running(), m.maxLimit)
	}
}

// settle delivers all commands until the running tasks must meet the limit.
func (m *transferModel) settle(t *rapid.T) {
	m.reliable = true
	defer func() { m.reliable = false }()
	for range 8 {
		for _, command := range m.inFlight {
			command()
		}
		m.inFlight = nil
		for _, dc := range m.dataCentres {
			dc.seen = m.fleet.Allotment("a", dc.name)
			m.exchange(dc)
			m.endAttempts(dc, false)
			m.place(dc)
		}
		m.divide()
	}
	if m.running() > m.limit {
		t.Fatalf("team a runs %d of %d after the returns", m.running(), m.limit)
	}
	m.maxLimit = m.limit
	for _, dc := range m.dataCentres {
		if a := m.fleet.Allotment("a", dc.name); len(a.Grants) > 8 {
			t.Fatalf("%d grants to %s are kept", len(a.Grants), dc.name)
		}
	}
}

// Guards against a team that runs more than its limit over all data centres when
// transfers are lost, duplicated or reordered, against a lowered limit that is
// never met, and against records of grants that are never dropped.
func TestTransfersKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &transferModel{t: t, fleet: fleet.New()}
		for i := range 3 {
			dc := &dataCentre{name: fmt.Sprintf("dc%d", i), store: state.New(noopObserver{}), seen: &statev1.Allotment{}}
			m.apply(dc, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RegisterWorker{RegisterWorker: &statev1.RegisterWorker{WorkerId: "w", Incarnation: 1, Capacity: cores(100 * core)}}})
			m.dataCentres = append(m.dataCentres, dc)
		}
		m.setLimit(highestLimit * core)
		pick := func(t *rapid.T) *dataCentre { return rapid.SampledFrom(m.dataCentres).Draw(t, "data centre") }
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"divide":   func(*rapid.T) { m.divide() },
			"exchange": func(t *rapid.T) { m.exchange(pick(t)) },
			"see":      func(t *rapid.T) { dc := pick(t); dc.seen = m.fleet.Allotment("a", dc.name) },
			"submit": func(t *rapid.T) {
				dc := pick(t)
				if len(dc.store.OpenJobs()) > highestLimit {
					t.Skip("enough work")
				}
				for range rapid.IntRange(1, highestLimit).Draw(t, "jobs") {
					m.submit(dc)
				}
			},
			"place": func(t *rapid.T) { m.place(pick(t)) },
			"work":  func(t *rapid.T) { m.endAttempts(pick(t), rapid.Bool().Draw(t, "all")) },
			"step": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip("no command is in flight")
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "step")
				command := m.inFlight[i]
				m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
				command()
			},
			"lower and raise": func(t *rapid.T) {
				m.setLimit(2 * core)
				m.divide()
				dc := pick(t)
				dc.seen = m.fleet.Allotment("a", dc.name)
				m.exchange(dc)
				m.exchange(dc)
				m.setLimit(highestLimit * core)
			},
			"limit":  func(t *rapid.T) { m.setLimit(int64(rapid.IntRange(2, highestLimit).Draw(t, "limit")) * core) },
			"settle": m.settle,
			"round": func(t *rapid.T) {
				m.divide()
				for _, dc := range m.dataCentres {
					dc.seen = m.fleet.Allotment("a", dc.name)
					m.exchange(dc)
					m.place(dc)
				}
			},
		})
	})
}

// Guards against ending attempts while others of the team would lose less work.
func TestShedLosesLeast(t *testing.T) {
	candidate := func(id uint64, spec structs.WorkSpec) state.AttemptWithSpec {
		return state.AttemptWithSpec{Attempt: structs.Attempt{ID: id, Size: structs.Resources{MilliCPU: core}}, Spec: spec}
	}
	list := SelectForShedding([]state.AttemptWithSpec{
		candidate(1, structs.WorkSpec{}), candidate(2, structs.WorkSpec{Idempotent: true}), candidate(3, structs.WorkSpec{MayCheckpoint: true}),
		candidate(4, structs.WorkSpec{MayPreempt: true}), candidate(5, structs.WorkSpec{MayPreempt: true}),
	}, structs.Resources{MilliCPU: 2*core + 1}, "reason")
	assert.Equal(t, len(list), 3)
	for i, id := range []uint64{3, 5, 4} {
		assert.Equal(t, list[i].AttemptId, id)
	}
	assert.Equal(t, list[0].Means, statev1.ShedAttempt_CHECKPOINT)
}
