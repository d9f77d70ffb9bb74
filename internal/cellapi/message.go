package cellapi

import "laburnumgrade/internal/cell"

// Call is a request to the leader. Exactly one field is set.
type Call struct {
	Submit *cell.Submit `cbor:"1,keyasint,omitempty"`
	// Status reads the state of a job or, if the path is that of a queue, the number of
	// its pending jobs.
	Status            *cell.Request       `cbor:"2,keyasint,omitempty"`
	Cancel            *cell.Request       `cbor:"3,keyasint,omitempty"`
	Configure         *cell.Configuration `cbor:"4,keyasint,omitempty"`
	ReadConfiguration *ReadConfiguration  `cbor:"5,keyasint,omitempty"`
	// Report passes on a worker's report.
	Report               *Report               `cbor:"6,keyasint,omitempty"`
	AnnounceAdviceCaller *AnnounceAdviceCaller `cbor:"7,keyasint,omitempty"`
	AnnounceReplica      *AnnounceReplica      `cbor:"8,keyasint,omitempty"`
	StartWave            *cell.StartWave       `cbor:"9,keyasint,omitempty"`
	ReadWave             *ReadWave             `cbor:"10,keyasint,omitempty"`
	// AnnounceLeader is the only call that goes to other processes than the leader.
	AnnounceLeader *AnnounceLeader `cbor:"11,keyasint,omitempty"`
	Evacuate       *cell.Evacuate  `cbor:"12,keyasint,omitempty"`
}

// RefusedAfterPause is the reason for the refusal of a call whose request may have waited while
// the process was paused.
const RefusedAfterPause = "the request may have waited while the process was paused"

// HasNoVersion reports whether the call is an operator's command that has no version, so that
// one that arrives late cannot be told from a new one.
func (c *Call) HasNoVersion() bool { return c.StartWave != nil || c.Evacuate != nil }

// ReadWave asks whether a wave of upkeep is complete.
type ReadWave struct {
	Number int64 `cbor:"1,keyasint,omitempty"`
}

// ReadConfiguration asks for the configuration in force.
type ReadConfiguration struct{}

// Report is a worker's report about itself.
type Report struct {
	cell.Register
	// Sequence increases with each report of an incarnation.
	Sequence uint64 `cbor:"20,keyasint,omitempty"`
	// ClockMS is the reading of the worker's own clock in milliseconds.
	ClockMS int64 `cbor:"21,keyasint,omitempty"`
	// ColdLeftMS is for how many milliseconds the worker remains slow after its start, 0 if
	// it is not.
	ColdLeftMS int64 `cbor:"22,keyasint,omitempty"`
}

// AnnounceAdviceCaller informs the leader that a process can call the advice service. It
// is repeated while the process runs.
type AnnounceAdviceCaller struct {
	// Peer is the address at which the process serves calls of other processes.
	Peer string `cbor:"1,keyasint,omitempty"`
	// UnixMS is the Unix time in milliseconds on the process's clock.
	UnixMS int64 `cbor:"2,keyasint,omitempty"`
}

// AnnounceReplica informs the leader that a replica of the cell's group is running, and
// that its process can call the advice service. It is repeated while the process runs.
type AnnounceReplica struct {
	// Replica is the id of the replica.
	Replica string `cbor:"1,keyasint,omitempty"`
	// Peer and UnixMS are as in AnnounceAdviceCaller.
	Peer   string `cbor:"2,keyasint,omitempty"`
	UnixMS int64  `cbor:"3,keyasint,omitempty"`
	// DataCentre is the data centre of the process.
	DataCentre string `cbor:"4,keyasint,omitempty"`
	// Format is the newest format of the state that the process applies. Releases without
	// formats leave it 0, which is cell.FormatNames.
	Format uint32 `cbor:"5,keyasint,omitempty"`
}

// AnnounceLeader informs a process that is no member of the cell's group who leads. It is
// repeated while the leader holds its lease.
type AnnounceLeader struct {
	// Leader is the peer address of the leader, and Term its term.
	Leader string `cbor:"1,keyasint,omitempty"`
	Term   uint64 `cbor:"2,keyasint,omitempty"`
}

// Reply is the answer to a Call. The call was carried out if Refused, Unknown and
// NotLeader are not set; Verdict then has its result.
type Reply struct {
	Verdict cell.Verdict   `cbor:"1,keyasint,omitempty"`
	Status  cell.JobStatus `cbor:"2,keyasint,omitempty"`
	// Pending is the number of pending jobs, if the request named a queue.
	Pending *int `cbor:"3,keyasint,omitempty"`
	// Complete is set if the requested wave is complete.
	Complete bool `cbor:"12,keyasint,omitempty"`
	// RetryAfterMS is after how many milliseconds a submission that was refused, or has the
	// verdict cell.Withdrawn, may be accepted if it is repeated; 0 if that is not known.
	RetryAfterMS int64 `cbor:"13,keyasint,omitempty"`
	// Source is the configuration in force, byte for byte as the operator sent it.
	Source []byte `cbor:"4,keyasint,omitempty"`
	// Members are the peer addresses of the control processes.
	Members []string `cbor:"5,keyasint,omitempty"`
	// Public is the address at which the leader receives the reports of workers.
	Public string `cbor:"6,keyasint,omitempty"`
	// AdviceCallers are the addresses of the processes that can call the advice service.
	// Replicas receive them in case they become the leader.
	AdviceCallers []string `cbor:"11,keyasint,omitempty"`
	// Refused is the reason why the call was certainly not carried out.
	Refused string `cbor:"7,keyasint,omitempty"`
	// Unknown is the reason why it is not known whether the call was carried out.
	Unknown string `cbor:"8,keyasint,omitempty"`
	// NotLeader is set if the process is not the leader; the call was not carried out.
	// Leader is then the peer address of the leader, empty if it is not known.
	Leader    string `cbor:"9,keyasint,omitempty"`
	NotLeader bool   `cbor:"10,keyasint,omitempty"`
	// AnsweredBy is the address of the process that answered or was called last, and
	// Tries the number of attempts to call. EarlierUnknown is the reason why the outcome of
	// an attempt before the last one is not known, empty if there is no such attempt. Client
	// sets all three; they are not sent.
	AnsweredBy     string `cbor:"-"`
	Tries          int    `cbor:"-"`
	EarlierUnknown string `cbor:"-"`
}

// AdviceRequest asks which of the given workers may run a step.
type AdviceRequest struct {
	Step    cell.StepKey `cbor:"1,keyasint,omitempty"`
	Workers []string     `cbor:"2,keyasint,omitempty"`
	// TimeoutMS is the time in milliseconds in which the request must be answered,
	// including the time in which it waits for earlier requests.
	TimeoutMS int64 `cbor:"3,keyasint,omitempty"`
	// CostMS is the stated duration of the call to the advice service in milliseconds.
	CostMS int64 `cbor:"4,keyasint,omitempty"`
}

// AdviceReply contains the workers that may run the step.
type AdviceReply struct {
	// Tickets has the ticket for each of these workers, by the worker's id. The ticket
	// must accompany the start of a task there.
	Tickets map[string]string `cbor:"1,keyasint,omitempty"`
	// ValidityMS is how long the tickets are valid, in milliseconds.
	ValidityMS int64 `cbor:"2,keyasint,omitempty"`
	// Error is the reason if no advice was obtained, and empty otherwise.
	Error string `cbor:"3,keyasint,omitempty"`
}
