package cell

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"laburnumgrade/internal/structs"
)

// Command is one change of the state. Exactly one field is set.
type Command struct {
	Configure         *Configuration     `cbor:"1,keyasint,omitempty"`
	Submit            *Submit            `cbor:"2,keyasint,omitempty"`
	Cancel            *Request           `cbor:"3,keyasint,omitempty"`
	Register          *Register          `cbor:"4,keyasint,omitempty"`
	Start             *Start             `cbor:"5,keyasint,omitempty"`
	RecordEnds        *RecordEnds        `cbor:"6,keyasint,omitempty"`
	ExpireLease       *ExpireLease       `cbor:"7,keyasint,omitempty"`
	OpenOccurrences   *OpenOccurrences   `cbor:"8,keyasint,omitempty"`
	DeleteJobs        *DeleteJobs        `cbor:"9,keyasint,omitempty"`
	StartWave         *StartWave         `cbor:"10,keyasint,omitempty"`
	SettleMachine     *SettleMachine     `cbor:"11,keyasint,omitempty"`
	TakeDown          *TakeDown          `cbor:"12,keyasint,omitempty"`
	ForgetWithdrawals *ForgetWithdrawals `cbor:"13,keyasint,omitempty"`
	Evacuate          *Evacuate          `cbor:"14,keyasint,omitempty"`
	AdoptFormat       *AdoptFormat       `cbor:"15,keyasint,omitempty"`
}

// Request identifies a queue, or a job of it, by the host and path that a client
// requested, together with the client's key. The part of Path after the queue's
// prefix is the id of the job.
type Request struct {
	Host string `cbor:"1,keyasint,omitempty"`
	Path string `cbor:"2,keyasint,omitempty"`
	Key  string `cbor:"3,keyasint,omitempty"`
}

// Submit adds a job; its id is the last part of the request's path. A job that is
// known already is left as it is.
type Submit struct {
	Request
	Job Submission `cbor:"10,keyasint,omitempty"`
	// AcceptedMS is the Unix time in milliseconds at which the leader accepted the job, 0 if an
	// earlier release did.
	AcceptedMS int64 `cbor:"11,keyasint,omitempty"`
}

// Register records what a worker reports about itself.
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
	// Deregistered is set once the worker has announced that it is shutting down and nothing
	// runs there any more. It ends all attempts on the worker.
	Deregistered bool `cbor:"9,keyasint,omitempty"`
	// Number increases with each report of an incarnation; it is 0 for an announcement of
	// shutting down.
	Number uint64 `cbor:"11,keyasint,omitempty"`
	// Started lists the attempts that had certainly started on the incarnations that this
	// one replaces, without settled ones.
	Started []StartedAttempt `cbor:"12,keyasint,omitempty"`
	// Departing is set if the worker announced that it is shutting down. Its attempts may
	// run until it has ended.
	Departing bool `cbor:"13,keyasint,omitempty"`
	// CountsLives is set if the leader fences the incarnations under an ID and lists in Proven
	// the attempts that the replaced one itself has certainly started. The others stay committed,
	// since this incarnation may carry out their start orders. Leaders of earlier releases do
	// not set it, and their commands must have the same effect as before.
	CountsLives bool             `cbor:"14,keyasint,omitempty"`
	Proven      []StartedAttempt `cbor:"15,keyasint,omitempty"`
}

// Start commits attempts to workers. Consecutive placements of the same step are
// committed all or none if the step is a gang, and one by one otherwise.
type Start struct{ Placements []Placement }

// Placement assigns one attempt of a task to one incarnation of a worker.
type Placement struct {
	Task   TaskKey `cbor:"1,keyasint,omitempty"`
	Run    uint32  `cbor:"2,keyasint,omitempty"`
	Worker string  `cbor:"3,keyasint,omitempty"`
	Born   int64   `cbor:"4,keyasint,omitempty"`
}

