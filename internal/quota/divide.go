package quota

import "laburnumgrade/internal/structs"

const (
	// reservePercent of a limit stays in the fleet's pool, so that a data centre
	// with new demand is granted some before another has returned any.
	reservePercent = 10
	// slackPercent of a limit is the surplus that a data centre is not asked to
	// return, so that small changes of demand move nothing.
	slackPercent = 5
)

// Usage is what a team runs, waits for and holds in one data centre.
type Usage struct {
	DataCentre       string
	Running, Waiting structs.Resources
	// Granted is what the fleet group has granted and not seen returned.
	Granted structs.Resources
}

// Adjustment is what a data centre is to be given or asked for.
type Adjustment struct {
	DataCentre string
	// Grant is to be moved from the pool to the data centre.
	Grant structs.Resources
	// Wanted is what the data centre is to keep of what it holds.
	Wanted structs.Resources
	// Return is set if the data centre holds notably more than Wanted.
	Return bool
	// Shed is set if what runs above Wanted is to be ended, since the limit was
	// lowered below what is granted.
	Shed bool
}

// Divide divides a team's limit by demand. The sum of the grants is at most the
// limit less what is granted.
func Divide(limit structs.Resources, sites []Usage) []Adjustment {
	shares := make([]Adjustment, len(sites))
	for i := range sites {
		shares[i].DataCentre = sites[i].DataCentre
	}
	for _, d := range dimensions {
		divide(d, d.get(&limit), sites, shares)
	}
	return shares
}

// dimension reads and writes one kind of resource.
type dimension struct {
	get func(*structs.Resources) int64
	set func(*structs.Resources, int64)
}

var dimensions = []dimension{
	{func(r *structs.Resources) int64 { return r.MilliCPU }, func(r *structs.Resources, v int64) { r.MilliCPU = v }},
	{func(r *structs.Resources) int64 { return r.MemoryBytes }, func(r *structs.Resources, v int64) { r.MemoryBytes = v }},
	{func(r *structs.Resources) int64 { return r.Accelerators }, func(r *structs.Resources, v int64) { r.Accelerators = v }},
}

func divide(d dimension, limit int64, sites []Usage, shares []Adjustment) {
	granted := int64(0)
	for i := range sites {
		granted += d.get(&sites[i].Granted)
	}
	wanted := targets(d, limit, sites)
	pool := limit - granted
	for i := range sites {
		held := d.get(&sites[i].Granted)
		d.set(&shares[i].Wanted, min(held, wanted[i]))
		surplus := held - wanted[i]
		switch {
		case surplus < 0:
			grant := min(-surplus, max(pool, 0))
			d.set(&shares[i].Grant, grant)
			pool -= grant
		case surplus > limit*slackPercent/100 || (granted > limit && surplus > 0):
			shares[i].Return = true
		}
		shares[i].Shed = shares[i].Shed || granted > limit
	}
}

// targets returns what each site is to hold. What runs comes first, then what
// waits in proportion, then an equal part of the rest but for the reserve.
func targets(d dimension, limit int64, sites []Usage) []int64 {
	running, waiting := int64(0), int64(0)
	for i := range sites {
		running += d.get(&sites[i].Running)
		waiting += d.get(&sites[i].Waiting)
	}
	list := make([]int64, len(sites))
	for i := range sites {
		runs := d.get(&sites[i].Running)
		if running > limit {
			list[i] = portion(limit, runs, running)
			continue
		}
		left := limit - running
		list[i] = runs + min(d.get(&sites[i].Waiting), portion(left, d.get(&sites[i].Waiting), waiting))
		if rest := left - waiting - limit*reservePercent/100; rest > 0 {
			list[i] += rest / int64(len(sites))
		}
	}
	return list
}

// portion returns amount times part over whole, rounded down, without overflow
// for amounts of memory.
func portion(amount, part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	return min(amount, int64(float64(amount)*(float64(part)/float64(whole))))
}
