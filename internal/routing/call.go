package routing

import "time"

// ServiceID identifies a service of a team.
type ServiceID struct{ Team, Service string }

// Call holds the properties of a call on which the choice of an instance depends.
type Call struct {
	Service ServiceID
	// Deadline is when the answer must arrive, by the table's clock.
	Deadline time.Duration
	// Forwarded is set for a call from another entry; it is not forwarded again.
	Forwarded bool
	// Tried holds the ids of instances to which the call must not be sent again.
	Tried []string
}

// Refusal is the error for a call that was not run; its text is the reason.
type Refusal string

// Error implements error.
func (r Refusal) Error() string { return "not run: " + string(r) }

// Grant is the permission to send one call, either to an instance, of which it
// holds a slot, or to the entry that grants the slots of the instances. Each grant
// must be released by Table.Release.
type Grant struct {
	// Local is set if the call is sent to the instance, and not if it is forwarded.
	Local bool
	// InstanceID, Incarnation and Address (ip:port) are those of the instance of a local
	// grant.
	InstanceID  string
	Incarnation uint64
	Address     string
	// Entry and EntryAddress are the name and address of the entry to which a call
	// that is not local is forwarded.
	Entry        string
	EntryAddress string

	service  ServiceID
	instance *instance
	remote   *remote
}

// Result is the result of the use of a grant.
type Result int

// Results of a grant.
const (
	// NotSent means that nothing was sent.
	NotSent Result = iota
	// Answered means that the instance or entry answered.
	Answered
	// Unreachable means that no connection was made.
	Unreachable
	// NoValidAnswer means that the answer was lost, wrong or an error.
	NoValidAnswer
)

// Report describes the use of a grant. The table updates its estimate of the answer
// time and the backoff of the instance or entry by it.
type Report struct {
	Result Result
	// Took is the time from sending to the answer.
	Took time.Duration
	// Load is the load that the other entry returned with the answer to a forwarded
	// call; nil if there is none.
	Load *Load
}

// Load is the load of the instances of one service whose slots an entry grants.
type Load struct {
	FreeSlots    int
	WaitingCalls int // in the queue of the entry
	// ExpectedWait is the expected wait for a slot.
	ExpectedWait time.Duration
	// MeanServiceTime is the mean time to an answer; 0 if not known.
	MeanServiceTime time.Duration
}

// Ticket represents a submitted call, which waits or is granted.
type Ticket struct {
	call    Call
	ready   chan Grant
	pool    *pool
	waiting bool
}

// Ready returns the channel that delivers the grant.
func (t *Ticket) Ready() <-chan Grant { return t.ready }
