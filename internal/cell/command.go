package cell

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"laburnumgrade/internal/structs"
)

// Command is a change of the state; one field is set.
type Command struct {
	Configure       *Configuration   `cbor:"1,keyasint,omitempty"`
	Submit          *Submit          `cbor:"2,keyasint,omitempty"`
	Cancel          *Request         `cbor:"3,keyasint,omitempty"`
	Register        *Register        `cbor:"4,keyasint,omitempty"`
	Start           *Start           `cbor:"5,keyasint,omitempty"`
	RecordEnds      *RecordEnds      `cbor:"6,keyasint,omitempty"`
	ExpireLease     *ExpireLease     `cbor:"7,keyasint,omitempty"`
	OpenOccurrences *OpenOccurrences `cbor:"8,keyasint,omitempty"`
	DeleteJobs      *DeleteJobs      `cbor:"9,keyasint,omitempty"`
	StartWave       *StartWave       `cbor:"10,keyasint,omitempty"`
	SettleMachine   *SettleMachine   `cbor:"11,keyasint,omitempty"`
}

// Request names a queue or a job of it as a client does.
type Request struct {
	Host string `cbor:"1,keyasint,omitempty"`
	Path string `cbor:"2,keyasint,omitempty"`
	Key  string `cbor:"3,keyasint,omitempty"`
}

// Submit accepts a job.
type Submit struct {
	Request
	Job Submission `cbor:"10,keyasint,omitempty"`
}

// Register states what a worker says of itself.
type Register struct {
	ID         string            `cbor:"1,keyasint,omitempty"`
	Born       int64             `cbor:"2,keyasint,omitempty"`
	Address    string            `cbor:"3,keyasint,omitempty"`
	DataCentre string            `cbor:"4,keyasint,omitempty"`
	Service    string            `cbor:"5,keyasint,omitempty"`
	Capacity   structs.Resources `cbor:"6,keyasint,omitempty"`
	Labels     []string          `cbor:"7,keyasint,omitempty"`
	Rack       string            `cbor:"10,keyasint,omitempty"`
	Draining   bool              `cbor:"8,keyasint,omitempty"`
	// Deregistered is set if the worker says that it ends.
	Deregistered bool `cbor:"9,keyasint,omitempty"`
}

// Start commits attempts to workers. Attempts of a gang stand or fall together.
type Start struct{ Placements []Placement }

// Placement is one task on one worker.
type Placement struct {
	Task   TaskKey `cbor:"1,keyasint,omitempty"`
	Run    uint32  `cbor:"2,keyasint,omitempty"`
	Worker string  `cbor:"3,keyasint,omitempty"`
	Born   int64   `cbor:"4,keyasint,omitempty"`
}

// RecordEnds takes in the ends that a worker lists.
type RecordEnds struct {
	Worker string `cbor:"1,keyasint,omitempty"`
	Born   int64  `cbor:"2,keyasint,omitempty"`
	// LastEnd is the number of the newest end in the list.
	LastEnd uint64       `cbor:"3,keyasint,omitempty"`
	Ends    []AttemptEnd `cbor:"4,keyasint,omitempty"`
}

// AttemptEnd is how an attempt ended.
type AttemptEnd struct {
	Task       TaskKey `cbor:"1,keyasint,omitempty"`
	Run        uint32  `cbor:"2,keyasint,omitempty"`
	Outcome    Outcome `cbor:"3,keyasint,omitempty"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// EndedDone attempts have done their work.
	EndedDone Outcome = iota + 1
	// EndedFailed attempts count against the attempts of the queue.
	EndedFailed
	// EndedEarly attempts were stopped, ran out of their lease, or lost
	// another member of their gang.
	EndedEarly
	// EndedUnstarted attempts have certainly never run.
	EndedUnstarted
)

// String returns the outcome as shown in logs.
func (o Outcome) String() string {
	switch o {
	case EndedDone:
		return "done"
	case EndedFailed:
		return "failed"
	case EndedEarly:
		return "early"
	case EndedUnstarted:
		return "unstarted"
	}
	return "unknown"
}

// ExpireLease ends all attempts of a worker's life: its lease has certainly run out.
type ExpireLease struct {
	Worker string `cbor:"1,keyasint,omitempty"`
	Born   int64  `cbor:"2,keyasint,omitempty"`
}

// OpenOccurrences makes the next occurrences of scheduled jobs due.
type OpenOccurrences struct {
	Occurrences []OccurrenceKey `cbor:"3,keyasint,omitempty"`
}

// OccurrenceKey names one run of all steps of a job.
type OccurrenceKey struct {
	Job    string `cbor:"1,keyasint,omitempty"`
	Number int    `cbor:"2,keyasint,omitempty"`
}

// DeleteJobs drops ended jobs.
type DeleteJobs struct{ Jobs []string }

// Encode returns the command as bytes for the log.
func Encode(c *Command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}
