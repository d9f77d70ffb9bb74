package cell

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/structs"
)

const (
	firstID  = "00000000000000a1"
	secondID = "00000000000000a2"
)

// storeBench applies commands to a store with two workers, w0 and w1, of 8 cores each.
type storeBench struct {
	t     *testing.T
	store *Store
	index uint64
}

func newStoreBench(t *testing.T) *storeBench {
	b := &storeBench{t: t, store: NewStore(nil)}
	b.apply(&Command{Configure: configuration(1)})
	for i := range 2 {
		b.register(fmt.Sprintf("w%d", i), 1, fmt.Sprintf("10.0.0.%d:80", i))
	}
	return b
}

func configuration(version int64) *Configuration {
	return &Configuration{
		Version:  version,
		Services: []Service{{Name: "planner"}},
		Queues:   []Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "planner", TimeoutMS: 1000, MaxFailures: 2}},
		Teams:    []Team{{Name: "red", Keys: []string{"k"}, Limit: structs.Resources{MilliCPU: 12_000}}},
	}
}

func (b *storeBench) apply(c *Command) any {
	b.t.Helper()
	data, err := Encode(c)
	assert.NilError(b.t, err)
	b.index++
	result := b.store.Apply(b.index, data)
	if err, failed := result.(error); failed {
		b.t.Fatal(err)
	}
	return result
}

func (b *storeBench) register(id string, born int64, address string) {
	b.apply(&Command{Register: &Register{ID: id, Born: born, Address: address, Service: "planner", Capacity: structs.Resources{MilliCPU: 8000, MemoryBytes: 8 << 30}}})
}

func (b *storeBench) submit(id string, steps ...Step) any {
	return b.apply(&Command{Submit: &Submit{Request: request(id), Job: Submission{Spec: "s", Steps: steps}}})
}

func request(id string) Request { return Request{Host: "h", Path: "/q/" + id, Key: "k"} }

func (b *storeBench) start(placements ...Placement) []bool {
	return b.apply(&Command{Start: &Start{Placements: placements}}).([]bool)
}

func (b *storeBench) end(worker string, p Placement, outcome Outcome) {
	b.apply(&Command{RecordEnds: &RecordEnds{Worker: worker, Born: p.Born, Ends: []AttemptEnd{{Task: p.Task, Run: p.Run, Outcome: outcome}}}})
}

func (b *storeBench) state(id string) JobStatus {
	var s JobStatus
	b.store.View(func(v *View) {
		r := request(id)
		s, _ = v.Status(&r)
	})
	return s
}

func (b *storeBench) ready(id string, step int) bool {
	found := false
	b.store.View(func(v *View) { _, found = v.Ready()[StepKey{Job: id, Step: step}] })
	return found
}

func singleTask(cores int64) Step {
	return Step{Count: 1, Size: structs.Resources{MilliCPU: cores * 1000}}
}

func placement(id string, step, index int, run uint32, worker string) Placement {
	return Placement{Task: TaskKey{StepKey{Job: id, Step: step}, index}, Run: run, Worker: worker, Born: 1}
}

// Guards against commitments to a worker beyond its capacity.
func TestWorkerCapacity(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, Step{Count: 3, Size: structs.Resources{MilliCPU: 3000}})
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0"), placement(firstID, 0, 1, 1, "w0"), placement(firstID, 0, 2, 1, "w0")), []bool{true, true, false})
	b.end("w0", placement(firstID, 0, 0, 1, "w0"), EndedDone)
	assert.DeepEqual(t, b.start(placement(firstID, 0, 2, 1, "w0")), []bool{true})
}

// Guards against attempts of a team beyond its upper limit.
func TestTeamUpperLimit(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, Step{Count: 3, Size: structs.Resources{MilliCPU: 5000}})
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0"), placement(firstID, 0, 1, 1, "w1"), placement(firstID, 0, 2, 1, "w1")), []bool{true, true, false})
}

// Guards against two attempts of a task at a time, and against an attempt after the task
// is done.
func TestOneAttemptInFlight(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, Step{Count: 2, Size: structs.Resources{MilliCPU: 1000}})
	first := placement(firstID, 0, 0, 1, "w0")
	assert.DeepEqual(t, b.start(first), []bool{true})
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 2, "w1")), []bool{false}) // an attempt is in flight
	b.end("w0", first, EndedDone)
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 2, "w1")), []bool{false}) // the task is done
	assert.DeepEqual(t, b.start(placement(firstID, 0, 1, 1, "w1")), []bool{true})
	b.apply(&Command{ExpireLease: &ExpireLease{Worker: "w1", Born: 1}})
	assert.DeepEqual(t, b.start(placement(firstID, 0, 1, 1, "w0")), []bool{false}) // the run number is not new
	assert.DeepEqual(t, b.start(placement(firstID, 0, 1, 2, "w0")), []bool{true})
}

