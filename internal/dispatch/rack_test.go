package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newRackPlanner returns a planner with the given number of racks and workers per
// rack, and a gang of four tasks each of which fills a worker.
func newRackPlanner(racks, each int) (*planner, *readyStep) {
	p := newPlanner(racks*each, nil)
	for i, c := range p.candidates {
		c.worker.Rack = fmt.Sprint("r", i/each)
	}
	rs := p.newReadyStep("a", 1, newGangStep(4, 64))
	rs.step.SameRack = true
	rs.queue.Advice = nil
	return p, rs
}

func (p *planner) fillWorkers(workers ...string) {
	for _, id := range workers {
		p.byID[id].free = p.byID[id].free.Sub(p.byID[id].free)
	}
}

// Guards against a gang that is spread over several racks although one rack has
// the capacity. It would take several times as long.
func TestGangOnOneRack(t *testing.T) {
	p, rs := newRackPlanner(3, 4)
	p.fillWorkers("w01", "w05")
	p.planSteps([]*readyStep{rs})
	assert.DeepEqual(t, placedOn(p), []string{"w08", "w09", "w10", "w11"})
}

// Guards against a gang that takes capacity on several racks instead of waiting
// for one, and against a rack whose capacity is given to other work in the
// meantime.
func TestGangWaitsForRack(t *testing.T) {
	p, rs := newRackPlanner(2, 4)
	p.fillWorkers("w01", "w02", "w05")
	p.planSteps([]*readyStep{rs})
	assert.Equal(t, len(p.placements), 0)
	assert.Equal(t, len(p.reserved), 4)
	for id := range p.reserved {
		assert.Equal(t, p.byID[id].worker.Rack, "r1")
	}
}

// Guards against a gang that waits forever because no rack could hold it, or that
// waits although it is late.
func TestGangMayUseSeveralRacks(t *testing.T) {
	p, rs := newRackPlanner(4, 3)
	p.planSteps([]*readyStep{rs})
	assert.Equal(t, len(p.placements), 4)
	p, rs = newRackPlanner(2, 4)
	p.fillWorkers("w01", "w05")
	rs.late = true
	p.planSteps([]*readyStep{rs})
	assert.Equal(t, len(p.placements), 4)
}

// Guards against tasks of a step that are placed on another rack than those that
// already run.
func TestTasksJoinRackOfTheirStep(t *testing.T) {
	p, rs := newRackPlanner(2, 4)
	rs.step.Gang = false
	rs.deadline = time.Hour
	p.byID["w06"].busy = true
	p.byID["w06"].worker.Attempts = attemptsOf(rs.key)
	p.planSteps([]*readyStep{rs})
	for _, id := range placedOn(p) {
		assert.Equal(t, p.byID[id].worker.Rack, "r1")
	}
	assert.Equal(t, len(p.placements), 4)
}
