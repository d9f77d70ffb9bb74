package dispatch

import "context"

// MachineState is the state of a machine as the platform states it. The zero value
// is no state.
type MachineState uint8

// States of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInUpkeep
	MachineDown
)

// Machine is a machine on which workers run, one at a time.
type Machine struct {
	ID    string
	State MachineState
	// Worker is the ID of the worker that runs on the machine, empty if there is
	// none.
	Worker string
}

// UpkeepOrder takes a machine down for maintenance, which the platform calls
// upkeep.
type UpkeepOrder struct {
	Machine string
	// Wave is the number of the upkeep wave, a set of machines that are taken down
	// a few at a time.
	Wave int64
	// Holder is the name of the process that sends the order, Fence its term.
	Holder string
	Fence  uint64
}

// UpkeepAnswer is the platform's answer to an upkeep order. The zero value means
// no answer.
type UpkeepAnswer uint8

// Answers.
const (
	// UpkeepBegun means that the upkeep begins or has already begun. All attempts
	// on the machine have ended, unless the upkeep was carried out earlier and the
	// machine runs a later worker.
	UpkeepBegun UpkeepAnswer = iota + 1
	// UpkeepBusy means that the machine is not up or its worker is leaving.
	UpkeepBusy
	// UpkeepNotOfWave means that the machine is not part of the wave.
	UpkeepNotOfWave
	// UpkeepStaleFence means that a later holder has sent an order.
	UpkeepStaleFence
	// UpkeepNoMachine means that the machine does not exist.
	UpkeepNoMachine
	// UpkeepUnavailable means that the platform accepts no orders at the moment.
	UpkeepUnavailable
)

// upkeepNames holds the texts for logs, indexed by UpkeepAnswer.
var upkeepNames = [...]string{"none", "begun", "busy", "not of the wave", "stale fence", "no machine", "later"}

// String returns the answer's text for logs.
func (a UpkeepAnswer) String() string {
	if int(a) < len(upkeepNames) {
		return upkeepNames[a]
	}
	return "unknown"
}

// Machines is the platform's machine service. An error means that no answer
// arrived; the platform may still carry out the order later.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Upkeep(ctx context.Context, o *UpkeepOrder) (UpkeepAnswer, error)
}
