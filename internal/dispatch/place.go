package dispatch

import (
	"laburnumgrade/internal/cell"
)

// place assigns tasks to the workers in their order, as many to each as fit.
// Fillers share the capacity that others use, so they are spread one at a time.
func (p *planner) place(rs *readyStep, tasks []int, list []*candidate) []cell.Placement {
	suspects, tasks := rs.splitSuspects(tasks)
	placed := p.placeSuspects(rs, suspects, list)
	if !rs.step.Filler {
		return append(placed, p.placeRound(rs, tasks, list, len(tasks))...)
	}
	for len(tasks) > 0 {
		more := p.placeRound(rs, tasks, list, 1)
		if len(more) == 0 {
			break
		}
		placed, tasks = append(placed, more...), tasks[len(more):]
	}
	return placed
}

// placeRound goes through the workers once and assigns at most the given number of
// tasks to each.
func (p *planner) placeRound(rs *readyStep, tasks []int, list []*candidate, maxInRound int) []cell.Placement {
	var placed []cell.Placement
	claim := rs.step.Claim()
	for _, c := range list {
		onWorker, placedHere := 0, 0
		room := p.tasksThatFit(rs, c)
		if rs.step.MaxPerWorker > 0 {
			onWorker = p.countTasks(rs.key, c) + c.placed[rs.key]
		}
		for len(placed) < len(tasks) && placedHere < min(room, maxInRound) && claim.Fits(c.free) {
			if rs.step.MaxPerWorker > 0 && onWorker >= rs.step.MaxPerWorker {
				break
			}
			i := tasks[len(placed)]
			run := rs.occurrence.Run + 1
			if !rs.step.Gang {
				run = rs.occurrence.Tasks[i].Run + 1
			}
			placed = append(placed, cell.Placement{Task: cell.TaskKey{StepKey: rs.key, Index: i}, Run: run, Worker: c.id, Born: c.born})
			c.free = c.free.Sub(claim)
			if rs.step.Filler {
				c.fillerLoad = c.fillerLoad.Add(rs.step.Size)
			}
			onWorker++
			placedHere++
		}
		c.addPlaced(rs.key, placedHere)
	}
	p.headroom[rs.team] = p.headroom[rs.team].Sub(rs.step.Size.Scale(int64(len(placed))))
	return placed
}

// undoPlacements releases the capacity that place has used.
func (p *planner) undoPlacements(rs *readyStep, placed []cell.Placement) {
	if len(placed) > 0 {
		clear(p.full)
	}
	for i := range placed {
		c := p.byID[placed[i].Worker]
		c.addPlaced(rs.key, -1)
		if rs.crashed[placed[i].Task.Index].suspect {
			c.addSuspects(rs.job.ID, -1)
		}
		c.free = c.free.Add(rs.step.Claim())
		if rs.step.Filler {
			c.fillerLoad = c.fillerLoad.Sub(rs.step.Size)
		}
	}
	p.headroom[rs.team] = p.headroom[rs.team].Add(rs.step.Size.Scale(int64(len(placed))))
}

// holdCapacity subtracts the capacity of placements that are not started yet.
func (p *planner) holdCapacity(held []cell.Placement, rs *readyStep) {
	for i := range held {
		if c := p.byID[held[i].Worker]; c != nil {
			c.free = c.free.Sub(rs.step.Claim())
			c.addPlaced(rs.key, 1)
			if rs.crashed[held[i].Task.Index].suspect {
				c.addSuspects(rs.job.ID, 1)
			}
		}
	}
	p.headroom[rs.team] = p.headroom[rs.team].Sub(rs.step.Size.Scale(int64(len(held))))
}
