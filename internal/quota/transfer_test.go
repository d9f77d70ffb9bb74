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

type quiet struct{}

func (quiet) Reset()               {}
func (quiet) WorkerChanged(string) {}
func (quiet) JobChanged(string)    {}
func (quiet) InstancesChanged()    {}

const (
	core     = 1000
	topLimit = 12
)

// transferWorld holds one fleet store and three data centre stores. Commands
// between them are lost, duplicated and reordered, and what each side knows of
// the other may be old.
type transferWorld struct {
	t       *rapid.T
	fleet   *fleet.Store
	index   uint64
	sites   []*site
	limit   int64
	version uint64
	jobs    int
	// ceiling is the highest limit since the limit was last met.
	ceiling int64
	steps   []func()
	// reliable is set while no message is lost.
	reliable bool
}

type site struct {
	name  string
	store *state.Store
	index uint64
	// seen is the site's copy of its allotment in the fleet group.
	seen *statev1.Allotment
}

func (w *transferWorld) fleetDo(c *statev1.FleetCommand) *statev1.FleetResult {
	b, err := proto.Marshal(c)
	assert.NilError(w.t, err)
	w.index++
	return w.fleet.Apply(w.index, b).(*statev1.FleetResult)
}

func (w *transferWorld) do(s *site, c *statev1.DataCentreCommand) *state.Result {
	b, err := proto.Marshal(c)
	assert.NilError(w.t, err)
	s.index++
	return s.store.Apply(s.index, b).(*state.Result)
}

// deliver runs a command now, later, twice or never.
func (w *transferWorld) deliver(step func()) {
	if w.reliable {
		step()
		return
	}
	switch rapid.IntRange(0, 5).Draw(w.t, "fate") {
	case 0:
	case 1:
		w.steps = append(w.steps, step)
	case 2:
		w.steps = append(w.steps, step)
		step()
	default:
		step()
	}
}

func cores(n int64) *apiv1.Resources { return &apiv1.Resources{MilliCpu: n} }

func (w *transferWorld) setLimit(limit int64) {
	r := w.fleetDo(&statev1.FleetCommand{Command: &statev1.FleetCommand_PutDocument{PutDocument: &statev1.PutDocument{
		Replaces: w.version, Spec: &statev1.WorkSpec{Team: "a", Service: "s"}, Limit: cores(limit),
	}}})
	assert.Equal(w.t, r.Refusal, "")
	w.version = r.Version
	w.limit = limit
	w.ceiling = max(w.ceiling, limit)
}

// divide mirrors the fleet leader.
func (w *transferWorld) divide() {
	var sites []Usage
	for _, s := range w.sites {
		t := s.store.Team("a")
		a := w.fleet.Allotment("a", s.name)
		sites = append(sites, Usage{DataCentre: s.name, Running: t.Running, Waiting: t.Waiting, Granted: structs.ResourcesFromProto(a.Granted)})
	}
	limit, _ := w.fleet.Limit("a")
	for _, share := range Divide(limit, sites) {
		grant := w.fleet.Allotment("a", share.DataCentre).Grant + 1
		w.deliver(func() {
			w.fleetDo(&statev1.FleetCommand{Command: &statev1.FleetCommand_WantAllotment{WantAllotment: &statev1.WantAllotment{
				Team: "a", DataCentre: share.DataCentre, Amount: share.Wanted.Proto(), Shed: share.Shed,
			}}})
			if share.Grant.IsZero() {
				return
			}
			w.fleetDo(&statev1.FleetCommand{Command: &statev1.FleetCommand_GrantAllotment{GrantAllotment: &statev1.GrantAllotment{
				Team: "a", DataCentre: share.DataCentre, Amount: share.Grant.Proto(), Grant: grant,
			}}})
		})
	}
}

// exchange mirrors the data centre leader, with the copy that it last saw.
func (w *transferWorld) exchange(s *site) {
	seen := s.seen
	for _, c := range Reconcile(s.store, "a", seen) {
		w.deliver(func() { w.do(s, c) })
	}
	for _, transfer := range s.store.ReturnableTransfers("a") {
		w.deliver(func() {
			w.fleetDo(&statev1.FleetCommand{Command: &statev1.FleetCommand_ReturnAllotment{ReturnAllotment: &statev1.ReturnAllotment{
				Team: "a", DataCentre: s.name, Transfer: transfer.Number, Amount: transfer.Amount.Proto(),
			}}})
		})
	}
	taken := s.store.Team("a").Grant
	w.deliver(func() {
		w.fleetDo(&statev1.FleetCommand{Command: &statev1.FleetCommand_ConfirmGrants{ConfirmGrants: &statev1.ConfirmGrants{Team: "a", DataCentre: s.name, Taken: taken}}})
	})
}