// Guards against a late report for an attempt whose lease has expired: it must not end
// the task, whose next attempt may be in flight.
func TestEndOfEarlierAttemptIsIgnored(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	lost := placement(firstID, 0, 0, 1, "w0")
	b.start(lost)
	b.apply(&Command{ExpireLease: &ExpireLease{Worker: "w0", Born: 1}})
	b.end("w0", lost, EndedDone)
	assert.Equal(t, b.state(firstID).State, Active)
	retry := placement(firstID, 0, 0, 2, "w1")
	assert.DeepEqual(t, b.start(retry), []bool{true})
	b.end("w1", retry, EndedDone)
	assert.Equal(t, b.state(firstID).State, Complete)
}

// Guards against a step that starts before the steps it depends on are done.
func TestStepDependencies(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1), Step{Count: 1, DependsOn: []int{0}})
	assert.Assert(t, !b.ready(firstID, 1))
	assert.DeepEqual(t, b.start(placement(firstID, 1, 0, 1, "w0")), []bool{false})
	b.start(placement(firstID, 0, 0, 1, "w0"))
	b.end("w0", placement(firstID, 0, 0, 1, "w0"), EndedDone)
	assert.Assert(t, b.ready(firstID, 1))
	assert.DeepEqual(t, b.start(placement(firstID, 1, 0, 1, "w0")), []bool{true})
}

// Guards against a start after the queue's maximum number of failures, and against
// counting ends of other kinds as failures.
func TestMaxFailures(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	for run, outcome := range []Outcome{EndedFailed, EndedEarly, EndedUnstarted} {
		p := placement(firstID, 0, 0, uint32(run+1), "w0")
		assert.DeepEqual(t, b.start(p), []bool{true})
		b.end("w0", p, outcome)
		assert.Equal(t, b.state(firstID).State, Active)
	}
	last := placement(firstID, 0, 0, 4, "w0")
	assert.DeepEqual(t, b.start(last), []bool{true})
	b.end("w0", last, EndedFailed)
	assert.Equal(t, b.state(firstID).State, Failed)
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 5, "w0")), []bool{false})
}

// Guards against a start beyond the maximum number of failures of a queue that was
// removed from the configuration while the last attempt ran, and was added again later.
func TestMaxFailuresOfRemovedQueue(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	for run := range uint32(2) {
		p := placement(firstID, 0, 0, run+1, "w0")
		b.start(p)
		if run == 1 {
			withoutQueue := configuration(2)
			withoutQueue.Queues[0].Name = "other"
			b.apply(&Command{Configure: withoutQueue})
		}
		b.end("w0", p, EndedFailed)
	}
	b.apply(&Command{Configure: configuration(3)})
	assert.Equal(t, b.state(firstID).State, Failed)
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 3, "w0")), []bool{false})
}

// Guards against a start after a new configuration lowered the maximum number of failures
// to what the task has failed already.
func TestMaxFailuresLowered(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	p := placement(firstID, 0, 0, 1, "w0")
	b.start(p)
	b.end("w0", p, EndedFailed)
	assert.Equal(t, b.state(firstID).State, Active)
	lowered := configuration(2)
	lowered.Queues[0].MaxFailures = 1
	b.apply(&Command{Configure: lowered})
	assert.Equal(t, b.state(firstID).State, Failed)
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 2, "w0")), []bool{false})
}

// Guards against a gang that starts in part, counts a failure for each member of the same
// run, or is not done when one member is done.
func TestGang(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, Step{Count: 2, Gang: true, Size: structs.Resources{MilliCPU: 6000}})
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0"), placement(firstID, 0, 1, 1, "w0")), []bool{false, false}) // only one fits
	var free structs.Resources
	b.store.View(func(v *View) { free = v.Worker("w0").Free() })
	assert.Equal(t, free.MilliCPU, int64(8000), "a refused gang holds no capacity")
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0")), []bool{false}) // not the whole gang
	first, second := placement(firstID, 0, 0, 1, "w0"), placement(firstID, 0, 1, 1, "w1")
	assert.DeepEqual(t, b.start(first, second), []bool{true, true})
	b.end("w0", first, EndedFailed)
	assert.Assert(t, !b.ready(firstID, 0), "a member of the earlier run is in flight")
	b.end("w1", second, EndedFailed)
	assert.Equal(t, b.state(firstID).State, Active, "one run has failed, of two allowed")
	first.Run, second.Run = 2, 2
	assert.DeepEqual(t, b.start(first, second), []bool{true, true})
	b.end("w1", second, EndedDone)
	assert.Equal(t, b.state(firstID).State, Complete)
}

