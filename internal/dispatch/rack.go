package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/reservation"
)

// restrictToRack reduces a ranked list of workers to one rack for a step whose
// tasks take longer when they run on several racks. A step that is late, or that
// fits on no rack even if it were empty, may use all racks.
func (p *planner) restrictToRack(rs *readyStep, list []*candidate, tasks int) []*candidate {
	if rs.late {
		return list
	}
	if currentRack := p.currentRack(rs); currentRack != "" {
		return onRack(list, currentRack)
	}
	tasksByRack := map[string]int{}
	rackWithMostRoom := ""
	for _, c := range list {
		tasksByRack[c.worker.Rack] += p.tasksThatFit(rs, c)
		if rackWithMostRoom == "" || tasksByRack[c.worker.Rack] > tasksByRack[rackWithMostRoom] {
			rackWithMostRoom = c.worker.Rack
		}
	}
	for _, c := range list {
		if tasksByRack[c.worker.Rack] >= tasks {
			return onRack(list, c.worker.Rack)
		}
	}
	if rs.step.Gang && !p.fitsOnEmptyRack(rs, tasks) {
		return list
	}
	return onRack(list, rackWithMostRoom)
}

// onRack returns the workers that are on a rack.
func onRack(list []*candidate, rack string) []*candidate {
	return slices.DeleteFunc(slices.Clone(list), func(c *candidate) bool { return c.worker.Rack != rack })
}

// currentRack returns the rack on which tasks of the step already run, empty if
// none run.
func (p *planner) currentRack(rs *readyStep) string {
	if c := p.runningTasks().first[rs.key]; c != nil {
		return c.worker.Rack
	}
	return ""
}

// runningTasks counts the attempts on the candidates by the occurrence of their step.
// first holds the first candidate with an attempt of each occurrence.
type runningTasks struct {
	counts map[stepOnWorker]int
	first  map[cell.StepKey]*candidate
}

// stepOnWorker identifies the attempts of an occurrence of a step on a worker.
type stepOnWorker struct {
	step   cell.StepKey
	worker *candidate
}

// runningTasks returns what runs on the candidates.
func (p *planner) runningTasks() *runningTasks {
	if p.running != nil {
		return p.running
	}
	p.running = &runningTasks{counts: map[stepOnWorker]int{}, first: map[cell.StepKey]*candidate{}}
	for _, c := range p.candidates {
		for k := range c.worker.Attempts {
			p.running.counts[stepOnWorker{k.StepKey, c}]++
			if p.running.first[k.StepKey] == nil {
				p.running.first[k.StepKey] = c
			}
		}
	}
	return p.running
}

// countTasks returns how many attempts of an occurrence of a step run on a worker.
func (p *planner) countTasks(k cell.StepKey, c *candidate) int {
	return p.runningTasks().counts[stepOnWorker{k, c}]
}

// tasksThatFit returns how many tasks of the step fit on a worker now, beside what gangs of
// higher rank have reserved there.
func (p *planner) tasksThatFit(rs *readyStep, c *candidate) int {
	n := fitCount(rs.step.Claim(), c.free)
	if n > 0 && c.timeline.HasReservations() {
		n = min(n, c.timeline.Count(rs.step.Claim(), c.free, p.now, p.expectedEnd(rs, c)))
	}
	return capPerWorker(rs.step, c.coldRoom(rs, n))
}

// expectedEnd returns when a task of the step that starts on a worker now should have ended.
func (p *planner) expectedEnd(rs *readyStep, c *candidate) time.Duration {
	if rs.step.Daemon {
		return reservation.Forever
	}
	return p.now + time.Duration(slowMargin*c.runTimeFactor*float64(cmp.Or(rs.duration, rs.remaining)))
}

// capPerWorker limits a number of tasks to what the step allows on one worker.
func capPerWorker(s *cell.Step, n int) int {
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return max(0, n)
}

// fitsOnEmptyRack reports whether some rack could hold the tasks if it were empty.
// Workers that are known not to be allowed do not count.
func (p *planner) fitsOnEmptyRack(rs *readyStep, tasks int) bool {
	tasksByRack := map[string]int{}
	for _, c := range p.group(rs) {
		if rs.advice.isDenied(c) {
			continue
		}
		tasksByRack[c.worker.Rack] += capPerWorker(rs.step, fitCount(rs.step.Claim(), c.worker.Capacity))
		if tasksByRack[c.worker.Rack] >= tasks {
			return true
		}
	}
	return false
}

// rackToReserve returns the workers of the rack that is reserved for a gang: the
// one with the most free capacity of those that could hold it, or all workers if
// none could.
func (p *planner) rackToReserve(rs *readyStep, list []*candidate) []*candidate {
	freeTasks, totalTasks := map[string]int{}, map[string]int{}
	best := ""
	for _, c := range list {
		rack := c.worker.Rack
		freeTasks[rack] += p.tasksThatFit(rs, c)
		totalTasks[rack] += capPerWorker(rs.step, fitCount(rs.step.Claim(), c.worker.Capacity))
	}
	for _, c := range list {
		if rack := c.worker.Rack; totalTasks[rack] >= rs.step.Count && (best == "" || freeTasks[rack] > freeTasks[best]) {
			best = rack
		}
	}
	if best == "" {
		return list
	}
	return onRack(list, best)
}
