package cell

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/internal/structs"
)

// TestMain fixes rapid's seed so that every run has the same result, and makes the
// sequences of commands long enough for tasks to reach their second attempt.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "120", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// modelAttempt is an attempt in flight.
type modelAttempt struct {
	worker string
	run    uint32
	claim  structs.Resources
	size   structs.Resources
	team   string
	// started is set if it was committed that the attempt has started.
	started bool
}

// modelWorker is the newest incarnation of a worker.
type modelWorker struct {
	born     int64
	draining bool
	gone     bool
	label    string
	// takenDown is set if the end of the incarnation is planned.
	takenDown bool
	// lost contains the tasks of attempts that ended because the worker could not be
	// reached.
	lost map[TaskKey]LostAttempt
}

type modelJob struct {
	steps []Step
	team  string
	queue string
	state JobState
}

// cellModel is an independent model of the state. It follows the commands that the store
// accepted and checks the invariants of the state after each of them.
type cellModel struct {
	store    *Store
	index    uint64
	version  int64
	jobs     map[string]*modelJob
	ids      []string
	workers  map[string]*modelWorker
	inFlight map[TaskKey]modelAttempt
	lastRun  map[TaskKey]uint32
	done     map[TaskKey]bool
	failures map[TaskKey]int
	crashes  map[TaskKey]int
	// confirmed counts the crashes of attempts that had started.
	confirmed map[TaskKey]int
	// generation counts the workers that have replaced the first one at each address.
	generation [modelWorkers]int
	// failedGangRuns contains the run numbers of a gang that failed.
	failedGangRuns  map[StepKey]map[uint32]bool
	limit           int64
	queueConfigured bool
}

const (
	modelWorkers     = 3
	modelMilliCPU    = 8000
	modelMaxFailures = 2
)

func newCellModel(t *rapid.T) *cellModel {
	m := &cellModel{
		store: NewStore(nil), jobs: map[string]*modelJob{}, workers: map[string]*modelWorker{}, inFlight: map[TaskKey]modelAttempt{},
		lastRun: map[TaskKey]uint32{}, done: map[TaskKey]bool{}, failures: map[TaskKey]int{}, crashes: map[TaskKey]int{}, confirmed: map[TaskKey]int{}, failedGangRuns: map[StepKey]map[uint32]bool{},
	}
	m.configure(t, 12_000, true)
	for i := range modelWorkers {
		m.register(t, i, 1, false, false)
	}
	return m
}

func (m *cellModel) apply(t *rapid.T, c *Command) any {
	data, err := Encode(c)
	assert.NilError(t, err)
	m.index++
	result := m.store.Apply(m.index, data)
	if err, failed := result.(error); failed {
		t.Fatal(err)
	}
	return result
}

func (m *cellModel) configure(t *rapid.T, limit int64, queueConfigured bool) {
	m.version++
	c := &Configuration{
		Version: m.version, Services: []Service{{Name: "planner"}},
		Queues: []Queue{{Name: "other", Host: "h", Prefix: "/o/", Service: "planner", TimeoutMS: 1, MaxFailures: modelMaxFailures}},
		Teams: []Team{
			{Name: "red", Keys: []string{"red"}, Limit: structs.Resources{MilliCPU: limit}},
			{Name: "blue", Keys: []string{"blue"}, Limit: structs.Resources{MilliCPU: 16_000}},
		},
	}
	if queueConfigured {
		c.Queues = append(c.Queues, Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "planner", TimeoutMS: 1, MaxFailures: modelMaxFailures})
	}
	m.apply(t, &Command{Configure: c})
	m.limit, m.queueConfigured = limit, queueConfigured
}

func (m *cellModel) workerName(i int) string { return fmt.Sprintf("w%d.%d", i, m.generation[i]) }

// startedOn returns some of the attempts on a worker as attempts that have started.
func (m *cellModel) startedOn(t *rapid.T, worker string) []StartedAttempt {
	var started []StartedAttempt
	for key, a := range m.inFlight {
		if a.worker == worker {
			started = append(started, StartedAttempt{key, a.run})
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "unconfirmed") == 0 {
		return nil
	}
	return started
}

// confirm commits that the attempts on a worker have started.
func (m *cellModel) confirm(t *rapid.T) {
	name := m.workerName(rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))
	started := m.startedOn(t, name)
	m.apply(t, &Command{RecordEnds: &RecordEnds{Worker: name, Born: m.workers[name].born, Started: started}})
	for _, attempt := range started {
		a := m.inFlight[attempt.Task]
		a.started = true
		m.inFlight[attempt.Task] = a
	}
}