// Guards against starts of a cancelled job, and against capacity that is released before
// the attempts have ended.
func TestCancelledJobHoldsCapacity(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, Step{Count: 2, Size: structs.Resources{MilliCPU: 5000}})
	p := placement(firstID, 0, 0, 1, "w0")
	b.start(p)
	r := request(firstID)
	assert.Equal(t, b.apply(&Command{Cancel: &r}), Accepted)
	assert.Equal(t, b.state(firstID).State, Cancelled)
	assert.DeepEqual(t, b.start(placement(firstID, 0, 1, 1, "w1")), []bool{false})
	b.submit(secondID, singleTask(5))
	assert.DeepEqual(t, b.start(placement(secondID, 0, 0, 1, "w0")), []bool{false}) // the attempt that is being stopped still holds capacity
	b.end("w0", p, EndedEarly)
	assert.DeepEqual(t, b.start(placement(secondID, 0, 0, 1, "w0")), []bool{true})
}

// Guards against a job that goes on although its cancellation is answered "no such job",
// because a configuration has renamed its queue at the same host and prefix.
func TestCancelOfJobInRenamedQueue(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	renamed := configuration(100)
	for i := range renamed.Queues {
		renamed.Queues[i].Name += "-renamed"
	}
	assert.Equal(t, b.apply(&Command{Configure: renamed}), Accepted)
	r := request(firstID)
	assert.Equal(t, b.apply(&Command{Cancel: &r}), Accepted)
	assert.Equal(t, b.state(firstID).State, Cancelled)
}

// Guards against attempts on an earlier incarnation: one that restarted under the same
// id, or was replaced by another worker at its address, and whose report arrives late.
func TestNewIncarnationReplacesOlder(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	b.start(placement(firstID, 0, 0, 1, "w0"))
	b.register("w0", 5, "10.0.0.0:80")
	assert.Assert(t, b.ready(firstID, 0), "the attempt ended with its incarnation")
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 2, "w0")), []bool{false}) // planned for the earlier incarnation
	b.register("w0", 1, "10.0.0.0:80")
	b.store.View(func(v *View) { assert.Equal(t, v.Worker("w0").Born, int64(5)) })
	b.register("w9", 9, "10.0.0.1:80")
	b.register("w1", 1, "10.0.0.1:80")
	b.store.View(func(v *View) {
		assert.Assert(t, v.Worker("w1").Gone)
		assert.Assert(t, !v.Worker("w9").Gone)
	})
}

// Guards against starts on a draining worker, and against a later report that ends the
// draining.
func TestDrainingWorkerGetsNoAttempts(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	b.apply(&Command{Register: &Register{ID: "w0", Born: 1, Address: "10.0.0.0:80", Service: "planner", Draining: true}})
	b.register("w0", 1, "10.0.0.0:80")
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0")), []bool{false})
}

// Guards against attempts on a worker that is shutting down which end, or stop counting for
// their team, before it has left, also after a restore, and against a successor that inherits
// the departure.
func TestDepartingWorkerKeepsItsAttempts(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(2))
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0")), []bool{true})
	usage := func() int64 { return unlimited - b.store.headroom(b.store.Jobs[firstID].Team).MilliCPU }
	before := usage()
	report := Register{ID: "w0", Born: 1, Address: "10.0.0.0:80", Service: "planner", Draining: true, Departing: true}
	b.apply(&Command{Register: &report})
	data, err := b.store.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, b.store.Restore(b.index, data))
	w := b.store.Workers["w0"]
	assert.Assert(t, w.Departing && !w.Gone && !w.Usable())
	assert.Equal(t, len(w.Attempts), 1)
	assert.Equal(t, usage(), before)
	report.Departing, report.Deregistered = false, true
	b.apply(&Command{Register: &report})
	assert.Assert(t, w.Gone)
	assert.Equal(t, len(w.Attempts), 0)
	b.register("w0", 2, "10.0.0.0:80")
	assert.Assert(t, b.store.Workers["w0"].Usable() && !b.store.Workers["w0"].Departing)
}

