package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/reservation"
	"laburnumgrade/internal/structs"
)

// newMoveCandidate returns tasks of a step that run on an evacuated worker for a minute longer.
func (p *planner) newMoveCandidate(job string, step cell.Step, indices ...int) *moveCandidate {
	rs := p.newReadyStep(job, 1, step)
	rs.queue.Advice = nil
	rs.duration, rs.remaining, rs.deadline = time.Minute, time.Minute, time.Hour
	c := &moveCandidate{step: rs, rest: time.Minute, factor: 1}
	for _, i := range indices {
		rs.occurrence.Tasks[i].Run, rs.occurrence.Tasks[i].InFlight = 1, true
		c.tasks = append(c.tasks, runningTask{index: i, run: 1, worker: "gone", born: 1, evacuated: true})
	}
	return c
}

func countMoved(chosen []*moveCandidate) int {
	n := 0
	for _, c := range chosen {
		n += len(c.tasks)
	}
	return n
}

func noneUnavailable(cell.TaskKey) int { return 0 }

// Guards against moves that cost more than they save, and against long or late work that stays
// in an evacuated data centre.
func TestMoveDependsOnRestOfRunTime(t *testing.T) {
	for name, c := range map[string]struct {
		rest, deadline time.Duration
		factor         float64
		want           bool
	}{
		"long":                               {5 * time.Second, time.Hour, 1, true},
		"short":                              {3 * time.Second, time.Hour, 1, false},
		"long on a slow worker":              {2 * time.Second, time.Hour, 2.5, true},
		"late here, earlier elsewhere":       {time.Second, 12 * time.Second, 3, true},
		"in time here although it is slow":   {time.Second, 14 * time.Second, 3, false},
		"late here, later still if it moves": {time.Second, 10 * time.Second, 2, false},
		"without an end":                     {reservation.Forever, time.Hour, 1, true},
	} {
		p := newPlanner(1, nil)
		m := p.newMoveCandidate("j", cell.Step{Count: 1, Checkpointable: true}, 0)
		m.rest, m.factor, m.step.deadline = c.rest, c.factor, c.deadline
		m.step.duration, m.step.remaining = time.Second, time.Second
		assert.Equal(t, len(p.planMoves([]*moveCandidate{m}, nil, nil, noneUnavailable)) == 1, c.want, name)
	}
}

// Guards against running work that is stopped although it has no place elsewhere: the capacity
// is used, of another kind, cold, reserved, awaited by others, or hardly allowed.
func TestRunningWorkStaysWithoutCapacityElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *planner, m *moveCandidate) (ready []*readyStep, moving map[cell.TaskKey]move)
		want   int
	}{
		"room": {func(*planner, *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) { return nil, nil }, 1},
		"full": {func(p *planner, _ *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			for _, w := range p.candidates {
				w.free.MilliCPU = 9000
			}
			return nil, nil
		}, 0},
		"label": {func(_ *planner, m *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			m.step.step.Label = "k"
			return nil, nil
		}, 0},
		"cold": {func(p *planner, _ *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			for _, w := range p.candidates {
				w.cold = true
			}
			return nil, nil
		}, 0},
		"withheld": {func(p *planner, _ *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			for _, w := range p.candidates {
				w.withheld = true
			}
			return nil, nil
		}, 0},
		"others wait for advice": {func(p *planner, _ *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			rs := p.newReadyStep("other", 1, cell.Step{Count: 12, Size: structs.Resources{MilliCPU: 10_000}})
			p.planSteps([]*readyStep{rs})
			assert.Equal(t, rs.waitsFor, waitsForAdvice)
			return []*readyStep{rs}, nil
		}, 0},
		"the team waits for its limit": {func(p *planner, _ *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			rs := p.newReadyStep("other", 1, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 1000}})
			p.counted = map[cell.StepKey]waitReason{rs.key: waitsForLimit}
			return []*readyStep{rs}, nil
		}, 0},
		"overdue while others wait for room": {func(p *planner, m *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			rs := p.newReadyStep("other", 1, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 80_000}})
			p.counted = map[cell.StepKey]waitReason{rs.key: waitsForRoom}
			m.step.overdue = true
			return []*readyStep{rs}, nil
		}, 0},
		"others on the move": {func(*planner, *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			return nil, map[cell.TaskKey]move{{Index: 1}: {service: service, claim: structs.Resources{MilliCPU: 119_000}}}
		}, 0},
		"too few workers to be sure that one is allowed": {func(_ *planner, m *moveCandidate) ([]*readyStep, map[cell.TaskKey]move) {
			m.step.queue.Advice = &cell.AdviceTerms{}
			return nil, nil
		}, 0},
	} {
		p := newPlanner(2, nil)
		m := p.newMoveCandidate("j", cell.Step{Count: 1, Checkpointable: true, Size: structs.Resources{MilliCPU: 10_000}}, 0)
		ready, moving := c.change(p, m)
		assert.Equal(t, countMoved(p.planMoves([]*moveCandidate{m}, ready, moving, noneUnavailable)), c.want, name)
	}
}

