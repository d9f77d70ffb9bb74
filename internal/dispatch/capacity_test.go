package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/structs"
)

// shrinkGrace is how long a worker may get starts as if it had not shrunk: the time in which
// a cut connection is noticed, and one report.
const shrinkGrace = 3*time.Second + reportInterval

// capacityModel follows the capacity of each worker and what runs there. It is
// independent of the replicated state.
type capacityModel struct {
	b      *testCell
	random *rand.Rand
	// path is the queue of the jobs.
	path string
	// sizes holds the cores of a task by job.
	sizes map[string]int64
	// history holds the capacities of each worker, in cores, with the times from which they
	// have been in force. The fields are guarded by the fleet's mutex.
	history  map[string][]capacityChange
	sequence map[string]uint64
	excess   []string
	starts   int
}

type capacityChange struct {
	at    time.Time
	cores int64
}

func newCapacityModel(b *testCell, seed uint64) *capacityModel {
	m := &capacityModel{b: b, random: rand.New(rand.NewPCG(seed, 1)), path: queuePath, sizes: map[string]int64{}, history: map[string][]capacityChange{}, sequence: map[string]uint64{}}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.started = m.started
	for id := range b.fleet.workers {
		m.history[id] = []capacityChange{{time.Now(), 4}}
		m.sequence[id] = 1
	}
	return m
}

// started checks a start: the attempts on the worker, including those that are being
// stopped, must fit into a capacity that it has had within shrinkGrace.
func (m *capacityModel) started(id string, w *fakeWorker) {
	m.starts++
	var used, allowed int64
	for k := range w.running {
		used += m.sizes[k.task.Job]
	}
	history := m.history[id]
	for i, change := range history {
		if i == len(history)-1 || time.Since(history[i+1].at) < shrinkGrace {
			allowed = max(allowed, change.cores)
		}
	}
	if used > allowed {
		m.excess = append(m.excess, fmt.Sprintf("%v: %d cores on %s, which has had at most %d", time.Since(m.b.fleet.began), used, id, allowed))
	}
}

// resize changes the capacity of a worker.
func (m *capacityModel) resize(id string, cores int64) {
	m.b.fleet.mu.Lock()
	defer m.b.fleet.mu.Unlock()
	m.history[id] = append(m.history[id], capacityChange{time.Now(), cores})
}

// report sends a report of a worker that arrives after a delay.
func (m *capacityModel) report(id string, delay time.Duration) {
	b := m.b
	b.fleet.mu.Lock()
	w, history := b.fleet.workers[id], m.history[id]
	m.sequence[id]++
	c := firstReport(id, w.born, int(id[1]-'0'))
	c.Report.Capacity.MilliCPU = history[len(history)-1].cores * 1000
	c.Report.Sequence, c.Report.ClockMS = m.sequence[id], w.clock()
	b.fleet.mu.Unlock()
	time.AfterFunc(delay, func() { b.leader.Do(context.Background(), c) })
}

func (m *capacityModel) submit(id string, count int, cores int64) {
	m.b.fleet.mu.Lock()
	m.sizes[id] = cores
	m.b.fleet.mu.Unlock()
	r := cell.Request{Host: "h", Path: m.path + id}
	step := cell.Step{Count: count, Size: structs.Resources{MilliCPU: cores * 1000}, EstimateMS: 1000}
	m.b.leader.Do(context.Background(), &cellapi.Call{Submit: &cell.Submit{Request: r, Job: cell.Submission{Spec: "s", Steps: []cell.Step{step}}}})
}

func (m *capacityModel) check(t *testing.T) {
	t.Helper()
	m.b.fleet.mu.Lock()
	defer m.b.fleet.mu.Unlock()
	assert.Equal(t, len(m.excess), 0, "%v", m.excess)
}

// elect ends the term, and starts another one after a time without a leader.
func (b *testCell) elect(term uint64, leaderless time.Duration) {
	b.log.setTerm(0)
	time.Sleep(leaderless)
	b.log.setTerm(term)
}

// Guards against starts on a worker that has shrunk while there was no leader: the state
// still has its old capacity when the next one begins.
func TestNewLeaderWaitsForCapacityOfWorkers(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		m := newCapacityModel(b, 0)
		m.report("w0", 0)
		time.Sleep(100 * time.Millisecond)
		m.submit(jobID1, 1, 2)
		time.Sleep(100 * time.Millisecond)
		m.submit(jobID2, 1, 3)
		b.log.setTerm(0)
		time.Sleep(200 * time.Millisecond)
		m.resize("w0", 1)
		b.elect(2, 6*time.Second)
		time.Sleep(time.Second)
		m.check(t)
		m.report("w0", 0)
		time.Sleep(time.Second)
		m.resize("w0", 4)
		m.report("w0", 0)
		time.Sleep(time.Second)
		m.check(t)
		assert.Equal(t, b.startCount(jobID2, 0), 1)
	})
}

