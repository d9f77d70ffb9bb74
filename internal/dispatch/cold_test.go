package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
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
