package dispatch

import (
	"slices"

	"laburnumgrade/internal/cell"
)

// oneRack returns those of the workers, best first, on which a step may be placed
// whose tasks take longer when they run on more than one rack. A step that is late,
// or that no rack could ever hold, is spread.
func (p *planner) oneRack(w *wish, list []*candidate, tasks int) []*candidate {
	if w.late {
		return list
	}
	if home := p.home(w); home != "" {
		return onRack(list, home)
	}
	room := map[string]int{}
	most := ""
	for _, c := range list {
		room[c.worker.Rack] += p.roomFor(w, c)
		if most == "" || room[c.worker.Rack] > room[most] {
			most = c.worker.Rack
		}
	}
	for _, c := range list {
		if room[c.worker.Rack] >= tasks {
			return onRack(list, c.worker.Rack)
		}
	}
	if w.step.Gang && !p.holdable(w, tasks) {
		return list
	}
	return onRack(list, most)
}

// onRack returns the workers of a rack.
func onRack(list []*candidate, rack string) []*candidate {
	return slices.DeleteFunc(slices.Clone(list), func(c *candidate) bool { return c.worker.Rack != rack })
}

// home returns the rack on which tasks of the step run, empty if none do.
func (p *planner) home(w *wish) string {
	for _, c := range p.candidates {
		if c.busy && c.worker.CountTasks(w.key) > 0 {
			return c.worker.Rack
		}
	}
	return ""
}

// roomFor returns how many tasks of the step fit on a worker now.
func (p *planner) roomFor(w *wish, c *candidate) int {
	return perWorker(w.step, multiple(w.step.Claim(), c.free))
}

// perWorker bounds a number of tasks by what the step allows on one worker.
func perWorker(s *cell.Step, n int) int {
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return max(0, n)
}

// holdable reports whether some rack could hold so many tasks if it were empty, of
// the workers that are allowed as far as that is known.
func (p *planner) holdable(w *wish, tasks int) bool {
	room := map[string]int{}
	for _, c := range p.candidates {
		if c.service != w.queue.Service || !c.worker.HasLabel(w.step.Label) || w.advice.denies(c) {
			continue
		}
		room[c.worker.Rack] += perWorker(w.step, multiple(w.step.Claim(), c.worker.Capacity))
		if room[c.worker.Rack] >= tasks {
			return true
		}
	}
	return false
}

// rackToKeep returns the workers of the rack that a gang is to wait for: the one
// with the most room of those that could hold it.
func (p *planner) rackToKeep(w *wish, list []*candidate) []*candidate {
	free, whole := map[string]int{}, map[string]int{}
	best := ""
	for _, c := range list {
		rack := c.worker.Rack
		free[rack] += p.roomFor(w, c)
		whole[rack] += perWorker(w.step, multiple(w.step.Claim(), c.worker.Capacity))
	}
	for _, c := range list {
		if rack := c.worker.Rack; whole[rack] >= w.step.Count && (best == "" || free[rack] > free[best]) {
			best = rack
		}
	}
	if best == "" {
		return list
	}
	return onRack(list, best)
}
