package share

import (
	"fmt"
	"math"
	"time"

	"laburnumgrade/internal/structs"
)

// Unlimited is an allotment without a limit.
var Unlimited = structs.Resources{MilliCPU: math.MaxInt64, MemoryBytes: math.MaxInt64, Accelerators: math.MaxInt64}

// Team is the usage of one team. The zero allotment lets nothing run.
type Team struct {
	Name      string
	Weight    float64
	Allotment structs.Resources
	InUse     structs.Resources
	// decayed is the average usage of processors, memory and accelerators, as a
	// fraction of the capacity, weighted by age with the ledger's half-life.
	decayed [3]float64
	at      time.Duration
}

// Ledger holds the usage of all teams. It has one owner.
type Ledger struct {
	// HalfLife is the age at which past usage counts half.
	HalfLife time.Duration
	// CurrentUsageWeight is the part of current usage, against decayed usage, in ShareRatio.
	CurrentUsageWeight float64
	capacity           structs.Resources
	teams              map[string]*Team
	weights            float64
}

// Defaults of the ledger.
const (
	DefaultHalfLife           = 60 * time.Second
	DefaultCurrentUsageWeight = 0.5
	defaultWeight             = 1
)

// NewLedger returns a ledger without teams.
func NewLedger() *Ledger {
	return &Ledger{HalfLife: DefaultHalfLife, CurrentUsageWeight: DefaultCurrentUsageWeight, teams: map[string]*Team{}}
}

// SetCapacity sets the capacity that shares are fractions of.
func (l *Ledger) SetCapacity(capacity structs.Resources) { l.capacity = capacity }

// SetTeam sets the share and the allotment of a team; shares are relative to
// the sum over all teams.
func (l *Ledger) SetTeam(name string, weight float64, allotment structs.Resources) *Team {
	t := l.Team(name)
	if weight <= 0 {
		weight = defaultWeight
	}
	l.weights += weight - t.Weight
	t.Weight = weight
	t.Allotment = allotment
	return t
}

// Team returns a team; one that was never set has no allotment.
func (l *Ledger) Team(name string) *Team {
	t, known := l.teams[name]
	if !known {
		t = &Team{Name: name, Weight: defaultWeight}
		l.weights += defaultWeight
		l.teams[name] = t
	}
	return t
}

// Teams returns the number of teams.
func (l *Ledger) Teams() int { return len(l.teams) }

// Charge adds size to the usage of a team.
func (l *Ledger) Charge(t *Team, size structs.Resources, now time.Duration) {
	l.settle(t, now)
	t.InUse = t.InUse.Add(size)
}

// Refund subtracts size from the usage of a team.
func (l *Ledger) Refund(t *Team, size structs.Resources, now time.Duration) {
	l.settle(t, now)
	t.InUse = t.InUse.Sub(size)
}

// settle moves the decayed usage of a team forward to now.
func (l *Ledger) settle(t *Team, now time.Duration) {
	if now <= t.at {
		return
	}
	keep := math.Exp2(-float64(now-t.at) / float64(l.HalfLife))
	t.at = now
	use := l.fractions(t.InUse)
	for d := range t.decayed {
		t.decayed[d] = t.decayed[d]*keep + use[d]*(1-keep)
	}
}

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

// ShareRatio returns the dominant share of a team relative to its fair share, from
// current and decayed usage: 0 unused, 1 at its share, 2 at twice its share.
func (l *Ledger) ShareRatio(t *Team, now time.Duration) float64 {
	l.settle(t, now)
	use := l.fractions(t.InUse)
	dominant := 0.0
	for d := range use {
		dominant = max(dominant, l.CurrentUsageWeight*use[d]+(1-l.CurrentUsageWeight)*t.decayed[d])
	}
	return dominant * l.weights / t.Weight
}

// DominantShare returns the largest fraction of the capacity in use by a team.
func (l *Ledger) DominantShare(t *Team) float64 {
	use := l.fractions(t.InUse)
	return max(use[0], use[1], use[2])
}

// Room returns how many more tasks of a size the team's allotment permits, at
// most most.
func (t *Team) Room(size structs.Resources, most int) int {
	left := t.Allotment.Sub(t.InUse)
	n := int64(most)
	n = min(n, roomIn(left.MilliCPU, size.MilliCPU))
	n = min(n, roomIn(left.MemoryBytes, size.MemoryBytes))
	n = min(n, roomIn(left.Accelerators, size.Accelerators))
	return int(max(n, 0))
}

func roomIn(left, size int64) int64 {
	if size <= 0 {
		return math.MaxInt64
	}
	return left / size
}

// OverAllotment reports whether the team uses more than its allotment.
func (t *Team) OverAllotment() bool { return !t.InUse.Fits(t.Allotment) }

// Shortage says which dimension of the allotment keeps n tasks of a size
// from running.
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
