package dispatch

import (
	"cmp"
	"slices"

	"laburnumgrade/internal/reservation"
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
	// coldWorkerCost makes urgent work use workers that are slow after their start only after
	// all others, also those that are 6.5 times slower than the mean or reserved for a gang.
	coldWorkerCost = 8
	// expiredTicketCost ranks workers with a valid ticket before all others.
	expiredTicketCost = 10
	// maxReservedGangs is how many gangs that do not fit have room reserved for them, and
	// maxWholeWorkersGangs how many have whole workers: those that need a rack, and those
	// that do not fit on the workers they are known to be allowed on.
	maxReservedGangs     = 32
	maxWholeWorkersGangs = 4
)

// startableTasks returns the indices of the tasks that may be started. The caller does
// not modify them.
func (p *planner) startableTasks(rs *readyStep) []int {
	count := len(rs.occurrence.Tasks)
	if rs.step.Gang && len(rs.held) > 0 {
		return nil
	}
	if rs.step.Gang {
		for len(p.indices) < count {
			p.indices = append(p.indices, len(p.indices))
		}
		return p.indices[:count:count]
	}
	var tasks []int
	for i := range rs.occurrence.Tasks {
		if t := &rs.occurrence.Tasks[i]; !t.Done && !t.InFlight && !rs.held[i] {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// tasksWithinLimit returns how many tasks of the step the team's limit allows.
func (p *planner) tasksWithinLimit(rs *readyStep) int {
	room := p.headroom[rs.team]
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

// groupKey identifies the workers of a service that have a label.
type groupKey struct{ service, label string }

// taskKind identifies tasks that fit on the same workers.
type taskKind struct {
	groupKey
	claim structs.Resources
}

func kindOf(rs *readyStep) taskKind {
	return taskKind{groupKey{rs.queue.Service, rs.step.Label}, rs.step.Claim()}
}

// group returns the candidates with the service and the label that a step needs, in the
// order of their IDs.
func (p *planner) group(rs *readyStep) []*candidate {
	key := groupKey{rs.queue.Service, rs.step.Label}
	list, known := p.groups[key]
	if !known {
		for _, c := range p.candidates {
			if c.service == key.service && c.worker.HasLabel(key.label) {
				list = append(list, c)
			}
		}
		if p.groups == nil {
			p.groups, p.full = map[groupKey][]*candidate{}, map[taskKind]bool{}
		}
		p.groups[key] = list
	}
	return list
}

// hasRoom reports whether a worker of the step's group has room for one task of it now.
func (p *planner) hasRoom(rs *readyStep, c *candidate) bool {
	return rs.step.Claim().Fits(c.free) && !c.withheld && (!c.cold && !c.timeline.HasReservations() || p.tasksThatFit(rs, c) > 0)
}

// fits reports whether a worker of the step's group can take one task of it now.
func (p *planner) fits(rs *readyStep, c *candidate) bool { return p.hasRoom(rs, c) && rs.mayJoin(c) }

// fitting returns the workers that can take a task of the step, in the order of their IDs.
func (p *planner) fitting(rs *readyStep, advice *stepAdvice) []*candidate {
	group, kind := p.group(rs), kindOf(rs)
	if p.full[kind] {
		return nil
	}
	var list []*candidate
	if advice != nil && len(advice.tickets) < len(group) {
		for id, issued := range advice.tickets {
			if c := p.byID[id]; c != nil && issued.born == c.born && c.service == kind.service && c.worker.HasLabel(kind.label) && p.fits(rs, c) {
				list = append(list, c)
			}
		}
		slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.id, b.id) })
		return list
	}
	full := true
	for _, c := range group {
		if !p.hasRoom(rs, c) {
			continue
		}
		full = false
		if !rs.mayJoin(c) {
			continue
		}
		if advice != nil {
			if issued, ok := advice.tickets[c.id]; !ok || issued.born != c.born {
				continue
			}
		}
		list = append(list, c)
	}
	if full {
		p.full[kind] = true
	}
	return list
}

// totalRoom returns how many tasks of a gang fit on workers that can take at least one, or
// a greater number if the gang needs accelerators.
func (p *planner) totalRoom(rs *readyStep, fitting []*candidate) int {
	room := 0
	for _, c := range fitting {
		room += p.tasksThatFit(rs, c)
	}
	return room
}

// rankedCandidate is a worker with its cost for a step and its place before the ranking.
type rankedCandidate struct {
	cost  float64
	place int
	c     *candidate
}

// rank sorts workers by their cost for a step. Workers with the same cost keep their
// order.
func (p *planner) rank(rs *readyStep, list []*candidate) {
	p.ranked = p.ranked[:0]
	for i, c := range list {
		p.ranked = append(p.ranked, rankedCandidate{p.cost(rs, c), i, c})
	}
	slices.SortFunc(p.ranked, func(a, b rankedCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.place, b.place))
	})
	for i := range p.ranked {
		list[i] = p.ranked[i].c
	}
}