// Guards against a leader that starts nothing until its workers have reported, although the
// earlier leader had their reports a moment ago.
func TestNewLeaderUsesRecentReportsOfEarlierLeader(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		m := newCapacityModel(b, 0)
		m.report("w0", 0)
		time.Sleep(time.Second)
		b.log.follow(3 * time.Second)
		time.Sleep(3*time.Second + maxLeaderSilence)
		b.log.setTerm(2)
		time.Sleep(100 * time.Millisecond)
		m.submit(jobID1, 1, 2)
		time.Sleep(time.Second)
		m.check(t)
		assert.Equal(t, b.startCount(jobID1, 0), 1)
	})
}

// Guards against starts on a worker whose reports do not arrive although it answers.
func TestWorkerWithoutReportsGetsNoStarts(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		m := newCapacityModel(b, 0)
		m.report("w0", 0)
		time.Sleep(100 * time.Millisecond)
		m.resize("w0", 1)
		for i := range 10 {
			m.submit(fmt.Sprintf("%016x", i+1), 1, 2)
			time.Sleep(900 * time.Millisecond)
		}
		m.check(t)
		assert.Assert(t, m.starts > 0)
	})
}

// Guards against starts beyond the capacity of a worker, for reports that are lost, late or
// in another order, stops that take time, changes of the leader and restarts.
func TestStartsKeepToCapacityThatVaries(t *testing.T) {
	for seed := range uint64(12) {
		runCell(t, 3, func(b *testCell) {
			m := newCapacityModel(b, seed)
			if seed%2 == 1 {
				m.path = shortObjectivePath
			}
			chance := func(percent int) bool { return m.random.IntN(100) < percent }
			between := func(from, to time.Duration) time.Duration {
				return from + time.Duration(m.random.Int64N(int64(to-from)))
			}
			ids := []string{"w0", "w1", "w2"}
			next := map[string]time.Duration{}
			for _, id := range ids {
				b.fleet.change(id, func(w *fakeWorker) {
					w.stopDuration = between(0, 200*time.Millisecond)
					w.taskDuration = between(300*time.Millisecond, 3*time.Second)
				})
				next[id] = between(0, reportInterval)
			}
			term, jobs, leadsAt := uint64(1), 0, time.Duration(0)
			for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
				for _, id := range ids {
					if chance(1) {
						m.resize(id, m.random.Int64N(5))
					}
					if now < next[id] {
						continue
					}
					next[id] = now + reportInterval
					switch {
					case chance(10): // lost
					case chance(20):
						m.report(id, between(0, 3*time.Second))
					default:
						m.report(id, between(0, 20*time.Millisecond))
					}
				}
				if chance(20) {
					jobs++
					m.submit(fmt.Sprintf("%016x", jobs), 1+m.random.IntN(3), 1+m.random.Int64N(3))
				}
				if chance(10) && jobs > 0 {
					r := cell.Request{Host: "h", Path: fmt.Sprintf("%s%016x", m.path, 1+m.random.IntN(jobs))}
					b.leader.Do(context.Background(), &cellapi.Call{Cancel: &r})
				}
				if leadsAt == 0 && chance(1) {
					b.log.setTerm(0)
					leadsAt = now + between(100*time.Millisecond, 8*time.Second)
				}
				if leadsAt != 0 && now >= leadsAt {
					if chance(50) {
						data, err := b.store.Snapshot()
						assert.NilError(t, err)
						assert.NilError(t, b.store.Restore(0, data))
					}
					term++
					leadsAt = 0
					b.log.setTerm(term)
				}
				time.Sleep(50 * time.Millisecond)
			}
			m.check(t)
			assert.Assert(t, m.starts > 20, "seed %d: %d starts", seed, m.starts)
		})
	}
}

// Guards against starts after the late commit of a report that newer reports, which agreed
// with the record at their time, have overtaken.
func TestLateCommitOfReportDoesNotRestoreCapacity(t *testing.T) {
	log := &slowLog{entryTime: time.Millisecond}
	runCellWith(t, 1, func(c *Config) {
		log.fakeLog = c.Log.(*fakeLog)
		c.Log = log
	}, func(b *testCell) {
		m := newCapacityModel(b, 0)
		m.resize("w0", 1)
		m.report("w0", 0)
		time.Sleep(100 * time.Millisecond)
		m.submit(jobID1, 1, 3)
		m.resize("w0", 4)
		log.pause(8 * time.Second)
		m.report("w0", 0)
		time.Sleep(100 * time.Millisecond)
		m.resize("w0", 1)
		for range 6 {
			m.report("w0", 0)
			time.Sleep(reportInterval)
		}
		m.check(t)
		m.resize("w0", 4)
		m.report("w0", 0)
		time.Sleep(time.Second)
		m.check(t)
		assert.Equal(t, b.startCount(jobID1, 0), 1)
	})
}
