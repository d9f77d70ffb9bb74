package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/structs"
)

// Guards against a pool that is too small or too large for the demand, changes its
// members without need, or lies in one data centre.
func TestPool(t *testing.T) {
	p := newPlanner(24, nil)
	for i, c := range p.candidates {
		c.worker.DataCentre = fmt.Sprint("d", i%4)
		c.factor = 1 + float64(i)/24
	}
	var b briefPool
	b.choose(p.candidates)
	assert.Equal(t, len(b.members), 0, "without brief work there is no pool")
	b.observe(4*64_000, time.Second)
	b.choose(p.candidates)
	assert.Equal(t, len(b.members), 6)
	in := map[string]int{}
	for _, c := range p.candidates {
		if c.pooled {
			in[c.worker.DataCentre]++
		}
	}
	assert.Equal(t, len(in), 4)
	before := b.members
	for _, c := range p.candidates {
		c.factor = 3 - c.factor
	}
	b.choose(p.candidates)
	assert.DeepEqual(t, b.members, before)
	b.observe(1000*64_000, 2*time.Second)
	b.choose(p.candidates)
	assert.Equal(t, len(b.members), 24/mostPooled)
	for now := 3 * time.Second; now < time.Minute; now += 100 * time.Millisecond {
		b.observe(0, now)
	}
	b.choose(p.candidates)
	assert.Assert(t, len(b.members) <= 1)
}

// Guards against work with time to spare that fills the workers of brief work, and
// against workers that stay empty while late work waits.
func TestPoolIsKeptForBriefWork(t *testing.T) {
	for _, late := range []bool{false, true} {
		p := newPlanner(1, nil)
		p.byID["w00"].pooled = true
		w := p.newWish("a", 2, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 1000}})
		w.queue.Advice, w.late = nil, late
		p.decide([]*wish{w})
		assert.Equal(t, len(p.placements) == 1, late)
		w = p.newWish("b", 0, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 1000}})
		w.queue.Advice, w.brief = nil, true
		p.decide([]*wish{w})
		assert.Equal(t, p.placements[len(p.placements)-1].Task.Job, "b")
	}
}