// cost returns the cost of a worker for a step. Urgent work prefers fast workers; work that
// would be in time on a slow worker leaves the fast ones to others. Among equals, workers
// with the least spare capacity come first.
func (p *planner) cost(rs *readyStep, c *candidate) float64 {
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
	switch {
	case rs.step.Filler:
	case p.hasSlack(rs, p.coldFactorOf(c)*factor):
		// The work is in time even here: prefer the slowest such worker.
		value = 2 - factor + spareCapacityCost*spare - 2
	case c.cold:
		value += coldWorkerCost
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

// coldFactorOf returns the factor on the run times on a worker because it is cold.
func (p *planner) coldFactorOf(c *candidate) float64 {
	if !c.cold {
		return 1
	}
	return max(1, p.coldFactor)
}

// reserve reserves room for a gang that does not fit: what becomes free first on its allowed
// workers, or the rack with the most free capacity if it needs one. Otherwise smaller tasks
// would take the room as it becomes free.
func (p *planner) reserve(rs *readyStep) {
	if p.reservedGangCount >= maxReservedGangs || !p.fitsOnEmptyWorkers(rs) {
		return
	}
	list := p.reservable(rs)
	if len(list) == 0 {
		return
	}
	if rs.step.SameRack {
		p.reserveWorkers(rs, p.rackToReserve(rs, list))
		return
	}
	p.reservedGangCount++
	places := make([]reservation.Place, len(list))
	for i, c := range list {
		p.knowReleases(c)
		places[i] = reservation.Place{Timeline: &c.timeline, Free: c.free, Most: capPerWorker(rs.step, rs.step.Count)}
	}
	from, parts, ok := reservation.Earliest(places, rs.step.Claim(), rs.step.Count, p.now)
	if !ok {
		p.reserveWorkers(rs, list) // workers that are not asked about yet may be allowed
		return
	}
	for i, c := range list {
		if tasks := parts[i]; tasks > 0 {
			c.timeline.Reserve(from, rs.step.Claim().Scale(int64(tasks)))
			p.reserved[c.id] = rs.key
		}
	}
}

// reservable returns the allowed workers on which room may be reserved for a gang.
func (p *planner) reservable(rs *readyStep) []*candidate {
	var list []*candidate
	for _, c := range p.group(rs) {
		if c.withheld || !rs.mayJoin(c) {
			continue
		}
		if rs.advice != nil {
			if issued, ok := rs.advice.tickets[c.id]; !ok || issued.born != c.born {
				continue
			}
		}
		list = append(list, c)
	}
	return list
}

// knowReleases adds what should end on a worker to its timeline.
func (p *planner) knowReleases(c *candidate) {
	if c.releasesKnown {
		return
	}
	c.releasesKnown = true
	releases := []reservation.Release{{At: p.now + unknownRunTime, Amount: c.worker.Capacity.Sub(c.free)}}
	if p.releases != nil {
		releases = p.releases(c)
	}
	c.timeline.SetReleases(releases, p.now)
}

// reserveWorkers withholds whole workers for a gang, those with the most free capacity first.
func (p *planner) reserveWorkers(rs *readyStep, list []*candidate) {
	if p.wholeWorkersCount >= maxWholeWorkersGangs {
		return
	}
	p.wholeWorkersCount++
	slices.SortStableFunc(list, func(a, b *candidate) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
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

// fitsOnEmptyWorkers reports whether the workers could hold the whole step if they were
// empty. Workers that are known not to be allowed do not count.
func (p *planner) fitsOnEmptyWorkers(rs *readyStep) bool {
	tasks := 0
	for _, c := range p.group(rs) {
		if rs.advice.isDenied(c) {
			continue
		}
		tasks += capPerWorker(rs.step, fitCount(rs.step.Claim(), c.worker.Capacity))
		if tasks >= rs.step.Count {
			return true
		}
	}
	return false
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