// Guards against more moves at a time than are allowed, by the bound for all, by the capacity
// elsewhere, and by the step.
func TestMovesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		moving, maxUnavailable, unavailable int
		cores                               int64
		daemon                              bool
		want                                int
	}{
		"bound":                        {0, 0, 0, 1, false, maxMoves},
		"bound with earlier moves":     {maxMoves - 3, 0, 0, 1, false, 3},
		"nothing more":                 {maxMoves, 0, 0, 1, false, 0},
		"capacity":                     {0, 0, 0, 30, false, 4},
		"step":                         {0, 5, 2, 1, false, 3},
		"step at its bound":            {0, 2, 2, 1, false, 0},
		"service":                      {0, 3, 1, 1, true, 2},
		"service without a bound":      {0, 0, 0, 1, true, 1},
		"service with one that's away": {0, 0, 1, 1, true, 0},
	} {
		p := newPlanner(2, nil)
		step := cell.Step{Count: 40, Checkpointable: true, Daemon: c.daemon, MaxUnavailable: c.maxUnavailable, Size: structs.Resources{MilliCPU: c.cores * 1000}}
		var list []*moveCandidate
		for i := range step.Count {
			list = append(list, p.newMoveCandidate("j", step, i))
		}
		moving := map[cell.TaskKey]move{}
		for i := range c.moving {
			moving[cell.TaskKey{Index: i}] = move{service: service}
		}
		chosen := p.planMoves(list, nil, moving, func(cell.TaskKey) int { return c.unavailable })
		assert.Equal(t, countMoved(chosen), c.want, name)
	}
}

// Guards against a part of a gang that moves, against a gang that exceeds the bound of its step
// or moves beside others beyond the bound for all, and against members outside of the evacuated
// data centre whose room is not counted.
func TestGangsMoveAsAWhole(t *testing.T) {
	all := func(n int) []int {
		var list []int
		for i := range n {
			list = append(list, i)
		}
		return list
	}
	for name, c := range map[string]struct {
		count, maxUnavailable, moving int
		cores, usedByMembers          int64
		want                          int
	}{
		"room for all":                       {4, 0, 0, 30, 0, 4},
		"room for most":                      {5, 0, 0, 25, 0, 0},
		"room for all with that of a member": {5, 0, 0, 25, 25, 5},
		"step allows fewer":                  {4, 3, 0, 10, 0, 0},
		"larger than the bound":              {maxMoves + 4, 0, 0, 1, 0, maxMoves + 4},
		"larger than the bound with others":  {maxMoves + 4, 0, 1, 1, 0, 0},
	} {
		p := newPlanner(2, nil)
		step := newGangStep(c.count, c.cores)
		step.Checkpointable, step.MaxUnavailable = true, c.maxUnavailable
		m := p.newMoveCandidate("j", step, all(c.count)...)
		if c.usedByMembers > 0 {
			p.candidates[0].free.MilliCPU -= c.usedByMembers * 1000
			p.candidates[0].free.MemoryBytes -= 1 << 30
			m.tasks[0].worker, m.tasks[0].evacuated = "w00", false
			p.full = map[taskKind]bool{}
			p.candidates[1].free.MilliCPU = 75_000
		}
		moving := map[cell.TaskKey]move{}
		for i := range c.moving {
			moving[cell.TaskKey{Index: i}] = move{service: service}
		}
		before := p.candidates[0].free
		chosen := p.planMoves([]*moveCandidate{m}, nil, moving, noneUnavailable)
		assert.Equal(t, countMoved(chosen), c.want, name)
		if c.want == 0 {
			assert.Equal(t, p.candidates[0].free, before, name)
		}
	}
}