// Guards against requests with a withdrawn key, access to another team's job, and a job
// that is accepted twice.
func TestKeysAndTeams(t *testing.T) {
	b := newStoreBench(t)
	assert.Equal(t, b.submit(firstID, singleTask(1)), Accepted)
	assert.Equal(t, b.submit(firstID, singleTask(1)), Accepted)
	c := configuration(2)
	c.Teams[0].Keys = []string{"other"}
	c.Teams = append(c.Teams, Team{Name: "blue", Keys: []string{"k"}})
	b.apply(&Command{Configure: c})
	assert.Equal(t, b.submit(secondID, singleTask(1)), Accepted, "the key belongs to team blue now")
	r := request(firstID)
	assert.Equal(t, b.apply(&Command{Cancel: &r}), NoJob, "the job belongs to team red")
	r.Key = "gone"
	assert.Equal(t, b.apply(&Command{Cancel: &r}), BadKey)
	r = Request{Host: "h", Path: "/none/" + firstID, Key: "k"}
	assert.Equal(t, b.apply(&Command{Cancel: &r}), NoQueue)
}

// Guards against a configuration that is replaced by one of a lower or the same version.
func TestConfigurationNeverReverts(t *testing.T) {
	b := newStoreBench(t)
	newer := configuration(7)
	newer.Queues[0].Host = "new"
	b.apply(&Command{Configure: newer})
	for _, version := range []int64{3, 7} {
		assert.Equal(t, b.apply(&Command{Configure: configuration(version)}), Accepted)
		b.store.View(func(v *View) { assert.Equal(t, v.Configuration().Queues[0].Host, "new") })
	}
}

// Guards against occurrences that are opened twice or never, and against a job that
// is complete before its last occurrence.
func TestOccurrences(t *testing.T) {
	b := newStoreBench(t)
	b.apply(&Command{Submit: &Submit{Request: request(firstID), Job: Submission{Steps: []Step{singleTask(1)}, Schedule: Schedule{Times: 2, StartMS: 1000, IntervalMS: 500}}}})
	scheduled := func() bool {
		found := false
		b.store.View(func(v *View) { _, found = v.Scheduled()[firstID] })
		return found
	}
	assert.Assert(t, scheduled() && !b.ready(firstID, 0))
	open := func(n int) {
		b.apply(&Command{OpenOccurrences: &OpenOccurrences{Occurrences: []OccurrenceKey{{Job: firstID, Number: n}, {Job: secondID, Number: n}}}})
	}
	open(1)
	assert.Assert(t, !b.ready(firstID, 0), "opened out of order")
	open(0)
	open(0)
	first := placement(firstID, 0, 0, 1, "w0")
	assert.DeepEqual(t, b.start(first), []bool{true})
	b.end("w0", first, EndedDone)
	assert.Assert(t, scheduled() && b.state(firstID).State == Active)
	open(1)
	assert.Assert(t, !scheduled())
	second := first
	second.Task.Occurrence = 1
	assert.DeepEqual(t, b.start(second), []bool{true})
	b.end("w0", second, EndedDone)
	assert.Equal(t, b.state(firstID).State, Complete)
}

// Guards against a scheduled job that is complete too early because the end of each
// member of a gang counts as a completed occurrence.
func TestGangOccurrenceCountsOnce(t *testing.T) {
	b := newStoreBench(t)
	pair := Step{Count: 2, Gang: true, Size: structs.Resources{MilliCPU: 1000}}
	b.apply(&Command{Submit: &Submit{Request: request(firstID), Job: Submission{Steps: []Step{pair}, Schedule: Schedule{Times: 2}}}})
	b.apply(&Command{OpenOccurrences: &OpenOccurrences{Occurrences: []OccurrenceKey{{firstID, 0}, {firstID, 1}}}})
	first, second := placement(firstID, 0, 0, 1, "w0"), placement(firstID, 0, 1, 1, "w1")
	assert.DeepEqual(t, b.start(first, second), []bool{true, true})
	b.end("w0", first, EndedDone)
	b.end("w1", second, EndedDone)
	assert.Equal(t, b.state(firstID).State, Active)
	first.Task.Occurrence, second.Task.Occurrence = 1, 1
	assert.DeepEqual(t, b.start(first, second), []bool{true, true})
	b.end("w1", second, EndedDone)
	assert.Equal(t, b.state(firstID).State, Complete)
}

