package cell

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"laburnumgrade/internal/structs"
)

// Command is a change of the state; one field is set.
type Command struct {
	Configure *Configuration `cbor:"1,keyasint,omitempty"`
	Submit    *Submit        `cbor:"2,keyasint,omitempty"`
	Cancel    *Request       `cbor:"3,keyasint,omitempty"`
	Register  *Register      `cbor:"4,keyasint,omitempty"`
	Start     *Start         `cbor:"5,keyasint,omitempty"`
	Note      *Note          `cbor:"6,keyasint,omitempty"`
	Lapse     *Lapse         `cbor:"7,keyasint,omitempty"`
	Open      *OpenDue       `cbor:"8,keyasint,omitempty"`
	Forget    *Forget        `cbor:"9,keyasint,omitempty"`
}

// Request names a queue or a job of it as a client does.
type Request struct {
	Host string
	Path string
	Key  string
}

// Submit accepts a job.
type Submit struct {
	Request
	Job Submission
}

// Register states what a worker says of itself.
type Register struct {
	ID         string
	Born       int64
	Address    string
	DataCentre string
	Service    string
	Capacity   structs.Resources
	Labels     []string
	Draining   bool
	// Left is set if the worker says that it ends.
	Left bool
}

// Start commits attempts to workers. Attempts of a gang stand or fall together.
type Start struct{ Placements []Placement }

// Placement is one task on one worker.
type Placement struct {
	Task   TaskKey
	Run    uint32
	Worker string
	Born   int64
}

// Note takes in the ends that a worker lists.
type Note struct {
	Worker string
	Born   int64
	// Upto is the number of the newest end in the list.
	Upto uint64
	Ends []End
}

// End is how an attempt ended.
type End struct {
	Task  TaskKey
	Run   uint32
	How   Outcome
	Saved string
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

// Lapse ends all attempts of a worker's life: its lease has certainly run out.
type Lapse struct {
	Worker string
	Born   int64
}

// OpenDue makes the next occurrence of a scheduled job due.
type OpenDue struct {
	Job        string
	Occurrence int
}

// Forget drops ended jobs.
type Forget struct{ Jobs []string }

// Encode returns the command as bytes for the log.
func Encode(c *Command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}