// RecordEnds records the attempt ends that a worker listed.
type RecordEnds struct {
	Worker string `cbor:"1,keyasint,omitempty"`
	Born   int64  `cbor:"2,keyasint,omitempty"`
	// LastEnd is the number of the newest end in the worker's list.
	LastEnd uint64       `cbor:"3,keyasint,omitempty"`
	Ends    []AttemptEnd `cbor:"4,keyasint,omitempty"`
	// Alive is set if the incarnation itself has answered, so that it has not crashed.
	Alive bool `cbor:"5,keyasint,omitempty"`
	// Started lists attempts that have started, as far as this has to outlive the leader.
	Started []StartedAttempt `cbor:"6,keyasint,omitempty"`
	// Settled lists attempts that have run for so long that a crash of the worker is hardly
	// caused by them, and Sound those that have run for so long that earlier crashes no
	// longer count.
	Settled []StartedAttempt `cbor:"7,keyasint,omitempty"`
	Sound   []StartedAttempt `cbor:"8,keyasint,omitempty"`
	// EarlierOrdersOver is set if no order for an earlier incarnation can have an effect any
	// more.
	EarlierOrdersOver bool `cbor:"9,keyasint,omitempty"`
	// Unanswered lists attempts of which a try of the start order had no answer. It is recorded
	// for whatever incarnation has the attempt.
	Unanswered []StartedAttempt `cbor:"10,keyasint,omitempty"`
	// SettledStarts is the number of unanswered tries of which none may be carried out any more,
	// 0 if some may.
	SettledStarts uint64 `cbor:"11,keyasint,omitempty"`
}

// AttemptEnd states how an attempt ended.
type AttemptEnd struct {
	Task       TaskKey `cbor:"1,keyasint,omitempty"`
	Run        uint32  `cbor:"2,keyasint,omitempty"`
	Outcome    Outcome `cbor:"3,keyasint,omitempty"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// EndedDone attempts completed their task.
	EndedDone Outcome = iota + 1
	// EndedFailed attempts failed and count towards the queue's MaxFailures.
	EndedFailed
	// EndedEarly attempts were stopped, lost their lease, or ended because another
	// member of their gang did. They do not count as failures.
	EndedEarly
	// EndedUnstarted attempts were never started by the worker.
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

// ExpireLease ends all attempts on an incarnation of a worker. It is proposed only
// once the worker's lease has certainly expired, so that none of the attempts can still
// be running.
type ExpireLease struct {
	Worker string `cbor:"1,keyasint,omitempty"`
	Born   int64  `cbor:"2,keyasint,omitempty"`
	// Started lists the attempts that had certainly started, without settled ones.
	Started []StartedAttempt `cbor:"3,keyasint,omitempty"`
	// RanOut is set if the lease had run out before it was known whether the worker has
	// crashed. Only the attempts in Started then count as certainly started: others may
	// have ended before the worker crashed.
	RanOut bool `cbor:"4,keyasint,omitempty"`
	// Begun lists the jobs of all attempts that had certainly started.
	Begun []string `cbor:"5,keyasint,omitempty"`
	// Selected is set if only the attempts in Ended end. Those in Inherited may run on a later
	// incarnation under the ID.
	Selected  bool             `cbor:"6,keyasint,omitempty"`
	Ended     []StartedAttempt `cbor:"7,keyasint,omitempty"`
	Inherited []StartedAttempt `cbor:"8,keyasint,omitempty"`
}

// StartedAttempt identifies an attempt that a worker has confirmed.
type StartedAttempt struct {
	Task TaskKey `cbor:"1,keyasint,omitempty"`
	Run  uint32  `cbor:"2,keyasint,omitempty"`
}

// OpenOccurrences opens the occurrences of scheduled jobs that have become due.
type OpenOccurrences struct {
	Occurrences []OccurrenceKey `cbor:"3,keyasint,omitempty"`
}

// OccurrenceKey identifies one occurrence of a job. Number counts from 0.
type OccurrenceKey struct {
	Job    string `cbor:"1,keyasint,omitempty"`
	Number int    `cbor:"2,keyasint,omitempty"`
}

// DeleteJobs deletes jobs that have ended; active jobs are kept.
type DeleteJobs struct{ Jobs []string }

// Encode returns the CBOR encoding of the command for the log.
func Encode(c *Command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}
