package placement

import (
	"math/rand/v2"
	"sort"

	"laburnumgrade/internal/structs"
)

// Chooser is an algorithm that chooses a worker. Fleet implements it, and so do
// the simpler algorithms that benchmarks compare with it.
type Chooser interface {
	// Choose returns the slot of a worker that can hold r now, or false if it found
	// none. It commits nothing.
	Choose(r *Request) (Slot, bool)
}

// FirstFit chooses the first worker that can hold the task, in slot order.
type FirstFit struct{ Fleet *Fleet }

// Choose implements Chooser.
func (b FirstFit) Choose(r *Request) (Slot, bool) {
	for s := range Slot(len(b.Fleet.nodes)) {
		if b.Fleet.Eligible(s, r) {
			return s, true
		}
	}
	return NoSlot, false
}

// RandomFit chooses the first worker that can hold the task, in slot order from a
// random slot.
type RandomFit struct {
	Fleet  *Fleet
	Random *rand.Rand
}

// Choose implements Chooser.
func (b RandomFit) Choose(r *Request) (Slot, bool) {
	count := len(b.Fleet.nodes)
	if count == 0 {
		return NoSlot, false
	}
	start := b.Random.IntN(count)
	for i := range count {
		s := Slot((start + i) % count)
		if b.Fleet.Eligible(s, r) {
			return s, true
		}
	}
	return NoSlot, false
}

// PowerOfK draws K slots at random and chooses the best-scoring worker among those
// that can hold the task. On a nearly full fleet it often finds none.
type PowerOfK struct {
	Fleet  *Fleet
	Random *rand.Rand
	K      int
}

// Choose implements Chooser.
func (b PowerOfK) Choose(r *Request) (Slot, bool) {
	best := candidate{slot: NoSlot}
	if len(b.Fleet.nodes) == 0 {
		return NoSlot, false
	}
	for range b.K {
		s := Slot(b.Random.IntN(len(b.Fleet.nodes)))
		b.Fleet.consider(&best, s, r)
	}
	return best.slot, best.slot != NoSlot
}

// FirstFitDecreasing commits each size that fits to the first worker that can
// hold it, the largest sizes by dominant resource first. It returns how many sizes
// it committed and their sum.
func FirstFitDecreasing(f *Fleet, sizes []structs.Resources) (int, structs.Resources) {
	sorted := append([]structs.Resources(nil), sizes...)
	dominant := func(r structs.Resources) float64 {
		return max(ratio(r.MilliCPU, f.largest.MilliCPU), ratio(r.MemoryBytes, f.largest.MemoryBytes),
			ratio(r.Accelerators, f.largest.Accelerators))
	}
	sort.SliceStable(sorted, func(i, j int) bool { return dominant(sorted[i]) > dominant(sorted[j]) })
	return PlaceAll(f, FirstFit{f}, sorted)
}

// PlaceAll commits the sizes in order, each to the worker that c chooses, and
// leaves out those for which c finds none. It returns how many sizes it committed
// and their sum.
func PlaceAll(f *Fleet, c Chooser, sizes []structs.Resources) (int, structs.Resources) {
	placed := 0
	var sum structs.Resources
	for _, size := range sizes {
		s, ok := c.Choose(&Request{Size: size})
		if !ok {
			continue
		}
		f.Commit(s, size)
		placed++
		sum = sum.Add(size)
	}
	return placed, sum
}
