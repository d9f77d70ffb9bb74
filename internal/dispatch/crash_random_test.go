package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/structs"
)

// crashModel counts the crashes under each task, and its starts after three of them,
// independently of the state.
type crashModel struct {
	crashes, lateStarts map[cell.TaskKey]int
	// unlisted counts the crashes of workers on which an attempt had ended whose end was not
	// acknowledged: a leader may not know that it had.
	unlisted map[cell.TaskKey]int
}

func (m *crashModel) crashed(w *fakeWorker) {
	for k := range w.running {
		m.crashes[k.task]++
	}
	for _, e := range w.ends {
		m.unlisted[e.Task]++
	}
}

// mayFail reports whether a job may be given up: two workers have crashed under a task.
func (m *crashModel) mayFail(job string) bool {
	for key, n := range m.crashes {
		if key.Job == job && n+m.unlisted[key] >= 2 {
			return true
		}
	}
	return false
}

// Guards against a task that is started three times more after three workers have crashed
// under it, and against jobs that are given up without two crashes, for workers that return
// under the same or another id, early or late, workers that are cut off, changes of the
// leader and restarts. A worker takes orders before it has registered.
func TestCrashesAreCountedThroughDisruptions(t *testing.T) {
	for seed := range uint64(16) {
		runCell(t, 6, func(b *testCell) {
			// Callbacks of the fleet, which hold its mutex, have a source of their own.
			random, fleetRandom := rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
			chance := func(percent int) bool { return random.IntN(100) < percent }
			between := func(random *rand.Rand, from, to time.Duration) time.Duration {
				return from + time.Duration(random.Int64N(int64(to-from)))
			}
			m := &crashModel{crashes: map[cell.TaskKey]int{}, lateStarts: map[cell.TaskKey]int{}, unlisted: map[cell.TaskKey]int{}}
			deadly := map[string]bool{}
			b.fleet.crashes = func(task cell.TaskKey) bool {
				if m.crashes[task] >= 3 {
					m.lateStarts[task]++
				}
				b.fleet.crashDelay = []time.Duration{0, 10 * time.Millisecond, between(fleetRandom, 0, 3*time.Second)}[fleetRandom.IntN(3)]
				return deadly[task.Job]
			}
			b.fleet.crashed = m.crashed
			generation := 0
			b.fleet.onCrash = func(id string) {
				number, successor := int(id[1]-'0'), id
				if fleetRandom.IntN(2) == 0 {
					generation++
					successor = fmt.Sprintf("%.2s-%d", id, generation)
				}
				registration := between(fleetRandom, 0, 400*time.Millisecond)
				time.AfterFunc(between(fleetRandom, 2*time.Second, 9*time.Second), func() {
					born := time.Now().UnixMilli()
					b.fleet.mu.Lock()
					b.fleet.workers[successor] = newFakeWorker(born, b.fleet.workers[id])
					b.fleet.mu.Unlock()
					time.Sleep(registration)
					for range 60 {
						if r := b.leader.Do(context.Background(), firstReport(successor, born, number)); r.Verdict == cell.Accepted {
							return
						}
						time.Sleep(200 * time.Millisecond)
					}
				})
			}
			for i := range 6 {
				b.fleet.change(fmt.Sprintf("w%d", i), func(w *fakeWorker) { w.taskDuration = between(random, 300*time.Millisecond, 4*time.Second) })
			}
			term, leadsAt, jobs := uint64(1), time.Duration(0), []string{}
			for now := time.Duration(0); now < 3*time.Minute; now += 100 * time.Millisecond {
				if chance(8) && now < 90*time.Second && leadsAt == 0 {
					id := fmt.Sprintf("%016x", len(jobs)+1)
					b.fleet.mu.Lock()
					deadly[id] = chance(20)
					b.fleet.mu.Unlock()
					jobs = append(jobs, id)
					path := queuePath
					if chance(50) {
						path = shortObjectivePath
					}
					b.submitTo(path, id, cell.Step{Count: 1 + random.IntN(2), Size: structs.Resources{MilliCPU: 1000 * (1 + random.Int64N(2))}, EstimateMS: 1000, Gang: chance(20)})
				}
				if chance(2) && now < 90*time.Second {
					id := fmt.Sprintf("w%d", random.IntN(6))
					b.fleet.mu.Lock()
					w := b.fleet.workers[id]
					switch {
					case w == nil || w.unreachable:
					case chance(50):
						b.fleet.crash(id, w)
					default:
						w.unreachable = true
						time.AfterFunc(between(random, time.Second, 12*time.Second), func() {
							b.fleet.mu.Lock()
							defer b.fleet.mu.Unlock()
							w.unreachable = w.crashed
						})
					}
					b.fleet.mu.Unlock()
				}
				if leadsAt == 0 && chance(1) && now < 90*time.Second {
					b.log.setTerm(0)
					leadsAt = now + between(random, 100*time.Millisecond, 8*time.Second)
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
				b.reportAll()
				time.Sleep(100 * time.Millisecond)
			}
			b.fleet.mu.Lock()
			defer b.fleet.mu.Unlock()
			for task, n := range m.lateStarts {
				assert.Assert(t, n < 3, "seed %d: %d starts of %v after three crashes", seed, n, task)
			}
			b.store.View(func(v *cell.View) {
				for _, id := range jobs {
					state := v.Job(id).State
					switch {
					case deadly[id]: // it may be complete before its worker crashes
						assert.Assert(t, state != cell.Active, "seed %d: job %s", seed, id)
					case state == cell.Failed:
						assert.Assert(t, m.mayFail(id), "seed %d: job %s was given up", seed, id)
					default:
						assert.Equal(t, state, cell.Complete, "seed %d: job %s", seed, id)
					}
				}
			})
		})
	}
}
