package placement

import (
	"time"

	"laburnumgrade/internal/structs"
)

// Request is a task to be placed.
type Request struct {
	Size structs.Resources
	// RelativeWait is how long the task has waited relative to the longest waiting
	// one, 0 to 1; fast workers go to what has waited longest.
	RelativeWait float64
	// Owner may use the workers held for it.
	Owner uint64
	// End is when the task is predicted to end; it may use workers held for
	// others from that time on.
	End time.Duration
	// AllowTrial permits a worker on probation.
	AllowTrial bool
	// Spread, if set, is where the tasks of the same service run.
	Spread *Spread
}

// Spread counts the tasks of a service by worker and rack.
type Spread struct {
	workers map[Slot]spot
	racks   map[int32]int32
}

// spot is how many tasks of a service a worker has; the rack is that of the
// first of them, so that the counts stay right if the worker is moved.
type spot struct {
	tasks int32
	rack  int32
}

// Add counts by tasks on the worker at s.
func (p *Spread) Add(f *Fleet, s Slot, by int32) {
	if p.workers == nil {
		p.workers = map[Slot]spot{}
		p.racks = map[int32]int32{}
	}
	at, known := p.workers[s]
	if !known {
		at.rack = f.nodes[s].rack
	}
	at.tasks += by
	p.workers[s] = at
	if at.tasks == 0 {
		delete(p.workers, s)
	}
	p.racks[at.rack] += by
	if p.racks[at.rack] == 0 {
		delete(p.racks, at.rack)
	}
}

// MostPerRack returns the largest number of tasks in one rack.
func (p *Spread) MostPerRack() int {
	most := int32(0)
	for _, n := range p.racks {
		most = max(most, n)
	}
	return int(most)
}

// Weights of the score. Leftover capacity counts 1 for a whole worker.
const (
	weightImbalance = 0.5  // leftover processors without memory, or the reverse
	weightWhole     = 0.25 // taking the first part of an empty worker
	weightSpeed     = 0.05 // nominal speed, for work that has not waited
	weightPatience  = 1.5  // nominal speed, for the longest waiting work
	weightRack      = 1.0  // each task of the service in the same rack
	weightSame      = 2.0  // each task of the service on the same worker
	weightAccel     = 2.0  // each accelerator left unused, relative to the largest worker
)

// Limits of the search for a spread service.
const (
	spreadRacks   = 16
	spreadPerRack = 8
	heldProbes    = 64
)

type candidate struct {
	slot  Slot
	score float64
}

// Choose returns the best worker for r, or false if none was found. Its cost
// does not depend on the number of workers.
func (f *Fleet) Choose(r *Request) (Slot, bool) {
	if r.AllowTrial {
		if s, ok := f.chooseTrial(r); ok {
			return s, true
		}
	}
	best := candidate{slot: NoSlot}
	visit := func(s Slot) bool { return f.consider(&best, s, r) }
	if r.Spread != nil {
		f.visitRacks(visit)
	}
	f.visitHeld(r, visit)
	if r.Size.Accelerators == 0 {
		f.visitPools(0, accelOffset, r, visit)
	}
	if best.slot == NoSlot {
		f.visitPools(accelOffset, poolCount, r, visit)
	}
	return best.slot, best.slot != NoSlot
}

func (f *Fleet) visitPools(from, to int, r *Request, visit func(Slot) bool) {
	for _, g := range f.pools[from:to] {
		g.search(f.nodes, r.Size, visit)
	}
}

// visitRacks looks at a few racks, starting at another one each time.
func (f *Fleet) visitRacks(visit func(Slot) bool) {
	for range min(spreadRacks, len(f.racks)) {
		f.rackTurn = (f.rackTurn + 1) % len(f.racks)
		members := f.racks[f.rackTurn]
		for i := range min(spreadPerRack, len(members)) {
			visit(members[(i+f.rackTurn)%len(members)])
		}
	}
}

func (f *Fleet) visitHeld(r *Request, visit func(Slot) bool) {
	if len(f.held) == 0 {
		return
	}
	for range min(heldProbes, len(f.held)) {
		f.heldTurn = (f.heldTurn + 1) % len(f.held)
		visit(f.held[f.heldTurn])
	}
}

func (f *Fleet) chooseTrial(r *Request) (Slot, bool) {
	for _, s := range f.trials[:min(heldProbes, len(f.trials))] {
		if r.Size.Fits(f.nodes[s].free()) {
			return s, true
		}
	}
	return NoSlot, false
}

// Eligible reports whether r may be placed on the worker at s now.
func (f *Fleet) Eligible(s Slot, r *Request) bool {
	n := &f.nodes[s]
	if !n.usable() || !r.Size.Fits(n.free()) {
		return false
	}
	return n.hold.permits(r)
}

func (f *Fleet) consider(best *candidate, s Slot, r *Request) bool {
	if !f.Eligible(s, r) {
		return false
	}
	score := f.score(s, r)
	if best.slot == NoSlot || score < best.score {
		*best = candidate{slot: s, score: score}
	}
	return true
}

// score returns the cost of placing r on the worker at s; less is better.
func (f *Fleet) score(s Slot, r *Request) float64 {
	n := &f.nodes[s]
	left := n.free().Sub(r.Size)
	cpu := ratio(left.MilliCPU, f.largest.MilliCPU)
	mem := ratio(left.MemoryBytes, f.largest.MemoryBytes)
	score := cpu + mem + weightAccel*ratio(left.Accelerators, f.largest.Accelerators)
	score += weightImbalance * max(cpu-mem, mem-cpu)
	if n.committed.IsZero() {
		score += weightWhole
	}
	score -= (weightSpeed + weightPatience*r.RelativeWait) * n.Speed
	if r.Spread != nil {
		score += weightRack * float64(r.Spread.racks[n.rack])
		score += weightSame * float64(r.Spread.workers[s].tasks)
	}
	return score
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