// settle commits that attempts on a worker have run for a while, or for so long that
// earlier crashes no longer count.
func (m *cellModel) settle(t *rapid.T) {
	name := m.workerName(rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))
	attempts, sound := m.startedOn(t, name), rapid.Bool().Draw(t, "sound")
	late := int64(rapid.IntRange(0, 3).Draw(t, "earlier incarnation") / 3)
	c := &RecordEnds{Worker: name, Born: m.workers[name].born - late, Settled: attempts}
	if sound {
		c.Sound = attempts
	}
	m.apply(t, &Command{RecordEnds: c})
	if late > 0 {
		return
	}
	for _, attempt := range attempts {
		a := m.inFlight[attempt.Task]
		a.started = false
		m.inFlight[attempt.Task] = a
		if sound {
			m.crashes[attempt.Task], m.confirmed[attempt.Task] = 0, 0
			for _, w := range m.workers {
				delete(w.lost, attempt.Task)
			}
		}
	}
}

// lapse expires the lease of a worker.
func (m *cellModel) lapse(t *rapid.T, worker string) {
	started := m.startedOn(t, worker)
	ranOut := rapid.Bool().Draw(t, "ran out")
	m.apply(t, &Command{ExpireLease: &ExpireLease{Worker: worker, Born: m.workers[worker].born, Started: started, RanOut: ranOut}})
	m.lose(worker, started, ranOut)
}

func (m *cellModel) register(t *rapid.T, i int, born int64, draining, deregistered bool) {
	m.registerOver(t, i, born, m.startedOn(t, m.workerName(i)), draining, deregistered)
}

// registerOver is register with the attempts that have started on the incarnations that
// the worker replaces.
func (m *cellModel) registerOver(t *rapid.T, i int, born int64, started []StartedAttempt, draining, deregistered bool) {
	label := ""
	if i == 0 {
		label = "a"
	}
	m.apply(t, &Command{Register: &Register{
		ID: m.workerName(i), Born: born, Address: modelAddress(i), Service: "planner", Labels: []string{label},
		Capacity: structs.Resources{MilliCPU: modelMilliCPU}, Draining: draining, Deregistered: deregistered, Started: started,
	}})
	m.registered(i, born, label, started, draining, deregistered)
}

// registered follows a report that the store has applied.
func (m *cellModel) registered(i int, born int64, label string, started []StartedAttempt, draining, deregistered bool) {
	w := m.workers[m.workerName(i)]
	if w != nil && (born < w.born || born == w.born && w.gone) {
		return
	}
	if w == nil || born > w.born {
		if w != nil {
			m.replaced(m.workerName(i), started)
		}
		w = &modelWorker{born: born, label: label, lost: map[TaskKey]LostAttempt{}}
		m.workers[m.workerName(i)] = w
	}
	w.draining = w.draining || draining
	if deregistered {
		m.endAllAttempts(m.workerName(i))
		w.gone, w.lost = true, map[TaskKey]LostAttempt{}
	}
}

// replace registers another worker at the address of a worker.
func (m *cellModel) replace(t *rapid.T) {
	i := rapid.IntRange(0, modelWorkers-1).Draw(t, "worker")
	name, old := m.workerName(i), m.workers[m.workerName(i)]
	born := old.born + int64(rapid.IntRange(-1, 1).Draw(t, "incarnation"))
	if born < old.born && !old.gone {
		// The report of a worker that the present one has replaced.
		m.apply(t, &Command{Register: &Register{ID: "late", Born: born, Address: modelAddress(i), Service: "planner"}})
		return
	}
	started := m.startedOn(t, name)
	m.generation[i]++
	m.registerOver(t, i, born, started, false, false)
	if !old.gone {
		if born > old.born {
			m.replaced(name, started)
		}
		m.endAllAttempts(name)
		old.gone, old.lost = true, map[TaskKey]LostAttempt{}
	}
}