// Guards against accepting invalid configurations.
func TestValidateConfiguration(t *testing.T) {
	assert.NilError(t, configuration(1).Validate())
	for name, invalidate := range map[string]func(c *Configuration){
		"unknown service": func(c *Configuration) { c.Queues[0].Service = "none" },
		"no timeout":      func(c *Configuration) { c.Queues[0].TimeoutMS = 0 },
		"same route":      func(c *Configuration) { q := c.Queues[0]; q.Name = "r"; c.Queues = append(c.Queues, q) },
		"shared key":      func(c *Configuration) { c.Teams = append(c.Teams, Team{Name: "blue", Keys: []string{"k"}}) },
		"no version":      func(c *Configuration) { c.Version = 0 },
	} {
		c := configuration(1)
		invalidate(c)
		assert.Assert(t, c.Validate() != nil, name)
	}
}

// Guards against state that a snapshot omits, and against derived state that is not
// rebuilt after a restore.
func TestSnapshotRestoresState(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, Step{Count: 2, Size: structs.Resources{MilliCPU: 5000}})
	b.start(placement(firstID, 0, 0, 1, "w0"))
	data, err := b.store.Snapshot()
	assert.NilError(t, err)
	restored := &storeBench{t: t, store: NewStore(nil), index: b.index}
	assert.NilError(t, restored.store.Restore(b.index, data))
	assert.Assert(t, restored.ready(firstID, 0))
	restored.submit(secondID, singleTask(5))
	assert.DeepEqual(t, restored.start(placement(secondID, 0, 0, 1, "w0")), []bool{false}) // the restored attempt holds capacity
	assert.DeepEqual(t, restored.start(placement(firstID, 0, 1, 1, "w1")), []bool{true})
	restored.end("w0", placement(firstID, 0, 0, 1, "w0"), EndedDone)
	restored.end("w1", placement(firstID, 0, 1, 1, "w1"), EndedDone)
	assert.Equal(t, restored.state(firstID).State, Complete)
}

// Guards against a wave that is complete before every machine is settled, that starts
// again when its order is repeated, or that a snapshot omits.
func TestWave(t *testing.T) {
	b := newStoreBench(t)
	order := &StartWave{Number: 3, Machines: []string{"b", "a", "b"}, MaxDown: 1, DurationMS: 500, AcceptedMS: 1000}
	for _, invalid := range []StartWave{{Machines: []string{"a"}, MaxDown: 1}, {Number: 4, Machines: []string{"a"}}, {Number: 4, Machines: []string{""}, MaxDown: 1}} {
		assert.Equal(t, b.apply(&Command{StartWave: &invalid}), Invalid)
	}
	assert.Equal(t, b.apply(&Command{StartWave: order}), Accepted)
	b.apply(&Command{SettleMachine: &SettleMachine{Wave: 3, Machine: "a"}})
	b.apply(&Command{SettleMachine: &SettleMachine{Wave: 3, Machine: "other"}})
	later := *order
	later.AcceptedMS = 9000
	assert.Equal(t, b.apply(&Command{StartWave: &later}), Accepted)
	data, err := b.store.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, b.store.Restore(b.index, data))
	b.store.View(func(v *View) {
		w := v.Wave(3)
		assert.Assert(t, !w.Complete() && w.DueMS == 1500)
		assert.DeepEqual(t, w.Waiting(), []string{"b"})
		assert.Equal(t, len(v.RunningWaves()), 1)
	})
	b.apply(&Command{SettleMachine: &SettleMachine{Wave: 3, Machine: "b"}})
	b.store.View(func(v *View) {
		assert.Assert(t, v.Wave(3).Complete() && len(v.RunningWaves()) == 0)
		assert.Assert(t, v.Wave(4) == nil)
	})
}

