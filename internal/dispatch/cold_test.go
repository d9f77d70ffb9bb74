package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/reservation"
	"laburnumgrade/internal/structs"
)

// Guards against urgent work on workers that are slow after their start while others have
// room, and against work that waits although only such workers have room.
func TestUrgentWorkUsesColdWorkersLast(t *testing.T) {
	for count, want := range map[int][]string{2: {"w01", "w02"}, 3: {"w00", "w01", "w02"}} {
		p := newPlanner(3, nil)
		p.candidates[0].cold = true
		p.candidates[1].runTimeFactor, p.candidates[2].reservedFor = 6.5, cell.StepKey{Job: "gang"}
		rs := p.newReadyStep("a", 0, newGangStep(count, 60))
		rs.queue.Advice = nil
		p.planSteps([]*readyStep{rs})
		assert.DeepEqual(t, placedOn(p), want)
	}
}

// Guards against urgent work on cold workers although others will have room in time, and against
// work that waits although it would be late elsewhere, has slack, or finds no room elsewhere.
func TestUrgentWorkWaitsForOtherThanColdWorkers(t *testing.T) {
	const freeAfter = 2 * time.Second
	for name, c := range map[string]struct {
		change func(p *planner, rs *readyStep)
		want   []string
	}{
		"room soon":     {func(*planner, *readyStep) {}, nil},
		"room now":      {func(p *planner, _ *readyStep) { p.candidates[1].free = p.candidates[1].worker.Capacity }, []string{"w01"}},
		"room too late": {func(p *planner, rs *readyStep) { rs.deadline = p.now + freeAfter + time.Second }, []string{"w00"}},
		"late anyway":   {func(p *planner, rs *readyStep) { rs.deadline = p.now }, []string{"w00"}},
		"slack":         {func(_ *planner, rs *readyStep) { rs.queue.Priority = 1 }, []string{"w00"}},
		"no slack where it's slow": {func(p *planner, rs *readyStep) {
			rs.queue.Priority, p.coldFactor, rs.deadline = 1, 10, p.now+10*time.Second
		}, nil},
		"service":                {func(_ *planner, rs *readyStep) { rs.step.Daemon = true }, []string{"w00"}},
		"other worker":           {func(p *planner, _ *readyStep) { p.candidates[1].service = "other" }, []string{"w00"}},
		"not cold":               {func(p *planner, _ *readyStep) { p.candidates[0].cold = false }, []string{"w00"}},
		"gang with room in time": {func(_ *planner, rs *readyStep) { *rs.step = newGangStep(1, 60) }, nil},
	} {
		p := newPlanner(2, nil)
		p.candidates[0].cold = true
		p.candidates[1].free = structs.Resources{}
		p.releases = func(c *candidate) []reservation.Release {
			return []reservation.Release{{At: p.now + freeAfter, Amount: c.worker.Capacity.Sub(c.free)}}
		}
		rs := p.newReadyStep("a", 0, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 60_000}})
		rs.queue.Advice = nil
		c.change(p, rs)
		p.planSteps([]*readyStep{rs})
		assert.DeepEqual(t, placedOn(p), c.want)
		assert.Equal(t, len(placedOn(p)), len(c.want), name)
	}
}