// longStep returns a step whose tasks run for ten seconds and save their state.
func longStep(count int) cell.Step {
	step := taskStep(count, 1)
	step.EstimateMS, step.Checkpointable = 10_000, true
	return step
}

// runLongTasks starts a job on workers of data centre a, which is evacuated afterwards, while
// those of b were evacuated; their number is that of a. It waits until the term moves tasks.
func (b *testCell) runLongTasks(workers int, step cell.Step) {
	b.placeWorkers(2*workers, "a", "b")
	for i := range 2 * workers {
		b.fleet.change(fmt.Sprintf("w%d", i), func(w *fakeWorker) { w.taskDuration = time.Duration(step.EstimateMS) * time.Millisecond })
	}
	b.do(evacuation("b", true))
	b.submit(jobID1, step)
	b.reportFor(moveSettleTime)
	b.do(evacuation("b", false))
}

// reportFor sends the reports of the workers for some time.
func (b *testCell) reportFor(d time.Duration) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(50 * time.Millisecond) {
		b.reportAll()
	}
}

// runningIn returns how many tasks of the job run in the data centre of w0 and in that of w1.
func (b *testCell) runningIn(id string) (first, second int) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	for worker, w := range b.fleet.workers {
		for k := range w.running {
			switch {
			case k.task.Job != id:
			case (worker[len(worker)-1]-'0')%2 == 0:
				first++
			default:
				second++
			}
		}
	}
	return first, second
}

// Guards against work that saves its state and stays in an evacuated data centre, against other
// work that is stopped there, and against moves without an evacuation.
func TestRunningWorkMovesOutOfEvacuatedDataCentre(t *testing.T) {
	gang, daemon, unsaved := longStep(8), longStep(4), longStep(8)
	gang.Gang, unsaved.Checkpointable = true, false
	daemon.Daemon, daemon.MaxUnavailable = true, 1
	for name, c := range map[string]struct {
		step     cell.Step
		evacuate bool
		moved    int
	}{
		"tasks":                    {longStep(8), true, 8},
		"gang":                     {gang, true, 8},
		"daemon":                   {daemon, true, 4},
		"tasks without saved work": {unsaved, true, 0},
		"no evacuation":            {longStep(8), false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runCell(t, 0, func(b *testCell) {
				if c.step.Daemon {
					b.fleet.outcomeOf = func(attemptKey) cell.Outcome { return cell.EndedEarly }
				}
				b.runLongTasks(2, c.step)
				for i := range 4 {
					b.fleet.change(fmt.Sprintf("w%d", i), func(w *fakeWorker) { w.serving = c.step.Daemon })
				}
				b.do(evacuation("a", c.evacuate))
				b.reportFor(5 * time.Second)
				stayed, moved := b.runningIn(jobID1)
				assert.Equal(t, moved, c.moved)
				assert.Equal(t, stayed, c.step.Count-c.moved)
				if !c.step.Daemon {
					b.waitForState(jobID1, cell.Complete, 15*time.Second)
				}
			})
		})
	}
}

// Guards against moved tasks that pile up: with little room elsewhere only what fits is stopped,
// and nothing without room.
func TestRunningWorkStaysIfOthersAreFull(t *testing.T) {
	for _, room := range []int{0, 3} {
		runCell(t, 0, func(b *testCell) {
			b.runLongTasks(2, longStep(8))
			b.submit(jobID2, cell.Step{Count: 8 - room, Size: structs.Resources{MilliCPU: 1000}, EstimateMS: 10_000})
			b.reportFor(200 * time.Millisecond)
			b.do(evacuation("a", true))
			b.reportFor(4 * time.Second)
			stayed, moved := b.runningIn(jobID1)
			assert.Equal(t, moved, room)
			assert.Equal(t, stayed, 8-room)
			assert.Equal(t, b.startCount(jobID1, 0)+b.startCount(jobID1, 7) <= 4, true)
		})
	}
}

// lossyStops loses stop orders while lose is set: they are not carried out and not answered. It
// counts all, and each attempt once in distinct.
type lossyStops struct {
	Workers
	lose              atomic.Bool
	ordered, distinct atomic.Int64
	attempts          sync.Map
}

