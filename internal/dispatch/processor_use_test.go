package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

// tickingClock advances whenever it is read.
type tickingClock struct{ now, tick time.Duration }

func (c *tickingClock) Now() time.Duration {
	c.now += c.tick
	return c.now
}

// Guards against a planner that leaves no processor time to others while steps are ready.
func TestPlanningTakesBoundedShareOfProcessor(t *testing.T) {
	clock := &tickingClock{tick: 3 * time.Millisecond}
	use := newProcessorUse(clock)
	steps := 0
	for mayContinue := use.below(maxPlanSlice); mayContinue(); steps++ {
		assert.Assert(t, steps < 100, "the slice does not end")
	}
	for _, used := range []time.Duration{0, time.Millisecond, use.spent(), time.Second} {
		pause := planPause(used)
		assert.Assert(t, 3*used <= used+pause, "%v after %v", pause, used)
		assert.Assert(t, pause >= minPlanGap)
	}
}

// Guards against a wait for a commit that counts as planning and makes the pause longer.
func TestWaitsAreNoProcessorUse(t *testing.T) {
	clock := &tickingClock{}
	use := newProcessorUse(clock)
	clock.now += 2 * time.Millisecond
	use.stop()
	clock.now += time.Second
	use.resume()
	clock.now += time.Millisecond
	assert.Equal(t, use.spent(), 3*time.Millisecond)
}

// Guards against a long plan whose slices starve steps of lower rank, or let them take what
// is reserved or was requested for others.
func TestSlicesMakeTheSamePlan(t *testing.T) {
	newSteps := func(p *planner) []*readyStep {
		p.request = func(q *adviceRequest) bool { return q.step.Job < "j10" }
		for _, c := range p.candidates[10:] {
			c.free.MilliCPU = 20_000
		}
		var steps []*readyStep
		for i := range 40 {
			step := newGangStep(2, 4)
			step.Gang = i%4 == 1
			if i == 5 || i == 25 {
				step.Count = 200
			}
			rs := p.newReadyStep(fmt.Sprintf("j%02d", i), 1, step)
			if i%4 != 3 {
				rs.queue.Advice = nil
			}
			steps = append(steps, rs)
		}
		return steps
	}
	whole := newPlanner(20, nil)
	whole.planSteps(newSteps(whole))
	sliced := newPlanner(20, nil)
	rest := newSteps(sliced)
	sliced.holdRenewals(rest)
	var placements []cell.Placement
	var requests []string
	for slices := 0; len(rest) > 0; slices++ {
		assert.Assert(t, slices < 40)
		planned := 0
		rest = sliced.planNext(rest, func() bool {
			planned++
			return planned < 3
		})
		placements = append(placements, sliced.placements...)
		requests = append(requests, requestedJobs(sliced)...)
		sliced.beginSlice(sliced.now)
	}
	assert.DeepEqual(t, placements, whole.placements)
	assert.DeepEqual(t, requests, requestedJobs(whole))
	assert.DeepEqual(t, sliced.reserved, whole.reserved)
	assert.Equal(t, sliced.waiting, whole.waiting)
	assert.Assert(t, len(whole.placements) > 0 && len(whole.reserved) > 0 && slices.Contains(requests, "j03"))
	assert.Equal(t, len(sliced.placements), 0)
	assert.Equal(t, sliced.headroom["red"], whole.headroom["red"])
}

func requestedJobs(p *planner) []string {
	var jobs []string
	for _, q := range p.adviceRequests {
		jobs = append(jobs, q.step.Job)
	}
	return jobs
}

// Guards against a planner that gets a millisecond in each turn on a busy processor, so that all
// starts wait for it, and against one that holds the processor for longer than a slice.
func TestPlannerComputesLongerOnBusyProcessor(t *testing.T) {
	for delay, expected := range map[time.Duration]time.Duration{
		0: yieldInterval, time.Millisecond: yieldInterval, 10 * time.Millisecond: 5 * time.Millisecond, time.Second: maxPlanSlice,
	} {
		assert.Equal(t, (&processorUse{delay: delay}).yieldAfter(), expected, "delay %v", delay)
	}
}