// lose ends the attempts on a worker that cannot be reached. If its lease has run out, only
// those in started count as certainly started.
func (m *cellModel) lose(worker string, started []StartedAttempt, ranOut bool) {
	w := m.workers[worker]
	var keys []TaskKey
	for key, a := range m.inFlight {
		if a.worker == worker {
			keys = append(keys, key)
			if a.started && !ranOut {
				started = append(slices.Clone(started), StartedAttempt{key, a.run})
			}
		}
	}
	m.endAllAttempts(worker)
	for _, key := range keys {
		if !w.takenDown && m.jobs[key.Job].state == Active {
			l := w.lost[key]
			l.Started = l.Started || slices.Contains(started, StartedAttempt{key, m.lastRun[key]})
			w.lost[key] = l
		}
	}
}

// replaced counts a crash for the tasks that were lost with an incarnation, and fails the
// jobs that have to be given up.
func (m *cellModel) replaced(worker string, started []StartedAttempt) {
	m.lose(worker, started, false)
	w := m.workers[worker]
	if w.draining || w.gone || w.takenDown {
		return
	}
	for key, l := range w.lost {
		j := m.jobs[key.Job]
		if j.state != Active || m.done[key] {
			continue
		}
		m.crashes[key]++
		if l.Started {
			m.confirmed[key]++
		}
		if m.crashes[key] == 5 || m.confirmed[key] >= 2 && m.crashes[key] >= 3 {
			j.state = Failed
		}
	}
}

// possibleCrashes returns the proven crashes of a task and those that may turn out to be
// crashes.
func (m *cellModel) possibleCrashes(key TaskKey) int {
	n := m.crashes[key]
	for _, w := range m.workers {
		if _, lost := w.lost[key]; lost {
			n++
		}
	}
	return n
}

// answer shows that an incarnation, or an earlier one, has not crashed.
func (m *cellModel) answer(t *rapid.T) {
	name := m.workerName(rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))
	w := m.workers[name]
	late := int64(rapid.IntRange(0, 2).Draw(t, "earlier incarnation") / 2)
	m.apply(t, &Command{RecordEnds: &RecordEnds{Worker: name, Born: w.born - late, Alive: true}})
	if late == 0 {
		w.lost = map[TaskKey]LostAttempt{}
	}
}

// takeDown announces the planned end of an incarnation.
func (m *cellModel) takeDown(t *rapid.T) {
	name := m.workerName(rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))
	m.apply(t, &Command{TakeDown: &TakeDown{Worker: name, Born: m.workers[name].born}})
	m.workers[name].takenDown = true
}

func modelAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func (m *cellModel) endAllAttempts(worker string) {
	for key, a := range m.inFlight {
		if a.worker == worker {
			delete(m.inFlight, key)
		}
	}
}

func (m *cellModel) submit(t *rapid.T) {
	id := fmt.Sprintf("%016x", rapid.IntRange(1, 3).Draw(t, "id"))
	team := rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
	queue, prefix := "q", "/q/"
	if rapid.Bool().Draw(t, "other queue") {
		queue, prefix = "other", "/o/"
	}
	var steps []Step
	for i := range rapid.IntRange(1, 2).Draw(t, "steps") {
		s := Step{
			Count: rapid.IntRange(1, 3).Draw(t, "count"), Size: structs.Resources{MilliCPU: rapid.Int64Range(1, 5).Draw(t, "cores") * 1000},
			Gang: rapid.Bool().Draw(t, "gang"), MaxPerWorker: rapid.IntRange(0, 1).Draw(t, "per worker"), Filler: rapid.IntRange(0, 4).Draw(t, "filler") == 0,
		}
		if rapid.IntRange(0, 3).Draw(t, "labelled") == 0 {
			s.Label = "a"
		}
		if i > 0 {
			s.DependsOn = []int{0}
		}
		steps = append(steps, s)
	}
	verdict := m.apply(t, &Command{Submit: &Submit{Request: Request{Host: "h", Path: prefix + id, Key: team}, Job: Submission{ID: id, Spec: "s", Steps: steps}}})
	if queue == "q" && !m.queueConfigured {
		assert.Equal(t, verdict, NoQueue)
		return
	}
	if j := m.jobs[id]; j != nil && (j.team != team || j.queue != queue) {
		assert.Equal(t, verdict, IDTaken)
		return
	}
	assert.Equal(t, verdict, Accepted)
	if m.jobs[id] == nil {
		m.jobs[id] = &modelJob{steps: steps, team: team, queue: queue}
		m.ids = append(m.ids, id)
	}
}

