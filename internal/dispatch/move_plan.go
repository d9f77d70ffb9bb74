package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/reservation"
	"laburnumgrade/internal/structs"
)

// planMoves chooses the running tasks to move now, given the ready steps of the plan and the
// tasks that are on the move already. unavailable returns how many other tasks of its step are
// unavailable.
func (p *planner) planMoves(candidates []*moveCandidate, readySteps []*readyStep, moving map[cell.TaskKey]move, unavailable func(cell.TaskKey) int) []*moveCandidate {
	slices.SortFunc(candidates, func(a, b *moveCandidate) int {
		return cmp.Or(cmp.Compare(a.step.queue.Priority, b.step.queue.Priority), cmp.Compare(b.rest, a.rest), cmp.Compare(a.step.key.Job, b.step.key.Job),
			cmp.Compare(a.step.key.Occurrence, b.step.key.Occurrence), cmp.Compare(a.step.key.Step, b.step.key.Step), cmp.Compare(a.tasks[0].index, b.tasks[0].index))
	})
	demand := p.waitingDemand(readySteps)
	for _, m := range moving {
		demand.claims[m.service] = demand.claims[m.service].Add(m.claim)
	}
	count := len(moving)
	leaving := map[cell.StepKey]int{}
	var chosen []*moveCandidate
	for _, c := range candidates {
		if count > 0 && count+len(c.tasks) > maxMoves {
			continue
		}
		key := c.step.key
		if !c.isWorthMoving(p.now) || demand.blocks(c.step) || !c.mayLeave(leaving[key], unavailable) {
			continue
		}
		if !p.hasCapacityFor(c, demand.claims[c.step.queue.Service]) {
			continue
		}
		chosen = append(chosen, c)
		count += len(c.tasks)
		leaving[key] += len(c.tasks)
	}
	return chosen
}

// isWorthMoving reports whether a task would run longer where it is than a move costs, or be
// late there and earlier on a worker of mean speed.
func (c *moveCandidate) isWorthMoving(now time.Duration) bool {
	if c.rest == reservation.Forever {
		return true
	}
	here := time.Duration(c.factor * float64(c.rest))
	late := now+here+c.step.remaining-c.step.duration > c.step.deadline
	return here > moveCost || late && moveTime+c.rest < here
}

// mayLeave reports whether the step allows that the tasks are unavailable while they move, in
// addition to those that were chosen before.
func (c *moveCandidate) mayLeave(chosen int, unavailable func(cell.TaskKey) int) bool {
	limit := c.step.step.MaxUnavailable
	if c.step.step.Daemon {
		limit = max(1, limit) // a service without a bound moves one task at a time
	}
	if limit == 0 {
		return true
	}
	if chosen+len(c.tasks) > limit {
		return false
	}
	return unavailable(cell.TaskKey{StepKey: c.step.key, Index: c.tasks[0].index})+chosen+len(c.tasks) <= limit
}

// waitingDemand is what ready steps need of the capacity that a plan has left.
type waitingDemand struct {
	// claims is the capacity that steps wait to be allowed to use, by service.
	claims map[string]structs.Resources
	// limited are the teams whose steps wait for their limit, and full the services whose
	// steps wait for room.
	limited, full map[string]bool
}

// waitingDemand returns what the ready steps of a complete plan wait for.
func (p *planner) waitingDemand(readySteps []*readyStep) waitingDemand {
	d := waitingDemand{map[string]structs.Resources{}, map[string]bool{}, map[string]bool{}}
	for _, rs := range readySteps {
		switch p.counted[rs.key] {
		case waitsForLimit:
			d.limited[rs.team] = true
		case waitsForRoom:
			d.full[rs.queue.Service] = true
		case waitsForAdvice, waitsForRetry, waitsForRenewal:
			// What is held for renewals is subtracted from the free capacity already.
			tasks := len(p.startableTasks(rs))
			if rs.advice != nil {
				tasks = max(0, tasks-len(rs.advice.heldPlacements))
			}
			d.claims[rs.queue.Service] = d.claims[rs.queue.Service].Add(rs.step.Claim().Scale(int64(tasks)))
		}
	}
	return d
}

// blocks reports whether a task of the step might not start again soon although there is
// capacity: its team is at its limit, or it is overdue, so that others take the capacity.
func (d *waitingDemand) blocks(rs *readyStep) bool {
	return d.limited[rs.team] || rs.overdue && d.full[rs.queue.Service]
}

// hasCapacityFor reports whether all tasks of a candidate have room on workers that are not
// cold, beside the demand of ready steps, and takes that room.
func (p *planner) hasCapacityFor(c *moveCandidate, demand structs.Resources) bool {
	rs := c.step
	claim := rs.step.Claim()
	p.releaseMembers(c)
	var fitting []*candidate
	var free structs.Resources
	room := 0
	for _, w := range p.group(rs) {
		if w.cold || !p.fits(rs, w) {
			continue
		}
		fitting = append(fitting, w)
		free = free.Add(w.free.Max(structs.Resources{}))
		room += p.tasksThatFit(rs, w)
	}
	if !claim.Scale(int64(len(c.tasks))).Fits(free.Sub(demand)) || rs.queue.Advice != nil && !p.shouldBeAllowed(rs, len(c.tasks), len(fitting), room) {
		p.reclaimMembers(c)
		return false
	}
	p.rank(rs, fitting)
	if rs.step.SameRack {
		fitting = p.restrictToRack(rs, fitting, len(c.tasks))
	}
	indices := make([]int, len(c.tasks))
	for i := range c.tasks {
		indices[i] = c.tasks[i].index
	}
	placed := p.place(rs, indices, fitting)
	if len(placed) == len(indices) {
		return true
	}
	p.undoPlacements(rs, placed)
	p.reclaimMembers(c)
	return false
}

// shouldBeAllowed reports whether enough of the workers with room for moved tasks should be
// allowed for them.
func (p *planner) shouldBeAllowed(rs *readyStep, tasks, workers, room int) bool {
	share := p.allowedShare(rs.queue.Name)
	if math.Pow(1-share, float64(workers)) > maxDeniedProbability {
		return false
	}
	return !rs.step.Gang || share*float64(room) >= float64(allowedCapacityFactor*tasks)
}

// releaseMembers adds what the tasks of a gang use outside of evacuated data centres to the free
// capacity there, since they stop too.
func (p *planner) releaseMembers(c *moveCandidate) {
	for _, task := range c.tasks {
		if w := p.byID[task.worker]; w != nil && !task.evacuated {
			w.free = w.free.Add(c.step.step.Claim())
			clear(p.full)
		}
	}
}

// reclaimMembers undoes releaseMembers.
func (p *planner) reclaimMembers(c *moveCandidate) {
	for _, task := range c.tasks {
		if w := p.byID[task.worker]; w != nil && !task.evacuated {
			w.free = w.free.Sub(c.step.step.Claim())
		}
	}
}