// Guards against a late report that brings back a larger capacity, also from a snapshot.
func TestLateReportIsIgnored(t *testing.T) {
	b := newStoreBench(t)
	report := func(number uint64, cores int64) {
		b.apply(&Command{Register: &Register{ID: "w0", Born: 1, Address: "10.0.0.0:80", Service: "planner", Number: number, Capacity: structs.Resources{MilliCPU: cores * 1000}}})
	}
	report(5, 2)
	report(4, 8)
	data, err := b.store.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, b.store.Restore(b.index, data))
	report(3, 8)
	b.store.View(func(v *View) { assert.Equal(t, v.Worker("w0").Capacity.MilliCPU, int64(2000)) })
	report(6, 4)
	b.store.View(func(v *View) { assert.Equal(t, v.Worker("w0").Capacity.MilliCPU, int64(4000)) })
	b.apply(&Command{Register: &Register{ID: "w0", Born: 2, Address: "10.0.0.0:80", Service: "planner", Number: 1, Capacity: structs.Resources{MilliCPU: 8000}}})
	b.store.View(func(v *View) { assert.Equal(t, v.Worker("w0").Capacity.MilliCPU, int64(8000)) })
	b.apply(&Command{Register: &Register{ID: "w0", Born: 2, Address: "10.0.0.0:80", Service: "planner", Deregistered: true}})
	b.store.View(func(v *View) { assert.Assert(t, v.Worker("w0").Gone) })
}

// Guards against a part of a gang that starts since the worker of the others has shrunk, and
// against starts in the place of attempts that are being stopped.
func TestShrunkWorkerRefusesStarts(t *testing.T) {
	b := newStoreBench(t)
	shrink := func(number uint64, cores int64) {
		b.apply(&Command{Register: &Register{ID: "w0", Born: 1, Address: "10.0.0.0:80", Service: "planner", Number: number, Capacity: structs.Resources{MilliCPU: cores * 1000}}})
	}
	b.submit(firstID, singleTask(4))
	running := placement(firstID, 0, 0, 1, "w0")
	assert.DeepEqual(t, b.start(running), []bool{true})
	shrink(1, 2)
	b.submit(secondID, Step{Count: 2, Size: structs.Resources{MilliCPU: 1000}, Gang: true})
	gang := func(run uint32) []Placement {
		return []Placement{placement(secondID, 0, 0, run, "w1"), placement(secondID, 0, 1, run, "w0")}
	}
	assert.DeepEqual(t, b.start(gang(1)...), []bool{false, false})
	b.apply(&Command{Cancel: &Request{Host: "h", Path: "/q/" + firstID, Key: "k"}})
	assert.DeepEqual(t, b.start(gang(2)...), []bool{false, false})
	b.end("w0", running, EndedEarly)
	assert.DeepEqual(t, b.start(gang(3)...), []bool{true, true})
}

// Guards against jobs that are not counted as pending although no attempt has started, and
// against those that are counted although one has.
func TestPendingJobsHaveNotStarted(t *testing.T) {
	for _, c := range []struct {
		name    string
		end     func(b *storeBench, p Placement)
		pending int
	}{
		{"in flight, not known to have started", func(*storeBench, Placement) {}, 1},
		{"never started", func(b *storeBench, p Placement) { b.end("w0", p, EndedUnstarted) }, 1},
		{"stopped", func(b *storeBench, p Placement) { b.end("w0", p, EndedEarly) }, 0},
		{"end of another attempt", func(b *storeBench, p Placement) { p.Run++; b.end("w0", p, EndedEarly) }, 1},
		{"lease expired", func(b *storeBench, p Placement) {
			b.apply(&Command{ExpireLease: &ExpireLease{Worker: "w0", Born: 1, RanOut: true}})
		}, 1},
		{"lease expired after the start", func(b *storeBench, p Placement) {
			b.apply(&Command{ExpireLease: &ExpireLease{Worker: "w0", Born: 1, RanOut: true, Begun: []string{firstID}}})
		}, 0},
		{"worker crashed", func(b *storeBench, p Placement) { b.register("w0", 2, "10.0.0.0:80") }, 1},
		{"worker crashed after the start", func(b *storeBench, p Placement) {
			b.crash("w0", "w0", 2, "10.0.0.0:80", []StartedAttempt{{p.Task, p.Run}})
		}, 0},
	} {
		b := newStoreBench(t)
		b.submit(firstID, singleTask(1))
		p := placement(firstID, 0, 0, 1, "w0")
		assert.DeepEqual(t, b.start(p), []bool{true})
		c.end(b, p)
		b.store.View(func(v *View) {
			r := request("")
			n, verdict := v.Pending(&r, nil)
			assert.Equal(t, verdict, Accepted, c.name)
			assert.Equal(t, n, c.pending, c.name)
			n, _ = v.Pending(&r, map[string]bool{firstID: true})
			assert.Equal(t, n, 0, c.name)
		})
	}
}