func (m *cellModel) cancel(t *rapid.T) {
	if len(m.ids) == 0 {
		return
	}
	id := rapid.SampledFrom(m.ids).Draw(t, "job")
	j := m.jobs[id]
	prefix := map[string]string{"q": "/q/", "other": "/o/"}[j.queue]
	verdict := m.apply(t, &Command{Cancel: &Request{Host: "h", Path: prefix + id, Key: j.team}})
	if verdict == Accepted && j.state == Active {
		j.state = Cancelled
	}
}

// start proposes random placements for tasks of one step; the state must refuse those
// that would violate an invariant.
func (m *cellModel) start(t *rapid.T) {
	if len(m.ids) == 0 {
		return
	}
	id := rapid.SampledFrom(m.ids).Draw(t, "job")
	j := m.jobs[id]
	key := StepKey{Job: id, Step: rapid.IntRange(0, len(j.steps)-1).Draw(t, "step")}
	count := j.steps[key.Step].Count
	run := uint32(rapid.IntRange(1, 2).Draw(t, "ahead"))
	for i := range count {
		run = max(run, m.lastRun[TaskKey{key, i}]+uint32(rapid.IntRange(0, 1).Draw(t, "above")))
	}
	var placements []Placement
	for i := range count {
		if !j.steps[key.Step].Gang && rapid.Bool().Draw(t, "left out") {
			continue
		}
		w := rapid.IntRange(0, modelWorkers-1).Draw(t, "worker")
		born := m.workers[m.workerName(w)].born - int64(rapid.IntRange(0, 9).Draw(t, "older incarnation")/9)
		placements = append(placements, Placement{Task: TaskKey{key, i}, Run: run, Worker: m.workerName(w), Born: born})
	}
	if len(placements) == 0 {
		return
	}
	accepted := m.apply(t, &Command{Start: &Start{Placements: placements}}).([]bool)
	if j.steps[key.Step].Gang && slices.Contains(accepted, true) {
		assert.Assert(t, !slices.Contains(accepted, false), "a gang started in part: %v", accepted)
		assert.Equal(t, len(accepted), count)
		assert.Equal(t, m.inFlightOf(key), 0, "two runs of a gang are in flight")
	}
	for i, ok := range accepted {
		if ok {
			m.started(t, j, &placements[i])
		}
	}
}

func (m *cellModel) inFlightOf(key StepKey) int {
	n := 0
	for k := range m.inFlight {
		if k.StepKey == key {
			n++
		}
	}
	return n
}

// started checks the invariants for a start that the state accepted.
func (m *cellModel) started(t *rapid.T, j *modelJob, p *Placement) {
	step, w := &j.steps[p.Task.Step], m.workers[p.Worker]
	assert.Equal(t, j.state, Active, "start of a job that has ended")
	assert.Assert(t, w.born == p.Born && !w.gone && !w.draining, "start on an incarnation that is gone or draining")
	assert.Assert(t, j.queue == "other" || m.queueConfigured, "start of a queue that is not configured")
	assert.Assert(t, step.Label == "" || step.Label == w.label, "start on a worker without the label")
	_, running := m.inFlight[p.Task]
	assert.Assert(t, !running && !m.done[p.Task], "second attempt of %v", p.Task)
	assert.Assert(t, p.Run > m.lastRun[p.Task], "run %d after run %d", p.Run, m.lastRun[p.Task])
	assert.Assert(t, m.crashes[p.Task] < 5 && m.confirmed[p.Task] < 3, "start after too many crashes")
	assert.Assert(t, m.failures[p.Task] < modelMaxFailures && len(m.failedGangRuns[p.Task.StepKey]) < modelMaxFailures, "start beyond the maximum number of failures")
	for _, dependency := range step.DependsOn {
		for i := range j.steps[dependency].Count {
			assert.Assert(t, m.done[TaskKey{StepKey{Job: p.Task.Job, Step: dependency}, i}], "start before step %d is done", dependency)
		}
	}
	m.inFlight[p.Task] = modelAttempt{worker: p.Worker, run: p.Run, claim: step.Claim(), size: step.Size, team: j.team}
	m.lastRun[p.Task] = p.Run
	assert.Assert(t, step.MaxPerWorker == 0 || m.countOnWorker(p.Worker, p.Task.StepKey) <= step.MaxPerWorker, "too many tasks of a step on a worker")
	assert.Assert(t, m.milliCPU(func(a modelAttempt) bool { return a.worker == p.Worker }, false) <= modelMilliCPU, "worker over its capacity")
	limit := map[string]int64{"red": m.limit, "blue": 16_000}[j.team]
	assert.Assert(t, m.milliCPU(func(a modelAttempt) bool { return a.team == j.team }, true) <= limit, "team over its limit")
}

