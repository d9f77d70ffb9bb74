package placement

import (
	"time"

	"laburnumgrade/internal/structs"
)

// Request describes a task to be placed.
type Request struct {
	// Size is what is to be committed to the worker.
	Size structs.Resources
	// RelativeWait is the time that the task has waited as a fraction, 0 to 1, of
	// that of the longest waiting one. The higher it is, the more the score prefers
	// fast workers.
	RelativeWait float64
	// Owner is the owner of the holds under which the task may be placed; 0 is
	// none.
	Owner uint64
	// End is when the task is predicted to end, on the clock of
	// Hold.BackfillUntil.
	End time.Duration
	// AllowTrial permits a worker on probation whose trial is due. Such workers are
	// chosen first.
	AllowTrial bool
	// Spread, if set, counts the tasks of the service to which the task belongs.
	Spread *Spread
}

// Spread counts the tasks of a service by worker and rack. The zero value has no
// tasks.
type Spread struct {
	workers map[Slot]workerTasks
	racks   map[int32]int32 // tasks by index in Fleet.racks
}

// workerTasks is the number of tasks of a service on a worker. rack is the rack
// of the worker when the first of them was added, so that the counts by rack stay
// consistent if the worker moves to another rack.
type workerTasks struct {
	tasks int32
	rack  int32
}

// Add adds delta, which may be negative, to the number of tasks on the worker at
// s.
func (p *Spread) Add(f *Fleet, s Slot, delta int32) {
	if p.workers == nil {
		p.workers = map[Slot]workerTasks{}
		p.racks = map[int32]int32{}
	}
	w, known := p.workers[s]
	if !known {
		w.rack = f.nodes[s].rack
	}
	w.tasks += delta
	p.workers[s] = w
	if w.tasks == 0 {
		delete(p.workers, s)
	}
	p.racks[w.rack] += delta
	if p.racks[w.rack] == 0 {
		delete(p.racks, w.rack)
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

// Weights of the score, in units of the capacity that the task leaves unused on
// the worker: 1 is all processors, or all memory, of the largest worker.
const (
	weightImbalance    = 0.5  // unused processors without memory, or the reverse
	weightEmptyWorker  = 0.25 // placing the first task on an empty worker
	weightSpeed        = 0.05 // speed of the worker, whatever the task's wait
	weightRelativeWait = 1.5  // speed of the worker, times the relative wait
	weightSameRack     = 1.0  // each task of the service in the same rack
	weightSameWorker   = 2.0  // each task of the service on the same worker
	weightAccelerators = 2.0  // unused accelerators, 1 for those of the largest worker
)

// Limits that bound the cost of a choice.
const (
	maxSpreadRacks   = 16 // racks examined for a service
	maxSpreadPerRack = 8  // workers examined in each of them
	maxHeldProbes    = 64 // held workers examined, and workers with a due trial
)

type candidate struct {
	slot  Slot
	score float64
}

// Choose returns the worker with the best score among the candidates for r, or
// false if none was found. It examines a bounded number of workers, starting at
// different ones from call to call, so it can miss a worker that a later call
// finds.
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
		f.visitPools(0, firstAccelPool, r, visit)
	}
	if best.slot == NoSlot {
		f.visitPools(firstAccelPool, poolCount, r, visit)
	}
	return best.slot, best.slot != NoSlot
}

// visitPools visits workers without a hold that may have room for r, from the
// pools with indices from to to-1.
func (f *Fleet) visitPools(from, to int, r *Request, visit func(Slot) bool) {
	for _, g := range f.pools[from:to] {
		g.search(f.nodes, r.Size, visit)
	}
}

// visitRacks visits some workers of a few racks, starting at another rack each
// time.
func (f *Fleet) visitRacks(visit func(Slot) bool) {
	for range min(maxSpreadRacks, len(f.racks)) {
		f.rackCursor = (f.rackCursor + 1) % len(f.racks)
		members := f.racks[f.rackCursor]
		for i := range min(maxSpreadPerRack, len(members)) {
			visit(members[(i+f.rackCursor)%len(members)])
		}
	}
}

// visitHeld visits some workers with a hold, starting at another one each time.
func (f *Fleet) visitHeld(r *Request, visit func(Slot) bool) {
	if len(f.held) == 0 {
		return
	}
	for range min(maxHeldProbes, len(f.held)) {
		f.heldCursor = (f.heldCursor + 1) % len(f.held)
		visit(f.held[f.heldCursor])
	}
}

// chooseTrial returns a worker on probation whose trial is due and that has room.
func (f *Fleet) chooseTrial(r *Request) (Slot, bool) {
	for _, s := range f.trials[:min(maxHeldProbes, len(f.trials))] {
		if r.Size.Fits(f.nodes[s].free()) {
			return s, true
		}
	}
	return NoSlot, false
}

// Eligible reports whether r may be placed on the worker at s now: the worker is
// usable, has room, and its hold permits r. Trials are not considered.
func (f *Fleet) Eligible(s Slot, r *Request) bool {
	n := &f.nodes[s]
	if !n.usable() || !r.Size.Fits(n.free()) {
		return false
	}
	return n.hold.permits(r)
}

// consider replaces best by the worker at s if that is eligible and has a better
// score. It reports whether the worker is eligible.
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

// score returns the score of the worker at s for r; a lower score is better.
func (f *Fleet) score(s Slot, r *Request) float64 {
	n := &f.nodes[s]
	left := n.free().Sub(r.Size)
	cpu := ratio(left.MilliCPU, f.largest.MilliCPU)
	mem := ratio(left.MemoryBytes, f.largest.MemoryBytes)
	score := cpu + mem + weightAccelerators*ratio(left.Accelerators, f.largest.Accelerators)
	score += weightImbalance * max(cpu-mem, mem-cpu)
	if n.committed.IsZero() {
		score += weightEmptyWorker
	}
	score -= (weightSpeed + weightRelativeWait*r.RelativeWait) * n.Speed
	if r.Spread != nil {
		score += weightSameRack * float64(r.Spread.racks[n.rack])
		score += weightSameWorker * float64(r.Spread.workers[s].tasks)
	}
	return score
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
