package dispatch

import (
	"context"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/port"
)

// Log is the replicated log of the cell.
type Log interface {
	port.Log
	// Term returns the current term, which fences orders, and the commit index.
	Term() (term, commit uint64)
}

// Target is one life of a worker as it is called.
type Target struct {
	ID      string
	Address string
}

// StartOrder makes a worker start an attempt.
type StartOrder struct {
	Task       cell.TaskKey
	Run        uint32
	Spec       string
	Checkpoint string
	Ticket     string
	// DeadlineMS is on the worker's clock; later the order has no effect.
	DeadlineMS int64
	Fence      uint64
}

// StopOrder makes a worker stop an attempt, or never start it.
type StopOrder struct {
	Task  cell.TaskKey
	Run   uint32
	Fence uint64
}

// PaceOrder makes an attempt work at a share of its speed.
type PaceOrder struct {
	Task cell.TaskKey
	Run  uint32
	// SpeedPercent is 0 to 100; an attempt starts at 100.
	SpeedPercent int
	Fence        uint64
}

// RenewLeaseOrder extends the lease of all that runs on a worker and asks what does.
type RenewLeaseOrder struct {
	// DeadlineMS is the end of the lease on the worker's clock, 0 to leave it.
	DeadlineMS int64
	Fence      uint64
	// AcknowledgedEnd is the number of the newest end that is durably known.
	AcknowledgedEnd uint64
	// MaxWait is how long the worker may wait for an end before it answers.
	MaxWait time.Duration
}

// OrderAnswer is how a worker answered a start or stop.
type OrderAnswer uint8

// Answers.
const (
	// Done orders are carried out.
	Done OrderAnswer = iota + 1
	// StaleFence says that the worker follows a later leader.
	StaleFence
	// StaleRun says that the run has ended or was stopped there.
	StaleRun
	// PastDeadline says that the order came too late.
	PastDeadline
	// NoCapacity says that the worker refuses for want of capacity.
	NoCapacity
	// BadTicket says that the worker refuses the ticket.
	BadTicket
	// WrongIncarnation says that another life answers at the address.
	WrongIncarnation
	// Unhealthy workers have done nothing.
	Unhealthy
	// Invalid orders could not be read.
	Invalid
)

// answerNames are the answers as shown in logs; no answer comes first.
var answerNames = [...]string{"none", "done", "stale fence", "stale run", "past deadline", "no room", "bad ticket", "other life", "unhealthy", "invalid"}

// String returns the answer as shown in logs.
func (a OrderAnswer) String() string {
	if int(a) < len(answerNames) {
		return answerNames[a]
	}
	return "unknown"
}

// OrderReply is a worker's reply to a start or stop.
type OrderReply struct {
	Answer OrderAnswer
	// ClockMS is the worker's clock, 0 if it is not stated.
	ClockMS int64
}

// RunningAttempt is an attempt that a worker lists as running.
type RunningAttempt struct {
	Task cell.TaskKey
	Run  uint32
	// Checkpoint is the newest checkpoint.
	Checkpoint string
	// ProgressPercent is how much of the work is done; of a lasting task 100 means that
	// it is at work.
	ProgressPercent float64
	// Load is the response time tail of a lasting task in milliseconds, or the
	// processors in use in thousandths.
	Load float64
}

// ListedEnd is an end that a worker lists until it is noted.
type ListedEnd struct {
	Number uint64
	cell.AttemptEnd
}

// AttemptListing is what a worker says of the attempts it has.
type AttemptListing struct {
	Answer  OrderAnswer
	ClockMS int64
	Born    int64
	Running []RunningAttempt
	Ended   []ListedEnd
}

// Workers calls workers. An error means that there was no answer; the order may
// be carried out later, unless the error is a *NotSentError.
type Workers interface {
	Start(ctx context.Context, t Target, o *StartOrder) (OrderReply, error)
	Stop(ctx context.Context, t Target, o *StopOrder) (OrderReply, error)
	Pace(ctx context.Context, t Target, o *PaceOrder) (OrderReply, error)
	RenewLease(ctx context.Context, t Target, o *RenewLeaseOrder) (*AttemptListing, error)
}

// NotSentError says that no byte of an order has left.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// AdviceClient obtain advice from processes of the cell; each process makes one
// call at a time.
type AdviceClient interface {
	Ask(ctx context.Context, peer string, q *cellapi.AdviceRequest) *cellapi.AdviceReply
}
