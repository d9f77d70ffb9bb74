package placement

import "laburnumgrade/internal/structs"

// unboundedTasks is the number of tasks of size zero that a worker can hold. It
// is low enough that the sum over all workers does not overflow.
const unboundedTasks = int64(1 << 40)

// tasksPerWorker returns how many tasks of a size fit into an amount of
// resources, none of which may be negative.
func tasksPerWorker(capacity, size structs.Resources) int64 {
	n := unboundedTasks
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

// CapacityFor returns how many tasks of a size all workers together could hold
// if they were empty. Workers that are leaving, lost or on probation count, since
// they may return.
func (f *Fleet) CapacityFor(size structs.Resources) int64 {
	sum := int64(0)
	for shape, count := range f.shapes {
		sum += tasksPerWorker(shape, size) * int64(count)
	}
	return sum
}

// Largest returns the largest capacity of each resource on any worker. The
// amounts may be those of different workers.
func (f *Fleet) Largest() structs.Resources { return f.largest }
