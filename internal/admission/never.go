package admission

import (
	"fmt"

	"laburnumgrade/internal/structs"
)

// Capacities is the set of distinct capacities of the known workers.
type Capacities interface {
	// Shapes returns the distinct capacities and the number of workers of each.
	Shapes() map[structs.Resources]int
	// Largest returns the largest amount of each dimension on any worker.
	Largest() structs.Resources
	// CapacityFor returns how many tasks of a size the empty workers could hold.
	CapacityFor(size structs.Resources) int64
}

// Infeasible returns why no worker, or for several tasks that must run together no
// set of workers, could ever hold them. It refuses nothing while no worker is
// known, since workers announce themselves.
func Infeasible(c Capacities, size structs.Resources, tasks int) (reason string, never bool) {
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
	held := c.CapacityFor(size)
	switch {
	case held == 0:
		return fmt.Sprintf("not run: needs %s on one worker; no worker has all of them", sizeText(size)), true
	case int64(tasks) > held:
		return fmt.Sprintf("not run: needs %d tasks at once; all workers together hold %d of this size", tasks, held), true
	}
	return "", false
}

func sizeText(r structs.Resources) string {
	return fmt.Sprintf("%g cores, %s of memory and %d accelerators",
		float64(r.MilliCPU)/1000, bytesText(r.MemoryBytes), r.Accelerators)
}

func bytesText(n int64) string {
	const mib = 1 << 20
	const gib = 1 << 30
	if n%gib == 0 {
		return fmt.Sprintf("%d GiB", n/gib)
	}
	return fmt.Sprintf("%.1f MiB", float64(n)/mib)
}