// Stop implements Workers.
func (w *lossyStops) Stop(ctx context.Context, t Target, o *StopOrder) (OrderReply, error) {
	w.ordered.Add(1)
	if _, again := w.attempts.LoadOrStore(attemptKey{o.Task, o.Run}, true); !again {
		w.distinct.Add(1)
	}
	if w.lose.Load() {
		<-ctx.Done()
		return OrderReply{}, errNoAnswer
	}
	return w.Workers.Stop(ctx, t, o)
}

// Guards against a task that starts elsewhere before its end is committed, because the stop order
// was lost or takes long, and against a stop order that is not repeated. The fleet fails the test
// if a task runs twice at the same time.
func TestLostOrLateStopOfMove(t *testing.T) {
	for name, late := range map[string]bool{"lost": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			var workers *lossyStops
			runCellWith(t, 0, func(c *Config) {
				workers = &lossyStops{Workers: c.Workers}
				c.Workers = workers
			}, func(b *testCell) {
				b.runLongTasks(1, longStep(4))
				if late {
					b.fleet.change("w0", func(w *fakeWorker) { w.stopDuration = 3 * time.Second })
				} else {
					workers.lose.Store(true)
				}
				b.do(evacuation("a", true))
				b.reportFor(2 * time.Second)
				stayed, moved := b.runningIn(jobID1)
				assert.Equal(t, stayed, 4)
				assert.Equal(t, moved, 0)
				assert.Assert(t, workers.ordered.Load() > 0)
				b.store.View(func(v *cell.View) { assert.Equal(t, len(v.Worker("w0").Attempts), 4) })
				workers.lose.Store(false)
				b.reportFor(4 * time.Second)
				stayed, moved = b.runningIn(jobID1)
				assert.Equal(t, stayed, 0)
				assert.Equal(t, moved, 4)
				b.waitForState(jobID1, cell.Complete, 15*time.Second)
			})
		})
	}
}

// Guards against tasks that are stopped after the end of the evacuation, and against stopped ones
// that do not start again.
func TestEvacuationStoppedDuringMove(t *testing.T) {
	var workers *lossyStops
	runCellWith(t, 0, func(c *Config) {
		workers = &lossyStops{Workers: c.Workers}
		c.Workers = workers
	}, func(b *testCell) {
		const running = 24 // more than move at a time
		b.runLongTasks(6, longStep(running))
		for i := range 12 {
			b.fleet.change(fmt.Sprintf("w%d", i), func(w *fakeWorker) { w.stopDuration = 500 * time.Millisecond })
		}
		b.do(evacuation("a", true))
		b.reportFor(300 * time.Millisecond)
		b.do(evacuation("a", false))
		stopped := workers.ordered.Load()
		assert.Assert(t, stopped > 0 && stopped <= maxMoves, "%d stops", stopped)
		b.reportFor(3 * time.Second)
		assert.Equal(t, workers.ordered.Load(), stopped)
		stayed, moved := b.runningIn(jobID1)
		assert.Equal(t, stayed+moved, running)
		assert.Assert(t, stayed >= running-int(stopped))
		assert.Equal(t, len(b.leader.currentTerm().currentMoves()), 0)
		b.waitForState(jobID1, cell.Complete, 15*time.Second)
	})
}

// Guards against moves that end with the leader that began them: the next one finds the
// evacuation in the state and goes on.
func TestNextLeaderContinuesMoves(t *testing.T) {
	var workers *lossyStops
	runCellWith(t, 0, func(c *Config) {
		workers = &lossyStops{Workers: c.Workers}
		c.Workers = workers
	}, func(b *testCell) {
		step := longStep(24)
		step.EstimateMS = 20_000 // the rest is long also after the change of the leader
		b.runLongTasks(6, step)
		workers.lose.Store(true)
		b.do(evacuation("a", true))
		b.reportFor(500 * time.Millisecond)
		assert.Assert(t, workers.ordered.Load() > 0)
		workers.lose.Store(false)
		b.changeLeader(2)
		b.reportFor(moveSettleTime + 6*time.Second)
		stayed, moved := b.runningIn(jobID1)
		assert.Equal(t, stayed, 0)
		assert.Equal(t, moved, 24)
		b.waitForState(jobID1, cell.Complete, 30*time.Second)
	})
}

