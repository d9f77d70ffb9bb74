package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumgrade/internal/structs"
)

const (
	// slowMargin is the factor on the expected run time with which work must still
	// be in time to be placed on a slow worker: estimates are inaccurate and one
	// run in twenty fails.
	slowMargin = 1.3
	// The costs below are in units of a worker's run time factor.
	//
	// spareCapacityCost is the cost of a worker whose whole capacity would remain
	// free after the placement. Among workers that are otherwise equal, those with
	// the least spare capacity come first.
	spareCapacityCost = 0.2
	// faultyWorkerCost is the cost of a worker that is certainly faulty: the run
	// is lost and repeated elsewhere.
	faultyWorkerCost = 3
	// besideServingCost keeps fillers off workers with serving tasks, beside which
	// they are slowed down.
	besideServingCost = 1
	// mixedLeaseCost keeps work that needs a short lease and other work on
	// different workers, so that the leases of the former stay short.
	mixedLeaseCost = 0.25
	// failedBeforeCost keeps a task off the workers on which tasks of its job have
	// failed.
	failedBeforeCost = 3
	// besideCrashedCost spreads tasks under which a worker has crashed over several
	// workers, so that a further crash shows which of them is the cause.
	besideCrashedCost = 0.25
	// reservedCost makes urgent work use workers that are reserved for a gang only
	// after all others.
	reservedCost = 5
	// expiredTicketCost ranks workers with a valid ticket before all others.
	expiredTicketCost = 10
	// maxReservedGangs is how many gangs that do not fit have workers reserved for
	// them.
	maxReservedGangs = 4
)

// startableTasks returns the indices of the tasks that may be started.
func (rs *readyStep) startableTasks() []int {
	if rs.step.Gang && len(rs.held) > 0 {
		return nil
	}
	var tasks []int
	for i := range rs.occurrence.Tasks {
		if t := &rs.occurrence.Tasks[i]; rs.step.Gang || !t.Done && !t.InFlight && !rs.held[i] {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// tasksWithinLimit returns how many tasks of the step the team's limit allows.
func (p *planner) tasksWithinLimit(rs *readyStep) int {
	room := p.headroom[rs.job.Team]
	n := len(rs.occurrence.Tasks)
	if s := rs.step.Size.MilliCPU; s > 0 {
		n = min(n, int(max(0, room.MilliCPU)/s))
	}
	if s := rs.step.Size.MemoryBytes; s > 0 {
		n = min(n, int(max(0, room.MemoryBytes)/s))
	}
	if s := rs.step.Size.Accelerators; s > 0 {
		n = min(n, int(max(0, room.Accelerators)/s))
	}
	return n
}

// fits reports whether a worker can take one task of the step now.
func (p *planner) fits(rs *readyStep, c *candidate) bool {
	return c.service == rs.queue.Service && c.worker.HasLabel(rs.step.Label) && rs.step.Claim().Fits(c.free) && !c.withheld && c.admits(rs.job.ID)
}

// fitting returns the workers that can take a task of the step, best first.
func (p *planner) fitting(rs *readyStep, advice *stepAdvice) []*candidate {
	var list []*candidate
	for _, c := range p.candidates {
		if !p.fits(rs, c) {
			continue
		}
		if advice != nil {
			if issued, ok := advice.tickets[c.id]; !ok || issued.born != c.born {
				continue
			}
		}
		list = append(list, c)
	}
	p.rank(rs, list)
	return list
}

// rank sorts workers by their cost for a step. Urgent work prefers fast workers;
// work that would be in time on a slow worker leaves the fast ones to others.
// Among equals, workers with the least spare capacity come first.
func (p *planner) rank(rs *readyStep, list []*candidate) {
	cost := func(c *candidate) float64 {
		factor := c.runTimeFactor
		if rs.step.DataRack != "" && !c.worker.HasLabel(rs.step.DataRack) {
			factor *= p.offRackFactor
		}
		freeAfter := c.free.Sub(rs.step.Claim())
		spare := float64(freeAfter.MilliCPU) / float64(max(1, c.worker.Capacity.MilliCPU))
		value := factor + spareCapacityCost*spare
		if rs.step.Filler {
			value = factor + c.fillerCost(rs)
		}
		if !rs.step.Filler && rs.queue.Priority > 0 && p.now+time.Duration(slowMargin*factor*float64(rs.remaining)) < rs.deadline {
			// The work is in time even here: prefer the slowest such worker.
			value = 2 - factor + spareCapacityCost*spare - 2
		}
		value += faultyWorkerCost * c.faultProbability
		if c.mixesLeaseLengths(rs) {
			value += mixedLeaseCost
		}
		if rs.failedOn[c.id] {
			value += failedBeforeCost
		}
		if len(rs.crashed) > 0 && p.runsCrashed(c, rs.job.ID) {
			value += besideCrashedCost
		}
		if rs.advice != nil && !p.isTicketValid(rs.advice, c.id) {
			value += expiredTicketCost
		}
		if c.reservedFor.Job != "" && c.reservedFor != rs.key {
			value += reservedCost
		}
		return value
	}
	costs := make(map[string]float64, len(list))
	for _, c := range list {
		costs[c.id] = cost(c)
	}
	slices.SortStableFunc(list, func(a, b *candidate) int { return cmp.Compare(costs[a.id], costs[b.id]) })
}

// reserve withholds the allowed workers with the most free capacity for a gang
// that does not fit. Otherwise smaller tasks would take the capacity as it becomes
// free.
func (p *planner) reserve(rs *readyStep) {
	if p.reservedGangCount >= maxReservedGangs {
		return
	}
	p.reservedGangCount++
	advice := rs.advice
	var list []*candidate
	for _, c := range p.candidates {
		if c.service != rs.queue.Service || c.withheld || !c.admits(rs.job.ID) || !c.worker.HasLabel(rs.step.Label) {
			continue
		}
		if advice != nil {
			if _, ok := advice.tickets[c.id]; !ok {
				continue
			}
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b *candidate) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	if rs.step.SameRack {
		list = p.rackToReserve(rs, list)
	}
	need := rs.step.Count
	for _, c := range list {
		if need <= 0 {
			return
		}
		c.withheld = true
		p.reserved[c.id] = rs.key
		need -= fitCount(rs.step.Claim(), c.worker.Capacity)
	}
}

// fitCount returns how many times a size fits into a capacity.
func fitCount(size, capacity structs.Resources) int {
	n := 1 << 20
	if size.MilliCPU > 0 {
		n = min(n, int(capacity.MilliCPU/size.MilliCPU))
	}
	if size.MemoryBytes > 0 {
		n = min(n, int(capacity.MemoryBytes/size.MemoryBytes))
	}
	if size.Accelerators > 0 {
		n = min(n, int(capacity.Accelerators/size.Accelerators))
	}
	return n
}
