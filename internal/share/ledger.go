package share

import (
	"fmt"
	"math"
	"time"

	"laburnumgrade/internal/structs"
)

// Unlimited is the allotment of a team that may use any amount.
var Unlimited = structs.Resources{MilliCPU: math.MaxInt64, MemoryBytes: math.MaxInt64, Accelerators: math.MaxInt64}

// Team is the usage of one team.
type Team struct {
	Name string
	// Weight determines the team's fair share, which is the weight over the sum of
	// the weights of all teams.
	Weight float64
	// Allotment is what the team may use. With the zero value it may use nothing.
	Allotment structs.Resources
	InUse     structs.Resources
	// decayed is the average usage of processors, memory and accelerators, as
	// fractions of the capacity, with exponential decay by the ledger's half-life.
	decayed [3]float64
	// usageTime is the time up to which decayed is computed.
	usageTime time.Duration
}

// Ledger holds the usage of all teams. It is not safe for concurrent use.
type Ledger struct {
	// HalfLife is the age at which past usage has half the weight of present usage.
	HalfLife time.Duration
	// CurrentUsageWeight is the weight, 0 to 1, of current usage in ShareRatio. The
	// rest is that of decayed usage.
	CurrentUsageWeight float64
	capacity           structs.Resources
	teams              map[string]*Team
	totalWeight        float64
}

// Default parameters of a ledger.
const (
	DefaultHalfLife           = 60 * time.Second
	DefaultCurrentUsageWeight = 0.5
	defaultWeight             = 1
)

// NewLedger returns a ledger without teams, with the default parameters and
// capacity 0.
func NewLedger() *Ledger {
	return &Ledger{HalfLife: DefaultHalfLife, CurrentUsageWeight: DefaultCurrentUsageWeight, teams: map[string]*Team{}}
}

// SetCapacity sets the total capacity, of which the shares are fractions.
func (l *Ledger) SetCapacity(capacity structs.Resources) { l.capacity = capacity }

// SetTeam sets the weight and the allotment of a team, which it adds if needed. A
// weight of 0 or less stands for the default of 1.
func (l *Ledger) SetTeam(name string, weight float64, allotment structs.Resources) *Team {
	t := l.Team(name)
	if weight <= 0 {
		weight = defaultWeight
	}
	l.totalWeight += weight - t.Weight
	t.Weight = weight
	t.Allotment = allotment
	return t
}

// Team returns a team. It adds one that is not known, with the default weight and
// an allotment of zero.
func (l *Ledger) Team(name string) *Team {
	t, known := l.teams[name]
	if !known {
		t = &Team{Name: name, Weight: defaultWeight}
		l.totalWeight += defaultWeight
		l.teams[name] = t
	}
	return t
}

// Teams returns the number of teams.
func (l *Ledger) Teams() int { return len(l.teams) }

// Charge adds size to the usage of a team.
func (l *Ledger) Charge(t *Team, size structs.Resources, now time.Duration) {
	l.decayTo(t, now)
	t.InUse = t.InUse.Add(size)
}

// Refund subtracts size from the usage of a team.
func (l *Ledger) Refund(t *Team, size structs.Resources, now time.Duration) {
	l.decayTo(t, now)
	t.InUse = t.InUse.Sub(size)
}

// settle moves the decayed usage of a team forward to now.
func (l *Ledger) decayTo(t *Team, now time.Duration) {
	if now <= t.usageTime {
		return
	}
	keep := math.Exp2(-float64(now-t.usageTime) / float64(l.HalfLife))
	t.usageTime = now
	use := l.fractions(t.InUse)
	for d := range t.decayed {
		t.decayed[d] = t.decayed[d]*keep + use[d]*(1-keep)
	}
}

// fractions returns the amounts of r as fractions of the capacity.
func (l *Ledger) fractions(r structs.Resources) [3]float64 {
	return [3]float64{
		fraction(r.MilliCPU, l.capacity.MilliCPU),
		fraction(r.MemoryBytes, l.capacity.MemoryBytes),
		fraction(r.Accelerators, l.capacity.Accelerators),
	}
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// ShareRatio returns the dominant share of a team, from current and decayed
// usage, relative to its fair share: 0 if it uses nothing, 1 if it uses its fair
// share, 2 if it uses twice as much.
func (l *Ledger) ShareRatio(t *Team, now time.Duration) float64 {
	l.decayTo(t, now)
	use := l.fractions(t.InUse)
	dominant := 0.0
	for d := range use {
		dominant = max(dominant, l.CurrentUsageWeight*use[d]+(1-l.CurrentUsageWeight)*t.decayed[d])
	}
	return dominant * l.totalWeight / t.Weight
}

// DominantShare returns the largest of the fractions of processors, memory and
// accelerators that a team uses now.
func (l *Ledger) DominantShare(t *Team) float64 {
	use := l.fractions(t.InUse)
	return max(use[0], use[1], use[2])
}

// Room returns how many more tasks of a size the team's allotment permits, up to
// limit.
func (t *Team) Room(size structs.Resources, limit int) int {
	left := t.Allotment.Sub(t.InUse)
	n := int64(limit)
	n = min(n, tasksThatFit(left.MilliCPU, size.MilliCPU))
	n = min(n, tasksThatFit(left.MemoryBytes, size.MemoryBytes))
	n = min(n, tasksThatFit(left.Accelerators, size.Accelerators))
	return int(max(n, 0))
}

func tasksThatFit(left, size int64) int64 {
	if size <= 0 {
		return math.MaxInt64
	}
	return left / size
}

// OverAllotment reports whether the team uses more than its allotment.
func (t *Team) OverAllotment() bool { return !t.InUse.Fits(t.Allotment) }

// Shortage returns a message that names the resource of which the allotment has
// too little left to run n tasks of a size. The caller has found that it has.
func (t *Team) Shortage(size structs.Resources, n int) string {
	need := size.Scale(int64(n))
	left := t.Allotment.Sub(t.InUse)
	switch {
	case need.MilliCPU > left.MilliCPU:
		return fmt.Sprintf("team %q is at its allotment: needs %g cores; %g of %g are in use", t.Name,
			cores(need.MilliCPU), cores(t.InUse.MilliCPU), cores(t.Allotment.MilliCPU))
	case need.MemoryBytes > left.MemoryBytes:
		return fmt.Sprintf("team %q is at its allotment: needs %d MiB of memory; %d of %d are in use", t.Name,
			need.MemoryBytes>>20, t.InUse.MemoryBytes>>20, t.Allotment.MemoryBytes>>20)
	default:
		return fmt.Sprintf("team %q is at its allotment: needs %d accelerators; %d of %d are in use", t.Name,
			need.Accelerators, t.InUse.Accelerators, t.Allotment.Accelerators)
	}
}

func cores(milli int64) float64 { return float64(milli) / 1000 }
