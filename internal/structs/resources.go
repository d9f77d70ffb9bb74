package structs

import "laburnumgrade/gen/apiv1"

// Resources is an amount of processing power, memory and accelerators.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU    int64
	MemoryBytes int64
	// Accelerators is a number of whole devices.
	Accelerators int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. A dimension of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryBytes * n, r.Accelerators * n}
}

// Fits reports whether r does not exceed capacity in any dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryBytes <= capacity.MemoryBytes && r.Accelerators <= capacity.Accelerators
}

// Max returns the larger amount in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryBytes, o.MemoryBytes), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller amount in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryBytes, o.MemoryBytes), min(r.Accelerators, o.Accelerators)}
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Proto returns r as a protobuf message.
func (r Resources) Proto() *apiv1.Resources {
	return &apiv1.Resources{MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

// ResourcesFromProto returns the amounts in a protobuf message; zero for nil.
func ResourcesFromProto(p *apiv1.Resources) Resources {
	return Resources{p.GetMilliCpu(), p.GetMemoryBytes(), p.GetAccelerators()}
}