// Guards against a burst of starts on a worker that is cold, in one plan and in successive ones,
// against a limit on other workers, and against gangs that find no room on cold workers.
func TestStartsOnColdWorkersAreLimited(t *testing.T) {
	for name, c := range map[string]struct {
		cold, gang bool
		earlier    int
		want       int
	}{
		"cold":                         {true, false, 0, maxColdStarts},
		"cold with earlier starts":     {true, false, maxColdStarts - 1, 1},
		"cold after a burst":           {true, false, maxColdStarts, 0},
		"warm":                         {false, false, maxColdStarts, 20},
		"gang":                         {true, true, 0, 20},
		"gang after a start":           {true, true, 1, 0},
		"gang on a worker that's warm": {false, true, 1, 20},
	} {
		p := newPlanner(1, nil)
		p.candidates[0].cold, p.candidates[0].coldStarts = c.cold, c.earlier
		step := cell.Step{Count: 20, Gang: c.gang, Size: structs.Resources{MilliCPU: 1000}}
		rs := p.newReadyStep("a", 1, step)
		rs.queue.Advice = nil
		p.planSteps([]*readyStep{rs})
		assert.Equal(t, len(p.placements), c.want, name)
		// Later steps of the plan see what it has placed.
		other := p.newReadyStep("b", 1, cell.Step{Count: 20, Size: structs.Resources{MilliCPU: 1000}})
		other.queue.Advice = nil
		p.planSteps([]*readyStep{other})
		if c.cold {
			assert.Assert(t, len(p.placements) <= max(c.want, maxColdStarts-c.earlier), name)
		}
	}
}

// Guards against a burst of starts in a data centre whose workers have become cold when its
// evacuation is stopped, and against work that does not return there.
func TestWorkReturnsGraduallyToColdWorkers(t *testing.T) {
	for _, cold := range []bool{true, false} {
		runCell(t, 0, func(b *testCell) {
			b.placeWorkers(1, "a")
			b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = time.Hour })
			b.do(evacuation("a", true))
			startsOn := b.countStarts()
			small := taskStep(30, 1)
			small.Size.MilliCPU = 100
			b.submit(jobID2, small)
			if cold {
				term := b.leader.currentTerm()
				term.cold.observe(incarnation{"w0", 1}, 4*time.Second, b.leader.Clock.Now())
			}
			b.do(evacuation("a", false))
			most, before := 0, 0
			for range 3 {
				b.reportFor(coldStartWindow)
				most, before = max(most, startsOn("w0")-before), startsOn("w0")
			}
			if !cold {
				assert.Equal(t, before, 30)
				return
			}
			assert.Assert(t, most > 0 && most <= maxColdStarts+1, "%d starts in a window", most)
			b.reportFor(2 * time.Second)
			assert.Equal(t, startsOn("w0"), 30)
		})
	}
}

// Guards against later slices of a long plan that use workers as if they had not become cold
// since it began.
func TestLaterSlicesKnowColdWorkers(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		b.placeWorkers(1, "a")
		b.reportFor(100 * time.Millisecond)
		term := b.leader.currentTerm()
		w := &candidate{id: "w0", born: 1, worker: &cell.Worker{ID: "w0", Born: 1, DataCentre: "a"}}
		p := &planner{now: b.leader.Clock.Now(), candidates: []*candidate{w}}
		assert.Assert(t, !p.hasColdCandidates())
		term.cold.observe(incarnation{"w0", 1}, time.Second, p.now)
		term.withholdUnusable(p)
		assert.Assert(t, w.cold && p.hasColdCandidates() && !w.withheld)
	})
}

// Guards against the capacity of cold workers that admission counts in full although it is known
// how slow they are, and against a guess where it is not.
func TestAdmissionCountsColdCapacityBySpeed(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		b.placeWorkers(2, "a")
		term := b.leader.currentTerm()
		term.cold.observe(incarnation{"w0", 1}, time.Hour, b.leader.Clock.Now())
		assert.Equal(t, term.deriveLoad(term.leader.Clock.Now()).Capacity.MilliCPU, int64(8000))
		term.stats.doneCold("w0", "q", time.Second, 4*time.Second)
		assert.Equal(t, term.stats.coldRatio(), 1.0, "nothing is known of the queue")
		for range minQueueSamples {
			term.stats.done("w1", "q", time.Second, 2*time.Second)
		}
		term.stats.doneCold("w0", "q", time.Second, 8*time.Second)
		load := term.deriveLoad(term.leader.Clock.Now())
		assert.Equal(t, load.Capacity.MilliCPU, int64(4000+1000))
		assert.Equal(t, load.Free.MilliCPU, int64(4000+1000))
		term.cold.observe(incarnation{"w0", 1}, 0, b.leader.Clock.Now())
		time.Sleep(time.Millisecond)
		assert.Equal(t, term.deriveLoad(term.leader.Clock.Now()).Capacity.MilliCPU, int64(8000))
	})
}

