package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumgrade/internal/structs"
)

const (
	// slowMargin is how much longer than expected work may take and still be in
	// time on a slow worker: estimates are off, and one run in twenty fails.
	slowMargin = 1.3
	// doubtCost is what a worker costs that is certainly faulty, in units of a
	// worker's factor: the run is lost and the work done again elsewhere.
	doubtCost = 3
	// besideCost keeps fillers off workers with tasks that serve, beside which they
	// are slowed down.
	besideCost = 1
	// mixedCost keeps brief work and other work on different workers, so that the
	// leases of the former stay short.
	mixedCost = 0.25
	// failedCost keeps a task off the workers on which its job has failed.
	failedCost = 3
	// reservedCost makes urgent work take workers that are kept for a gang only
	// after all others.
	reservedCost = 5
	// renewalCost puts workers with a valid ticket before all others.
	renewalCost = 10
	// reservedGangs is how many gangs that do not fit keep room from others.
	reservedGangs = 4
)

// waiting returns the numbers of the tasks that may be started.
func (w *wish) waiting() []int {
	var tasks []int
	for i := range w.run.Tasks {
		if t := &w.run.Tasks[i]; w.step.Gang || !t.Done && !t.InFlight {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// quota returns how many tasks of the step the team's limit allows.
func (p *planner) quota(w *wish) int {
	room := p.headroom[w.job.Team]
	n := len(w.run.Tasks)
	if s := w.step.Size.MilliCPU; s > 0 {
		n = min(n, int(max(0, room.MilliCPU)/s))
	}
	if s := w.step.Size.MemoryBytes; s > 0 {
		n = min(n, int(max(0, room.MemoryBytes)/s))
	}
	if s := w.step.Size.Accelerators; s > 0 {
		n = min(n, int(max(0, room.Accelerators)/s))
	}
	return n
}

// fits reports whether a worker could take one task of the step now.
func (p *planner) fits(w *wish, c *candidate) bool {
	return c.service == w.queue.Service && c.worker.HasLabel(w.step.Label) && w.step.Claim().Fits(c.free) && !c.kept
}

// fitting returns the workers that may take a task, best first.
func (p *planner) fitting(w *wish, advice *stepAdvice) []*candidate {
	var list []*candidate
	for _, c := range p.candidates {
		if !p.fits(w, c) {
			continue
		}
		if advice != nil {
			if k, ok := advice.tickets[c.id]; !ok || k.born != c.born {
				continue
			}
		}
		list = append(list, c)
	}
	p.rank(w, list)
	return list
}

// rank orders workers for a step: in time first, then tightest.
func (p *planner) rank(w *wish, list []*candidate) {
	cost := func(c *candidate) float64 {
		factor := c.factor
		if w.step.DataRack != "" && !c.worker.HasLabel(w.step.DataRack) {
			factor *= p.remote
		}
		left := c.free.Sub(w.step.Claim())
		spare := float64(left.MilliCPU) / float64(max(1, c.worker.Capacity.MilliCPU))
		value := factor + 0.2*spare
		if w.step.Filler {
			value = factor + c.crowding(w)
		}
		if !w.step.Filler && w.queue.Priority > 0 && p.now+time.Duration(slowMargin*factor*float64(w.rest)) < w.deadline {
			// Slow workers are left to work that has the time.
			value = 2 - factor + 0.2*spare - 2
		}
		value += doubtCost * c.doubt
		if c.mixes(w) {
			value += mixedCost
		}
		if w.failedOn[c.id] {
			value += failedCost
		}
		if w.advice != nil && !p.valid(w.advice, c.id) {
			value += renewalCost
		}
		if c.reserved.Job != "" && c.reserved != w.key {
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

// reserve keeps the allowed workers with the most room for a gang that does not
// fit, so that smaller work does not take each hole as it opens.
func (p *planner) reserve(w *wish) {
	if p.gangs >= reservedGangs {
		return
	}
	p.gangs++
	advice := w.advice
	var list []*candidate
	for _, c := range p.candidates {
		if c.service != w.queue.Service || c.kept || !c.worker.HasLabel(w.step.Label) {
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
	if w.step.SameRack {
		list = p.rackToKeep(w, list)
	}
	need := w.step.Count
	for _, c := range list {
		if need <= 0 {
			return
		}
		c.kept = true
		p.reserved[c.id] = w.key
		need -= multiple(w.step.Claim(), c.worker.Capacity)
	}
}

// multiple returns how often a size fits into a capacity.
func multiple(size, capacity structs.Resources) int {
	n := 1 << 20
	if size.MilliCPU > 0 {
		n = min(n, int(capacity.MilliCPU/size.MilliCPU))
	}
	if size.MemoryBytes > 0 {
		n = min(n, int(capacity.MemoryBytes/size.MemoryBytes))
	}
	return n
}