func (m *cellModel) countOnWorker(worker string, key StepKey) int {
	n := 0
	for k, a := range m.inFlight {
		if k.StepKey == key && a.worker == worker {
			n++
		}
	}
	return n
}

// milliCPU returns the CPU of the matching attempts in flight: their full sizes, or the
// part that they occupy of a worker's capacity.
func (m *cellModel) milliCPU(matches func(modelAttempt) bool, fullSize bool) int64 {
	var sum structs.Resources
	for _, a := range m.inFlight {
		switch {
		case matches(a) && fullSize:
			sum = sum.Add(a.size)
		case matches(a):
			sum = sum.Add(a.claim)
		}
	}
	return sum.MilliCPU
}

// recordEnd reports the end of an attempt in flight, or of one that has ended already.
func (m *cellModel) recordEnd(t *rapid.T) {
	var keys []TaskKey
	for k := range m.inFlight {
		keys = append(keys, k)
	}
	if len(keys) == 0 || rapid.IntRange(0, 4).Draw(t, "any task") == 0 {
		for k := range m.lastRun {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.SortFunc(keys, func(a, b TaskKey) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	key := rapid.SampledFrom(keys).Draw(t, "task")
	run := uint32(max(1, int(m.lastRun[key])-rapid.IntRange(0, 4).Draw(t, "earlier run")/4))
	worker := m.workerName(rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))
	if a, inFlight := m.inFlight[key]; inFlight && rapid.IntRange(0, 3).Draw(t, "right worker") > 0 {
		worker = a.worker
	}
	born := m.workers[worker].born - int64(rapid.IntRange(0, 9).Draw(t, "older incarnation")/9)
	outcome := rapid.SampledFrom([]Outcome{EndedDone, EndedFailed, EndedFailed, EndedEarly, EndedUnstarted}).Draw(t, "outcome")
	m.apply(t, &Command{RecordEnds: &RecordEnds{Worker: worker, Born: born, Ends: []AttemptEnd{{Task: key, Run: run, Outcome: outcome}}}})
	a, inFlight := m.inFlight[key]
	if !inFlight || a.run != run || a.worker != worker || m.workers[worker].born != born {
		return
	}
	delete(m.inFlight, key)
	m.attemptEnded(key, run, outcome)
}

func (m *cellModel) attemptEnded(key TaskKey, run uint32, outcome Outcome) {
	j := m.jobs[key.Job]
	if j.state != Active {
		return
	}
	step := &j.steps[key.Step]
	switch {
	case outcome == EndedDone && step.Gang:
		for i := range step.Count {
			m.done[TaskKey{key.StepKey, i}] = true
		}
	case outcome == EndedDone:
		m.done[key] = true
	case outcome == EndedFailed && step.Gang:
		if m.failedGangRuns[key.StepKey] == nil {
			m.failedGangRuns[key.StepKey] = map[uint32]bool{}
		}
		m.failedGangRuns[key.StepKey][run] = true
		if len(m.failedGangRuns[key.StepKey]) >= modelMaxFailures {
			j.state = Failed
		}
	case outcome == EndedFailed:
		m.failures[key]++
		if m.failures[key] >= modelMaxFailures {
			j.state = Failed
		}
	}
	for i, s := range j.steps {
		for k := range s.Count {
			if !m.done[TaskKey{StepKey{Job: key.Job, Step: i}, k}] {
				return
			}
		}
	}
	j.state = Complete
}

// check compares the state of the store with the model.
func (m *cellModel) check(t *rapid.T) {
	m.store.View(func(v *View) {
		for id, j := range m.jobs {
			assert.Equal(t, v.Job(id).State, j.state, "job %s", id)
			m.checkTasks(t, v, id)
		}
		for id, w := range v.Workers() {
			free := int64(modelMilliCPU) - m.milliCPU(func(a modelAttempt) bool { return a.worker == id }, false)
			assert.Equal(t, w.Free().MilliCPU, free, "worker %s", id)
			suspects := 0
			for _, a := range w.Attempts {
				if a.Suspect() {
					suspects++
				}
			}
			assert.Equal(t, w.suspects, suspects, "suspects on %s", id)
		}
		for team, limit := range map[string]int64{"red": m.limit, "blue": 16_000} {
			headroom := limit - m.milliCPU(func(a modelAttempt) bool { return a.team == team }, true)
			assert.Equal(t, v.Headroom(team).MilliCPU, headroom, "team %s", team)
		}
		m.checkReady(t, v)
	})
}

// checkTasks compares the tasks of an active job.
func (m *cellModel) checkTasks(t *rapid.T, v *View, id string) {
	for k, steps := range v.Job(id).Occurrences {
		for i := range steps {
			for n := range steps[i].Tasks {
				key := TaskKey{StepKey{id, k, i}, n}
				_, inFlight := m.inFlight[key]
				assert.Equal(t, steps[i].Tasks[n].InFlight, inFlight, "attempt of %v", key)
				assert.Equal(t, steps[i].Tasks[n].Done, m.done[key], "end of %v", key)
				assert.Equal(t, int(steps[i].Tasks[n].Crashes), m.crashes[key], "crashes of %v", key)
				assert.Equal(t, int(steps[i].Tasks[n].ConfirmedCrashes), m.confirmed[key], "confirmed crashes of %v", key)
				assert.Equal(t, steps[i].Tasks[n].PossibleCrashes(), m.possibleCrashes(key), "possible crashes of %v", key)
			}
		}
	}
}

// checkReady checks that the ready steps are exactly those with startable tasks: a step
// that is missing there would never be started.
func (m *cellModel) checkReady(t *rapid.T, v *View) {
	for id, j := range m.jobs {
		for i := range j.steps {
			key := StepKey{Job: id, Step: i}
			_, ready := v.Ready()[key]
			assert.Equal(t, ready, m.ready(j, key), "step %v", key)
		}
	}
}

func (m *cellModel) ready(j *modelJob, key StepKey) bool {
	step := &j.steps[key.Step]
	if j.state != Active {
		return false
	}
	for _, dependency := range step.DependsOn {
		for i := range j.steps[dependency].Count {
			if !m.done[TaskKey{StepKey{Job: key.Job, Step: dependency}, i}] {
				return false
			}
		}
	}
	inFlight := m.inFlightOf(key)
	for i := range step.Count {
		task := TaskKey{key, i}
		_, running := m.inFlight[task]
		if !m.done[task] && !running && (!step.Gang || inFlight == 0) {
			return true
		}
	}
	return false
}

// restore replaces the store by one restored from its snapshot.
func (m *cellModel) restore(t *rapid.T) {
	data, err := m.store.Snapshot()
	assert.NilError(t, err)
	m.store = NewStore(nil)
	assert.NilError(t, m.store.Restore(m.index, data))
}

// Guards against any sequence of commands that exceeds the capacity of a worker or the
// limit of a team, runs a task twice, before its dependencies or beyond the maximum
// number of failures or crashes, starts a gang in part, hides a startable task from the
// planner, or counts as a crash what was not one.
func TestCellModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCellModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"start":   m.start,
			"start 2": m.start,
			"start 3": m.start,
			"note":    m.recordEnd,
			"note 2":  m.recordEnd,
			"cancel": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "confirm cancel") == 0 {
					m.cancel(t)
				}
			},
			"lapse": func(t *rapid.T) {
				id := m.workerName(rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))
				m.lapse(t, id)
			},
			"replace": m.replace,
			"answer":  m.answer,
			"take down": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "confirm take down") == 0 {
					m.takeDown(t)
				}
			},
			"register": func(t *rapid.T) {
				i := rapid.IntRange(0, modelWorkers-1).Draw(t, "worker")
				born := m.workers[m.workerName(i)].born + int64(rapid.IntRange(-1, 1).Draw(t, "incarnation"))
				m.register(t, i, born, rapid.IntRange(0, 5).Draw(t, "draining") == 0, rapid.IntRange(0, 9).Draw(t, "deregistered") == 0)
			},
			"configure": func(t *rapid.T) {
				m.configure(t, rapid.Int64Range(4, 16).Draw(t, "limit")*1000, rapid.IntRange(0, 4).Draw(t, "queue") > 0)
			},
			"adopt format": func(t *rapid.T) {
				m.apply(t, &Command{AdoptFormat: &AdoptFormat{Format: NewestFormat}})
			},
			"restore": m.restore,
			"":        m.check,
		})
	})
}
