package dispatch

import "context"

// MachineState is what the platform says of a machine.
type MachineState uint8

// States of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInUpkeep
	MachineDown
)

// Machine is what workers run on. A worker is one life of a machine.
type Machine struct {
	ID    string
	State MachineState
	// Worker is the id of the worker that runs on it, empty if none does.
	Worker string
}

// UpkeepOrder takes a machine down for its upkeep.
type UpkeepOrder struct {
	Machine string
	Wave    int64
	// Holder is the process that orders, Fence its term.
	Holder string
	Fence  uint64
}

// UpkeepAnswer is how the platform answered an order.
type UpkeepAnswer uint8

// Answers.
const (
	// UpkeepBegun says that the upkeep begins or has begun: all that ran there ended.
	UpkeepBegun UpkeepAnswer = iota + 1
	// UpkeepBusy machines are not up, or their worker leaves.
	UpkeepBusy
	// UpkeepNotOfWave machines are not of the wave.
	UpkeepNotOfWave
	// UpkeepStaleFence says that a later holder has ordered.
	UpkeepStaleFence
	// UpkeepNoMachine says that there is no such machine.
	UpkeepNoMachine
	// UpkeepUnavailable says that the platform takes no orders now.
	UpkeepUnavailable
)

// upkeepNames are the answers as shown in logs; no answer comes first.
var upkeepNames = [...]string{"none", "begun", "busy", "not of the wave", "stale fence", "no machine", "later"}

// String returns the answer as shown in logs.
func (a UpkeepAnswer) String() string {
	if int(a) < len(upkeepNames) {
		return upkeepNames[a]
	}
	return "unknown"
}

// Machines is the platform's service for machines. An error means that there was no
// answer; an order may be carried out later.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Upkeep(ctx context.Context, o *UpkeepOrder) (UpkeepAnswer, error)
}
