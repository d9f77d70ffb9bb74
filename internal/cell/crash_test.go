package cell

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/internal/structs"
)

// startOne starts a task that is not in flight on any worker that has room.
func (m *cellModel) startOne(t *rapid.T) {
	key := TaskKey{StepKey{Job: rapid.SampledFrom(m.ids).Draw(t, "job")}, rapid.IntRange(0, 1).Draw(t, "task")}
	p := Placement{Task: key, Run: m.lastRun[key] + 1, Worker: m.workerName(rapid.IntRange(0, modelWorkers-1).Draw(t, "worker"))}
	p.Born = m.workers[p.Worker].born
	if m.apply(t, &Command{Start: &Start{Placements: []Placement{p}}}).([]bool)[0] {
		m.started(t, m.jobs[key.Job], &p)
	}
}

// rarely calls action in one of five cases.
func rarely(action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
			action(t)
		}
	}
}

// Guards against crashes that are counted twice, not at all, or although the worker has not
// crashed, for any order of registrations, expiries, late answers and restores; and against
// jobs that are given up too early or too late.
func TestCrashCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCellModel(t)
		for i := range 3 {
			id := fmt.Sprintf("%016x", i+1)
			step := Step{Count: 2, Size: structs.Resources{MilliCPU: 500}}
			assert.Equal(t, m.apply(t, &Command{Submit: &Submit{Request: Request{Host: "h", Path: "/q/" + id, Key: "red"}, Job: Submission{ID: id, Steps: []Step{step}}}}), Accepted)
			m.jobs[id] = &modelJob{steps: []Step{step}, team: "red", queue: "q"}
			m.ids = append(m.ids, id)
		}
		worker := func(t *rapid.T) int { return rapid.IntRange(0, modelWorkers-1).Draw(t, "worker") }
		t.Repeat(map[string]func(*rapid.T){
			"start":   m.startOne,
			"start 2": m.startOne,
			"start 3": m.startOne,
			"crash": func(t *rapid.T) {
				i := worker(t)
				m.register(t, i, m.workers[m.workerName(i)].born+1, rapid.IntRange(0, 9).Draw(t, "draining") == 0, false)
			},
			"drain": rarely(func(t *rapid.T) {
				i := worker(t)
				m.register(t, i, m.workers[m.workerName(i)].born, true, rapid.Bool().Draw(t, "deregistered"))
			}),
			"lapse": func(t *rapid.T) {
				m.lapse(t, m.workerName(worker(t)))
			},
			"confirm":   rarely(m.confirm),
			"settle":    rarely(m.settle),
			"replace":   rarely(m.replace),
			"answer":    rarely(m.answer),
			"take down": rarely(m.takeDown),
			"note":      rarely(m.recordEnd),
			"restore":   rarely(m.restore),
			"":          m.check,
		})
	})
}

// startConfirmed commits placements and returns them as attempts that have started.
func (b *storeBench) startConfirmed(placements ...Placement) []StartedAttempt {
	b.t.Helper()
	var started []StartedAttempt
	for i, ok := range b.start(placements...) {
		assert.Assert(b.t, ok)
		started = append(started, StartedAttempt{placements[i].Task, placements[i].Run})
	}
	return started
}

// crash registers the successor of a worker at its address. The crash must be reported.
func (b *storeBench) crash(worker, successor string, born int64, address string, started []StartedAttempt) {
	b.t.Helper()
	crashes := b.apply(&Command{Register: &Register{
		ID: successor, Born: born, Address: address, Service: "planner", Capacity: structs.Resources{MilliCPU: 8000}, Started: started,
	}}).([]*Crash)
	assert.Equal(b.t, len(crashes), 1)
	assert.Equal(b.t, crashes[0].Worker, worker)
}

// Guards against a job that is given up because its attempts were to start on workers that
// had crashed before, and against one that is not given up after five crashes.
func TestUnconfirmedAttemptsDoNotFailJob(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	for crash := range int64(5) {
		assert.Equal(t, b.state(firstID).State, Active, "after %d crashes", crash)
		p := placement(firstID, 0, 0, uint32(crash+1), "w0")
		p.Born = crash + 1
		started := b.startConfirmed(p)
		if crash > 0 {
			started = nil
		}
		if crash%2 == 0 {
			b.apply(&Command{ExpireLease: &ExpireLease{Worker: "w0", Born: crash + 1, Started: started}})
		}
		b.crash("w0", "w0", crash+2, "10.0.0.0:80", started)
	}
	assert.Equal(t, b.state(firstID).State, Failed)
}

// Guards against a job that is given up before three workers have crashed under a task of
// it, or goes on afterwards; the first worker comes back under another id.
func TestJobIsGivenUpAfterThreeCrashes(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	b.crash("w1", "other", 2, "10.0.0.1:80", b.startConfirmed(placement(firstID, 0, 0, 1, "w1")))
	for crash := range int64(2) {
		assert.Equal(t, b.state(firstID).State, Active)
		p := placement(firstID, 0, 0, uint32(crash+2), "w0")
		p.Born = crash + 1
		b.crash("w0", "w0", crash+2, "10.0.0.0:80", b.startConfirmed(p))
	}
	assert.Equal(t, b.state(firstID).State, Failed)
}

// Guards against a job that is given up since tasks of it ran beside one that crashes its
// workers, each of them once.
func TestCrashesOfDifferentTasksAreNotSummed(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	b.submit(secondID, Step{Count: 3, Size: structs.Resources{MilliCPU: 1000}})
	for crash := range 3 {
		assert.Equal(t, b.state(firstID).State, Active, "after %d crashes", crash)
		var started []StartedAttempt
		for _, p := range []Placement{placement(firstID, 0, 0, uint32(crash+1), "w0"), placement(secondID, 0, crash, 1, "w0")} {
			p.Born = int64(crash + 1)
			started = append(started, b.startConfirmed(p)...)
		}
		b.crash("w0", "w0", int64(crash+2), "10.0.0.0:80", started)
	}
	assert.Equal(t, b.state(firstID).State, Failed)
	assert.Equal(t, b.state(secondID).State, Active)
}

// Guards against a crash that is counted for an attempt that its worker never started.
func TestUnstartedAttemptIsNotCharged(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	for run := range uint32(3) {
		p := placement(firstID, 0, 0, run+1, "w0")
		p.Born = int64(run + 1)
		assert.DeepEqual(t, b.start(p), []bool{true})
		b.end("w0", p, EndedUnstarted)
		b.register("w0", int64(run+2), "10.0.0.0:80")
	}
	assert.Equal(t, b.state(firstID).State, Active)
}
