package placement

import "laburnumgrade/internal/structs"

// tasksPer returns how many tasks of a size an otherwise empty worker of a
// capacity can hold.
func tasksPer(capacity, size structs.Resources) int64 {
	n := int64(1 << 40)
	if size.MilliCPU > 0 {
		n = min(n, capacity.MilliCPU/size.MilliCPU)
	}
	if size.MemoryBytes > 0 {
		n = min(n, capacity.MemoryBytes/size.MemoryBytes)
	}
	if size.Accelerators > 0 {
		n = min(n, capacity.Accelerators/size.Accelerators)
	}
	return n
}

// CapacityFor returns how many tasks of a size the fleet could hold if it were
// empty. Leaving, lost and probation workers count, since they may return.
func (f *Fleet) CapacityFor(size structs.Resources) int64 {
	sum := int64(0)
	for shape, count := range f.shapes {
		sum += tasksPer(shape, size) * int64(count)
	}
	return sum
}

// Largest returns the largest amount of each dimension on any worker.
func (f *Fleet) Largest() structs.Resources { return f.largest }
