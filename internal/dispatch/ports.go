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
	port.ReplicatedLog
	// Term returns the current Raft term, which fences orders, and the commit
	// index.
	Term() (term, commit uint64)
}

// Target identifies one worker incarnation and the address at which it is called.
type Target struct {
	ID      string
	Address string
}

// StartOrder makes a worker start an attempt.
type StartOrder struct {
	Task cell.TaskKey
	Run  uint32
	// Spec is the job's specification, which is passed to the worker unchanged.
	Spec string
	// Checkpoint is the newest checkpoint of the task, empty if there is none.
	Checkpoint string
	// Ticket is the permission that the advice service issued for this step and
	// worker, empty if the queue needs no advice.
	Ticket string
	// DeadlineMS is the time on the worker's clock in milliseconds from which the
	// worker rejects the order.
	DeadlineMS int64
	Fence      uint64
}

// StopOrder makes a worker stop an attempt, or reject its start if it has not
// started yet.
type StopOrder struct {
	Task  cell.TaskKey
	Run   uint32
	Fence uint64
}

// PaceOrder limits the speed of an attempt.
type PaceOrder struct {
	Task cell.TaskKey
	Run  uint32
	// SpeedPercent is 0 to 100 percent of full speed. Attempts start at 100.
	SpeedPercent int
	Fence        uint64
}

// RenewLeaseOrder extends the lease that covers all attempts on a worker and
// requests the list of these attempts.
type RenewLeaseOrder struct {
	// DeadlineMS is the new end of the lease on the worker's clock in milliseconds,
	// 0 to leave the lease as it is.
	DeadlineMS int64
	Fence      uint64
	// AcknowledgedEnd is the number of the newest end that is committed; the
	// worker need not list this end and earlier ones again.
	AcknowledgedEnd uint64
	// MaxWait is how long the worker may wait for an attempt to end before it
	// answers.
	MaxWait time.Duration
}

// OrderAnswer is a worker's answer to an order. The zero value means no answer.
type OrderAnswer uint8

// Answers.
const (
	// Done means that the worker has carried out the order.
	Done OrderAnswer = iota + 1
	// StaleFence means that the worker has accepted an order of a later leader.
	StaleFence
	// StaleRun means that the attempt has already ended or was stopped on the
	// worker.
	StaleRun
	// PastDeadline means that the order arrived after its deadline.
	PastDeadline
	// NoCapacity means that the worker has too little free capacity.
	NoCapacity
	// BadTicket means that the worker rejected the advice ticket.
	BadTicket
	// WrongIncarnation means that another worker or a later incarnation answers at
	// the address.
	WrongIncarnation
	// Unhealthy means that the worker reported that it cannot serve now; it did
	// not carry out the order.
	Unhealthy
	// Invalid means that the worker could not interpret the order, or that its
	// answer is not one of those above.
	Invalid
)

// answerNames holds the texts for logs, indexed by OrderAnswer.
var answerNames = [...]string{"none", "done", "stale fence", "stale run", "past deadline", "no room", "bad ticket", "other life", "unhealthy", "invalid"}

// String returns the answer's text for logs.
func (a OrderAnswer) String() string {
	if int(a) < len(answerNames) {
		return answerNames[a]
	}
	return "unknown"
}

// OrderReply is a worker's reply to a start, stop or pace order.
type OrderReply struct {
	Answer OrderAnswer
	// ClockMS is the worker's clock in milliseconds, 0 if the reply has none.
	ClockMS int64
}

// RunningAttempt is an attempt that a worker lists as running.
type RunningAttempt struct {
	Task cell.TaskKey
	Run  uint32
	// Checkpoint is the newest checkpoint.
	Checkpoint string
	// ProgressPercent is the share of the work that is done. For a daemon task,
	// 100 means that the task is up and serving.
	ProgressPercent float64
	// Load is the tail of the response time in milliseconds for a daemon task,
	// and the processor use in thousandths of a core for other tasks.
	Load float64
}

// ListedEnd is the end of an attempt. The worker lists it until the leader
// acknowledges its number.
type ListedEnd struct {
	Number uint64
	cell.AttemptEnd
}

// AttemptListing is a worker's answer to a lease renewal: the attempts it has.
type AttemptListing struct {
	Answer  OrderAnswer
	ClockMS int64
	// Born identifies the incarnation that answered, 0 if the answer does not
	// state it.
	Born    int64
	Running []RunningAttempt
	Ended   []ListedEnd
	// EndsTruncated is set if the worker may have more ends than Ended contains. Then nothing
	// follows from the absence of an attempt.
	EndsTruncated bool
}

// Workers sends orders to workers. An error means that no answer arrived; the
// worker may still carry out the order later, unless the error is a *NotSentError.
type Workers interface {
	Start(ctx context.Context, t Target, o *StartOrder) (OrderReply, error)
	Stop(ctx context.Context, t Target, o *StopOrder) (OrderReply, error)
	Pace(ctx context.Context, t Target, o *PaceOrder) (OrderReply, error)
	RenewLease(ctx context.Context, t Target, o *RenewLeaseOrder) (*AttemptListing, error)
}

// NotSentError means that no part of an order was sent, so that the worker cannot
// carry it out.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// AdviceClient requests advice through the process of the cell at the peer
// address. Each process has at most one request to the advice service in flight.
type AdviceClient interface {
	Ask(ctx context.Context, peer string, q *cellapi.AdviceRequest) *cellapi.AdviceReply
}
