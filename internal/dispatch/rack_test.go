package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// onRacks returns a planner with workers on racks of so many, and a gang of four
// tasks that fill a worker each.
func onRacks(racks, each int) (*planner, *readyStep) {
	p := newPlanner(racks*each, nil)
	for i, c := range p.candidates {
		c.worker.Rack = fmt.Sprint("r", i/each)
	}
	rs := p.newReadyStep("a", 1, gang(4, 64))
	rs.step.SameRack = true
	rs.queue.Advice = nil
	return p, rs
}

func (p *planner) fill(workers ...string) {
	for _, id := range workers {
		p.byID[id].free = p.byID[id].free.Sub(p.byID[id].free)
	}
}

// Guards against a gang that is spread over racks, which takes it several times as
// long, although one rack has the room.
func TestGangOnOneRack(t *testing.T) {
	p, rs := onRacks(3, 4)
	p.fill("w01", "w05")
	p.planSteps([]*readyStep{rs})
	assert.DeepEqual(t, placedOn(p), []string{"w08", "w09", "w10", "w11"})
}

// Guards against a gang that takes room on several racks instead of waiting for
// one, and against a rack whose room is given to others meanwhile.
func TestGangWaitsForRack(t *testing.T) {
	p, rs := onRacks(2, 4)
	p.fill("w01", "w02", "w05")
	p.planSteps([]*readyStep{rs})
	assert.Equal(t, len(p.placements), 0)
	assert.Equal(t, len(p.reserved), 4)
	for id := range p.reserved {
		assert.Equal(t, p.byID[id].worker.Rack, "r1")
	}
}

// Guards against a gang that waits for ever: no rack could hold it, or it is late.
func TestGangIsSpreadAtLast(t *testing.T) {
	p, rs := onRacks(4, 3)
	p.planSteps([]*readyStep{rs})
	assert.Equal(t, len(p.placements), 4)
	p, rs = onRacks(2, 4)
	p.fill("w01", "w05")
	rs.late = true
	p.planSteps([]*readyStep{rs})
	assert.Equal(t, len(p.placements), 4)
}

// Guards against tasks of a step that run apart from those that run already.
func TestTasksJoinTheirRack(t *testing.T) {
	p, rs := onRacks(2, 4)
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
