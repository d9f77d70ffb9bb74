package cellapi

import "laburnumgrade/internal/cell"

// Call is a request to the leader; one field is set.
type Call struct {
	Submit               *cell.Submit          `cbor:"1,keyasint,omitempty"`
	Status               *cell.Request         `cbor:"2,keyasint,omitempty"`
	Cancel               *cell.Request         `cbor:"3,keyasint,omitempty"`
	Configure            *cell.Configuration   `cbor:"4,keyasint,omitempty"`
	ReadConfiguration    *ReadConfiguration    `cbor:"5,keyasint,omitempty"`
	Report               *Report               `cbor:"6,keyasint,omitempty"`
	AnnounceAdviceCaller *AnnounceAdviceCaller `cbor:"7,keyasint,omitempty"`
	AnnounceReplica      *AnnounceReplica      `cbor:"8,keyasint,omitempty"`
	StartWave            *cell.StartWave       `cbor:"9,keyasint,omitempty"`
	ReadWave             *ReadWave             `cbor:"10,keyasint,omitempty"`
}

// ReadWave asks how far a wave of upkeep is.
type ReadWave struct {
	Number int64 `cbor:"1,keyasint,omitempty"`
}

// ReadConfiguration asks for the configuration in force.
type ReadConfiguration struct{}

// Report is what a worker said of itself.
type Report struct {
	cell.Register
	// Sequence grows with each report of a life.
	Sequence uint64 `cbor:"20,keyasint,omitempty"`
	// ClockMS is the worker's own clock in milliseconds.
	ClockMS int64 `cbor:"21,keyasint,omitempty"`
}

// AnnounceAdviceCaller tells the leader that a process can be asked for advice.
type AnnounceAdviceCaller struct {
	// Peer is where the process serves calls of other processes.
	Peer string `cbor:"1,keyasint,omitempty"`
	// UnixMS is the time of day by the process's clock.
	UnixMS int64 `cbor:"2,keyasint,omitempty"`
}

// AnnounceReplica tells the leader that a replica lives.
type AnnounceReplica struct {
	Replica string `cbor:"1,keyasint,omitempty"`
	Peer    string `cbor:"2,keyasint,omitempty"`
	UnixMS  int64  `cbor:"3,keyasint,omitempty"`
}

// Reply answers a Call.
type Reply struct {
	Verdict cell.Verdict   `cbor:"1,keyasint,omitempty"`
	Status  cell.JobStatus `cbor:"2,keyasint,omitempty"`
	// Pending is set if the request named a queue.
	Pending *int `cbor:"3,keyasint,omitempty"`
	// Complete is set if the wave that was asked for is complete.
	Complete bool `cbor:"12,keyasint,omitempty"`
	// Source is the configuration as it was sent.
	Source []byte `cbor:"4,keyasint,omitempty"`
	// Members are the peer addresses of the control processes.
	Members []string `cbor:"5,keyasint,omitempty"`
	// Public is where the leader takes reports of workers.
	Public string `cbor:"6,keyasint,omitempty"`
	// AdviceCallers are the processes that can be asked for advice, for a process that
	// may lead next.
	AdviceCallers []string `cbor:"11,keyasint,omitempty"`
	// Refused says why the call was certainly not carried out.
	Refused string `cbor:"7,keyasint,omitempty"`
	// Unknown says why it may or may not have been carried out.
	Unknown string `cbor:"8,keyasint,omitempty"`
	// Leader is the peer address of the leader, if the process asked does not
	// lead; the call was not carried out.
	Leader    string `cbor:"9,keyasint,omitempty"`
	NotLeader bool   `cbor:"10,keyasint,omitempty"`
	// AnsweredBy is the process that answered or was asked last, and Tries how many were
	// asked. The client sets them; they are not sent.
	AnsweredBy string `cbor:"-"`
	Tries      int    `cbor:"-"`
}

// AdviceRequest asks which of the workers may run a step.
type AdviceRequest struct {
	Step    cell.StepKey `cbor:"1,keyasint,omitempty"`
	Workers []string     `cbor:"2,keyasint,omitempty"`
	// TimeoutMS bounds the call, in milliseconds.
	TimeoutMS int64 `cbor:"3,keyasint,omitempty"`
}

// AdviceReply names the workers that may run the step, each with a ticket.
type AdviceReply struct {
	Tickets    map[string]string `cbor:"1,keyasint,omitempty"`
	ValidityMS int64             `cbor:"2,keyasint,omitempty"`
	// Error is set if there was no answer.
	Error string `cbor:"3,keyasint,omitempty"`
}
