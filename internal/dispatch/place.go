package dispatch

import (
	"laburnumgrade/internal/cell"
)

// place puts tasks on workers in their order, as many on each as fit; fillers, which
// take no room but share it, one at a time.
func (p *planner) place(w *wish, tasks []int, list []*candidate) []cell.Placement {
	if !w.step.Filler {
		return p.placeOnce(w, tasks, list, len(tasks))
	}
	var placed []cell.Placement
	for len(placed) < len(tasks) {
		more := p.placeOnce(w, tasks[len(placed):], list, 1)
		if len(more) == 0 {
			break
		}
		placed = append(placed, more...)
	}
	return placed
}

// placeOnce goes through the workers once and puts at most so many tasks on each.
func (p *planner) placeOnce(w *wish, tasks []int, list []*candidate, most int) []cell.Placement {
	var placed []cell.Placement
	claim := w.step.Claim()
	for _, c := range list {
		onWorker, here := 0, 0
		if w.step.MaxPerWorker > 0 {
			onWorker = c.worker.CountTasks(w.key) + c.placed[w.key]
		}
		for len(placed) < len(tasks) && here < most && claim.Fits(c.free) {
			if w.step.MaxPerWorker > 0 && onWorker >= w.step.MaxPerWorker {
				break
			}
			i := tasks[len(placed)]
			run := w.run.Tasks[i].Run + 1
			if w.step.Gang {
				run = w.run.Run + 1
			}
			placed = append(placed, cell.Placement{Task: cell.TaskKey{StepKey: w.key, Index: i}, Run: run, Worker: c.id, Born: c.born})
			c.free = c.free.Sub(claim)
			if w.step.Filler {
				c.filling = c.filling.Add(w.step.Size)
			}
			onWorker++
			here++
		}
		c.notePlaced(w.key, here)
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Sub(w.step.Size.Scale(int64(len(placed))))
	return placed
}

// giveBack undoes place.
func (p *planner) giveBack(w *wish, placed []cell.Placement) {
	for i := range placed {
		c := p.byID[placed[i].Worker]
		c.placed[w.key]--
		c.free = c.free.Add(w.step.Claim())
		if w.step.Filler {
			c.filling = c.filling.Sub(w.step.Size)
		}
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Add(w.step.Size.Scale(int64(len(placed))))
}

// keep takes the room for placements whose tickets are being renewed.
func (p *planner) keep(held []cell.Placement, w *wish) {
	for i := range held {
		if c := p.byID[held[i].Worker]; c != nil {
			c.free = c.free.Sub(w.step.Claim())
		}
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Sub(w.step.Size.Scale(int64(len(held))))
}
