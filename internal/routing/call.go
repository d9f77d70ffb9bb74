package routing

import "time"

// ServiceID names a service of a team.
type ServiceID struct{ Team, Service string }

// Call is what the choice of an instance depends on.
type Call struct {
	Service ServiceID
	// Deadline is when the answer must arrive, by the table's clock.
	Deadline time.Duration
	// Forwarded is set for a call from another entry; it is not forwarded again.
	Forwarded bool
	// Tried names instances that are not to be tried again.
	Tried []string
}

// Refusal is why a call was not run.
type Refusal string

// Error implements error.
func (r Refusal) Error() string { return "not run: " + string(r) }

// Grant is the permission to send one call: to an instance whose slot is taken
// for it, or to the entry that hands out the slots.
type Grant struct {
	// Local is true if the call goes to the instance.
	Local       bool
	InstanceID  string
	Incarnation uint64
	Address     string
	// Entry and EntryAddress are where a call that is not local is forwarded.
	Entry        string
	EntryAddress string

	service  ServiceID
	instance *instance
	remote   *remote
}

// Result is how the use of a grant ended.
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

// Report is what the user of a grant learned.
type Report struct {
	Result Result
	// Took is the time from sending to the answer.
	Took time.Duration
	// Load is the load that a forward returned; nil if none.
	Load *Load
}

// Load is how busy an entry's instances of one service are.
type Load struct {
	FreeSlots    int
	WaitingCalls int
	// ExpectedWait is the expected wait for a slot.
	ExpectedWait time.Duration
	// MeanServiceTime is the mean time to an answer; 0 if not known.
	MeanServiceTime time.Duration
}

// Ticket is a call's place in the table: granted or waiting.
type Ticket struct {
	call    Call
	ready   chan Grant
	pool    *pool
	waiting bool
}

// Ready delivers the grant.
func (t *Ticket) Ready() <-chan Grant { return t.ready }