func (w *transferWorld) submit(s *site) {
	w.jobs++
	w.do(s, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SubmitJob{SubmitJob: &statev1.SubmitJob{
		JobId: fmt.Sprintf("00000000-0000-7000-8000-%012d", w.jobs),
		Spec:  &statev1.WorkSpec{Team: "a", Service: "s", Tasks: 1, Size: cores(core), MayPreempt: true, Idempotent: true},
	}}})
}

func (w *transferWorld) place(s *site) {
	w.do(s, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{UnixMs: s.store.LogTime() + 60_000}}})
	for _, id := range s.store.OpenJobs() {
		w.do(s, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_Plan{Plan: &statev1.Plan{Placements: []*statev1.Placement{{JobId: id, WorkerId: "w", Incarnation: 1}}}}})
	}
}

// work ends what is being stopped, and perhaps other attempts.
func (w *transferWorld) work(s *site, all bool) {
	for _, c := range s.store.TeamAttempts("a") {
		if all || c.Attempt.Stopping {
			w.do(s, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_EndAttempt{EndAttempt: &statev1.EndAttempt{
				AttemptId: c.Attempt.ID, WorkerId: "w", Incarnation: 1, Outcome: apiv1.Outcome_OUTCOME_CANCELLED,
			}}})
		}
	}
}

func (w *transferWorld) running() int64 {
	sum := int64(0)
	for _, s := range w.sites {
		sum += s.store.Team("a").Running.MilliCPU
	}
	return sum
}

func (w *transferWorld) check(t *rapid.T) {
	if w.running() > w.ceiling {
		t.Fatalf("team a runs %d, the limit was at most %d", w.running(), w.ceiling)
	}
}

// settle lets every message through until the limit must be met.
func (w *transferWorld) settle(t *rapid.T) {
	w.reliable = true
	defer func() { w.reliable = false }()
	for range 8 {
		for _, step := range w.steps {
			step()
		}
		w.steps = nil
		for _, s := range w.sites {
			s.seen = w.fleet.Allotment("a", s.name)
			w.exchange(s)
			w.work(s, false)
			w.place(s)
		}
		w.divide()
	}
	if w.running() > w.limit {
		t.Fatalf("team a runs %d of %d after the returns", w.running(), w.limit)
	}
	w.ceiling = w.limit
	for _, s := range w.sites {
		if a := w.fleet.Allotment("a", s.name); len(a.Grants) > 8 {
			t.Fatalf("%d grants to %s are kept", len(a.Grants), s.name)
		}
	}
}

// Guards against a team that runs more than its limit over all data centres when
// transfers are lost, duplicated or reordered, against a lowered limit that is
// not met, and against grants that are kept for ever.
func TestTransfersKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &transferWorld{t: t, fleet: fleet.New()}
		for i := range 3 {
			s := &site{name: fmt.Sprintf("dc%d", i), store: state.New(quiet{}), seen: &statev1.Allotment{}}
			w.do(s, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RegisterWorker{RegisterWorker: &statev1.RegisterWorker{WorkerId: "w", Incarnation: 1, Capacity: cores(100 * core)}}})
			w.sites = append(w.sites, s)
		}
		w.setLimit(topLimit * core)
		any := func(t *rapid.T) *site { return rapid.SampledFrom(w.sites).Draw(t, "site") }
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"divide":   func(*rapid.T) { w.divide() },
			"exchange": func(t *rapid.T) { w.exchange(any(t)) },
			"see":      func(t *rapid.T) { s := any(t); s.seen = w.fleet.Allotment("a", s.name) },
			"submit": func(t *rapid.T) {
				s := any(t)
				if len(s.store.OpenJobs()) > topLimit {
					t.Skip("enough work")
				}
				for range rapid.IntRange(1, topLimit).Draw(t, "jobs") {
					w.submit(s)
				}
			},
			"place": func(t *rapid.T) { w.place(any(t)) },
			"work":  func(t *rapid.T) { w.work(any(t), rapid.Bool().Draw(t, "all")) },
			"step": func(t *rapid.T) {
				if len(w.steps) == 0 {
					t.Skip("nothing is under way")
				}
				i := rapid.IntRange(0, len(w.steps)-1).Draw(t, "step")
				s := w.steps[i]
				w.steps = append(w.steps[:i:i], w.steps[i+1:]...)
				s()
			},
			"lower and raise": func(t *rapid.T) {
				w.setLimit(2 * core)
				w.divide()
				s := any(t)
				s.seen = w.fleet.Allotment("a", s.name)
				w.exchange(s)
				w.exchange(s)
				w.setLimit(topLimit * core)
			},
			"limit":  func(t *rapid.T) { w.setLimit(int64(rapid.IntRange(2, topLimit).Draw(t, "limit")) * core) },
			"settle": w.settle,
			"round": func(t *rapid.T) {
				w.divide()
				for _, s := range w.sites {
					s.seen = w.fleet.Allotment("a", s.name)
					w.exchange(s)
					w.place(s)
				}
			},
		})
	})
}

// Guards against ending work that loses more than other work of the team.
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
