package quota

import "laburnumgrade/internal/structs"

const (
	// poolReservePercent of a limit is not granted while there is no demand for it,
	// so that a data centre with new demand can get a grant before another has
	// returned something.
	poolReservePercent = 10
	// returnSlackPercent of a limit is the surplus up to which a data centre is not
	// asked to return something, so that small changes of demand cause no transfers.
	returnSlackPercent = 5
)

// Usage describes a team in one data centre.
type Usage struct {
	DataCentre string
	// Running is the sum of the sizes of the team's running tasks, Waiting that of
	// its waiting tasks.
	Running, Waiting structs.Resources
	// Granted is what the fleet group has granted to the data centre and not yet
	// recorded as returned.
	Granted structs.Resources
}

// Adjustment is a change of a team's allotment in one data centre.
type Adjustment struct {
	DataCentre string
	// Grant is to be granted in addition, from the part of the limit that is not
	// granted to any data centre.
	Grant structs.Resources
	// Wanted is what the data centre is to keep of what it has been granted.
	Wanted structs.Resources
	// Return is set if the data centre holds enough above Wanted to be asked to
	// return it.
	Return bool
	// Shed is set if attempts that run above Wanted are to be ended, because the
	// limit is lower than the sum of what is granted.
	Shed bool
}

// Divide computes, from a team's limit and its usage in each data centre, the
// adjustments of the allotments, in the order of usages. The sum of the grants is
// at most the part of the limit that is not granted yet.
func Divide(limit structs.Resources, usages []Usage) []Adjustment {
	adjustments := make([]Adjustment, len(usages))
	for i := range usages {
		adjustments[i].DataCentre = usages[i].DataCentre
	}
	for _, d := range dimensions {
		divideDimension(d, d.get(&limit), usages, adjustments)
	}
	return adjustments
}

// dimension reads and writes the amount of one kind of resource.
type dimension struct {
	get func(*structs.Resources) int64
	set func(*structs.Resources, int64)
}

var dimensions = []dimension{
	{func(r *structs.Resources) int64 { return r.MilliCPU }, func(r *structs.Resources, v int64) { r.MilliCPU = v }},
	{func(r *structs.Resources) int64 { return r.MemoryBytes }, func(r *structs.Resources, v int64) { r.MemoryBytes = v }},
	{func(r *structs.Resources) int64 { return r.Accelerators }, func(r *structs.Resources, v int64) { r.Accelerators = v }},
}

// divideDimension divides the limit of one kind of resource.
func divideDimension(d dimension, limit int64, usages []Usage, adjustments []Adjustment) {
	granted := int64(0)
	for i := range usages {
		granted += d.get(&usages[i].Granted)
	}
	wanted := wantedAmounts(d, limit, usages)
	pool := limit - granted
	for i := range usages {
		held := d.get(&usages[i].Granted)
		d.set(&adjustments[i].Wanted, min(held, wanted[i]))
		surplus := held - wanted[i]
		switch {
		case surplus < 0:
			grant := min(-surplus, max(pool, 0))
			d.set(&adjustments[i].Grant, grant)
			pool -= grant
		case surplus > limit*returnSlackPercent/100 || (granted > limit && surplus > 0):
			adjustments[i].Return = true
		}
		adjustments[i].Shed = adjustments[i].Shed || granted > limit
	}
}

// wantedAmounts returns what each data centre is to hold. Each gets what it runs,
// then a part of what is left in proportion to what waits there, then an equal part
// of the rest beyond the reserve. If more runs than the limit, the limit is divided
// in proportion to what runs.
func wantedAmounts(d dimension, limit int64, usages []Usage) []int64 {
	running, waiting := int64(0), int64(0)
	for i := range usages {
		running += d.get(&usages[i].Running)
		waiting += d.get(&usages[i].Waiting)
	}
	list := make([]int64, len(usages))
	for i := range usages {
		runs := d.get(&usages[i].Running)
		if running > limit {
			list[i] = portion(limit, runs, running)
			continue
		}
		left := limit - running
		list[i] = runs + min(d.get(&usages[i].Waiting), portion(left, d.get(&usages[i].Waiting), waiting))
		if rest := left - waiting - limit*poolReservePercent/100; rest > 0 {
			list[i] += rest / int64(len(usages))
		}
	}
	return list
}

// portion returns amount x part / whole, rounded down, or 0 if whole is 0. It
// computes in floating point, since the product of two amounts of memory in bytes
// would overflow.
func portion(amount, part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	return min(amount, int64(float64(amount)*(float64(part)/float64(whole))))
}
