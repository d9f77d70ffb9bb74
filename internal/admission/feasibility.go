package admission

import (
	"fmt"

	"laburnumgrade/internal/structs"
)

// Capacities gives the total capacities of the known workers, regardless of what
// they are running.
type Capacities interface {
	// Shapes returns the distinct capacities and the number of workers of each.
	Shapes() map[structs.Resources]int
	// Largest returns the largest amount of each resource on any worker. The
	// amounts may be those of different workers.
	Largest() structs.Resources
	// CapacityFor returns how many tasks of a size all workers together could hold
	// if they were empty.
	CapacityFor(size structs.Resources) int64
}

// Infeasible reports whether no worker could ever hold a task of a size, or
// whether all workers together could not hold the given number of tasks at once,
// and returns the reason, which starts with "not run: ". While no worker is known
// it returns false, because workers register by themselves.
func Infeasible(c Capacities, size structs.Resources, tasks int) (reason string, infeasible bool) {
	if len(c.Shapes()) == 0 {
		return "", false
	}
	largest := c.Largest()
	switch {
	case size.MilliCPU > largest.MilliCPU:
		return fmt.Sprintf("not run: needs %g cores; the largest worker has %g",
			float64(size.MilliCPU)/1000, float64(largest.MilliCPU)/1000), true
	case size.MemoryBytes > largest.MemoryBytes:
		return fmt.Sprintf("not run: needs %s of memory; the largest worker has %s",
			bytesText(size.MemoryBytes), bytesText(largest.MemoryBytes)), true
	case size.Accelerators > largest.Accelerators:
		return fmt.Sprintf("not run: needs %d accelerators; the largest worker has %d",
			size.Accelerators, largest.Accelerators), true
	}
	capacity := c.CapacityFor(size)
	switch {
	case capacity == 0:
		return fmt.Sprintf("not run: needs %s on one worker; no worker has all of them", sizeText(size)), true
	case int64(tasks) > capacity:
		return fmt.Sprintf("not run: needs %d tasks at once; all workers together hold %d of this size", tasks, capacity), true
	}
	return "", false
}

func sizeText(r structs.Resources) string {
	return fmt.Sprintf("%g cores, %s of memory and %d accelerators",
		float64(r.MilliCPU)/1000, bytesText(r.MemoryBytes), r.Accelerators)
}

// bytesText returns n in GiB if it is a whole number of them, and in MiB
// otherwise.
func bytesText(n int64) string {
	const mib = 1 << 20
	const gib = 1 << 30
	if n%gib == 0 {
		return fmt.Sprintf("%d GiB", n/gib)
	}
	return fmt.Sprintf("%.1f MiB", float64(n)/mib)
}