// Guards against a factor of cold workers that does not follow what runs on them.
func TestRunTimesOnColdWorkersAreLearned(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		b.placeWorkers(1, "a")
		term := b.leader.currentTerm()
		for i := range minQueueSamples {
			id := fmt.Sprintf("%016x", 200+i)
			b.submit(id, taskStep(1, 1))
			b.waitForState(id, cell.Complete, 4*time.Second)
		}
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = 3 * time.Second })
		term.cold.observe(incarnation{"w0", 1}, 10*time.Second, b.leader.Clock.Now())
		b.submit(jobID1, taskStep(1, 1))
		b.waitForState(jobID1, cell.Complete, 6*time.Second)
		assert.Assert(t, term.stats.coldRatio() > 2.5 && term.stats.coldRatio() < 3.5, "%v", term.stats.coldRatio())
		assert.Assert(t, term.stats.queueRatioOf("q") < 1.5)
	})
}

// Guards against a worker that counts as cold longer or shorter than its newest report says,
// or after another incarnation has replaced it.
func TestColdTimeFollowsReports(t *testing.T) {
	var c coldWorkers
	old, other := incarnation{"w0", 1}, incarnation{"w0", 2}
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	c.observe(old, 0, at(1))
	assert.Assert(t, !c.isCold(old, at(1)))
	c.observe(old, at(5), at(2))
	assert.Assert(t, c.isCold(old, at(6)) && !c.isCold(old, at(7)) && !c.isCold(other, at(6)))
	c.observe(old, 0, at(4))
	assert.Assert(t, c.isCold(old, at(3)) && !c.isCold(old, at(4)))
	c.observe(old, 0, at(20))
	assert.Assert(t, c.isCold(old, at(3)) && !c.isCold(old, at(19)), "what ran while it was cold is not known any more")
	c.retain(func(i incarnation) bool { return i != old })
	assert.Assert(t, !c.isCold(old, at(3)))
}

// Guards against a commit with each report of a cold worker, and against run times on cold
// workers that count for the speed of the worker and the queue.
func TestColdWorkerLeavesNoTrace(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		b.placeWorkers(1, "a")
		b.fleet.change("w0", func(w *fakeWorker) { w.taskDuration = 4 * time.Second })
		left := 6000
		report := func(sequence int) {
			r := firstReport("w0", 1, 0)
			r.Report.DataCentre, r.Report.Sequence = "a", uint64(sequence)
			b.fleet.change("w0", func(w *fakeWorker) { r.Report.ClockMS = w.clock() })
			r.Report.ColdLeftMS = int64(max(0, left))
			b.do(r)
			left -= 500
		}
		report(2)
		time.Sleep(100 * time.Millisecond)
		_, before := b.log.Term()
		for i := range 4 {
			report(3 + i)
		}
		_, after := b.log.Term()
		assert.Equal(t, after, before)
		term := b.leader.currentTerm()
		assert.Assert(t, term.cold.isCold(incarnation{"w0", 1}, b.leader.Clock.Now()))
		run := func(job string) {
			b.submit(job, taskStep(1, 1))
			b.waitForState(job, cell.Complete, 8*time.Second)
		}
		run(jobID1)
		assert.Equal(t, term.stats.factorOf("w0"), 1.0)
		assert.Equal(t, term.stats.queueRatioOf("q"), 1.0)
		left = 0
		r := &cellapi.Report{Register: cell.Register{ID: "w0", Born: 1}, Sequence: 1 << 62}
		term.observeCold(r, b.leader.Clock.Now())
		run(fmt.Sprintf("%016x", 99))
		assert.Assert(t, term.stats.queueRatioOf("q") > 3, "%v", term.stats.queueRatioOf("q"))
	})
}