// Guards against a task that moves as part of a wave of upkeep and of an evacuation at the same
// time, so that more tasks of its step are unavailable than it allows.
func TestMovedServingTasksCountAsUnavailable(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		step := longStep(4)
		step.Daemon, step.MaxUnavailable = true, 1
		for i := range 4 {
			b.fleet.add(fmt.Sprintf("w%d", i), 1).serving = true
		}
		b.fleet.outcomeOf = func(attemptKey) cell.Outcome { return cell.EndedEarly }
		for i := range 4 {
			report := firstReport(fmt.Sprintf("w%d", i), 1, i)
			report.Report.DataCentre = "a"
			b.do(report)
			b.fleet.change(fmt.Sprintf("w%d", i), func(w *fakeWorker) { w.taskDuration = time.Hour })
		}
		b.submit(jobID1, step)
		b.reportFor(3 * time.Second)
		term := b.leader.currentTerm()
		key := cell.TaskKey{StepKey: cell.StepKey{Job: jobID1}}
		assert.Equal(t, term.unavailableOthers(key), 0)
		other := key
		other.Index = 1
		term.mu.Lock()
		term.moving[other] = move{worker: "w0", born: 1, run: 1, orderedAt: b.leader.Clock.Now()}
		term.mu.Unlock()
		assert.Equal(t, term.unavailableOthers(key), 1)
		b.reportFor(time.Second)
		assert.Equal(t, term.unavailableOthers(key), 0, "a move that never began is forgotten")
	})
}

// Guards against a stop order that is decided on before the evacuation is stopped and sent
// afterwards, and against moves of a gang not all of whose tasks run.
func TestMoveIsCheckedAgainBeforeItsStopOrders(t *testing.T) {
	for _, evacuated := range []bool{true, false} {
		var workers *lossyStops
		runCellWith(t, 0, func(c *Config) {
			workers = &lossyStops{Workers: c.Workers}
			c.Workers = workers
		}, func(b *testCell) {
			b.placeWorkers(2, "a")
			for _, id := range []string{"w0", "w1"} {
				b.fleet.change(id, func(w *fakeWorker) { w.taskDuration = 10 * time.Second })
			}
			gang := longStep(3)
			gang.Gang = true
			b.submit(jobID1, gang)
			b.submit(jobID2, longStep(2))
			b.reportFor(1500 * time.Millisecond)
			term, now := b.leader.currentTerm(), b.leader.Clock.Now()
			assert.Assert(t, now < term.began+moveSettleTime, "the planner moves nothing yet")
			b.do(evacuation("a", true))
			candidates := term.moveCandidates(now)
			assert.Equal(t, countMoved(candidates), 5)
			member := cell.TaskKey{StepKey: cell.StepKey{Job: jobID1}, Index: 1}
			term.mu.Lock()
			term.moving[member] = move{run: 1, orderedAt: now}
			term.mu.Unlock()
			assert.Equal(t, countMoved(term.moveCandidates(now)), 2)
			term.mu.Lock()
			delete(term.moving, member)
			term.mu.Unlock()
			b.do(evacuation("a", evacuated))
			for _, c := range candidates {
				term.move(c, now)
			}
			time.Sleep(100 * time.Millisecond)
			want := 0
			if evacuated {
				want = 5
			}
			assert.Equal(t, int(workers.distinct.Load()), want) // stops of a broken gang are repeated
		})
	}
}

// Guards against an order of moves that leaves urgent or long work for last.
func TestUrgentAndLongWorkMovesFirst(t *testing.T) {
	p := newPlanner(1, nil)
	step := cell.Step{Count: 1, Checkpointable: true, Size: structs.Resources{MilliCPU: 60_000}}
	low, short, long := p.newMoveCandidate("low", step, 0), p.newMoveCandidate("short", step, 0), p.newMoveCandidate("long", step, 0)
	low.step.queue.Priority, short.rest = 2, 10*time.Second
	list := []*moveCandidate{low, short, long}
	chosen := p.planMoves(list, nil, nil, noneUnavailable)
	assert.Assert(t, len(chosen) == 1 && chosen[0] == long)
	assert.Assert(t, slices.Equal(list, []*moveCandidate{long, short, low}))
}
