package timeline

import (
	"fmt"

	"laburnumgrade/internal/hlc"
)

// Kind is the kind of an event.
type Kind uint8

// Kinds of events.
const (
	KindUnspecified Kind = iota
	Submitted
	Admitted
	Refused
	Queued
	Recorded
	Planned
	AttemptCommitted
	LeaseGranted
	Started
	Ended
	AttemptLost
	Stopped
	Cancelled
	Answered
	Routed
	Forwarded
	Retried
	OutcomeUnknown
	ConfigApplied
	ConfigLeaseExpired
	LeaseExpired
	LeaderChanged
	MembershipChanged
	KeyGranted
	KeyWithdrawn
	DocumentChanged
	AllotmentMoved
	TargetAnnounced
	TargetLeft
	WorkerProbation
	ProcessStarted
	ProcessReady
	ProcessDraining
	ProcessStopped
	kindCount
)

// kindNames holds the name of each kind, as in JSON and in query parameters.
var kindNames = [kindCount]string{
	KindUnspecified:    "unspecified",
	Submitted:          "submitted",
	Admitted:           "admitted",
	Refused:            "refused",
	Queued:             "queued",
	Recorded:           "recorded",
	Planned:            "planned",
	AttemptCommitted:   "attempt_committed",
	LeaseGranted:       "lease_granted",
	Started:            "started",
	Ended:              "ended",
	AttemptLost:        "attempt_lost",
	Stopped:            "stopped",
	Cancelled:          "cancelled",
	Answered:           "answered",
	Routed:             "routed",
	Forwarded:          "forwarded",
	Retried:            "retried",
	OutcomeUnknown:     "outcome_unknown",
	ConfigApplied:      "config_applied",
	ConfigLeaseExpired: "config_lease_expired",
	LeaseExpired:       "lease_expired",
	LeaderChanged:      "leader_changed",
	MembershipChanged:  "membership_changed",
	KeyGranted:         "key_granted",
	KeyWithdrawn:       "key_withdrawn",
	DocumentChanged:    "document_changed",
	AllotmentMoved:     "allotment_moved",
	TargetAnnounced:    "target_announced",
	TargetLeft:         "target_left",
	WorkerProbation:    "worker_probation",
	ProcessStarted:     "process_started",
	ProcessReady:       "process_ready",
	ProcessDraining:    "process_draining",
	ProcessStopped:     "process_stopped",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k >= kindCount {
		return fmt.Sprintf("kind_%d", uint8(k))
	}
	return kindNames[k]
}

// ParseKind returns the kind with the given name.
func ParseKind(text string) (Kind, error) {
	for k, name := range kindNames {
		if name == text {
			return Kind(k), nil
		}
	}
	return KindUnspecified, fmt.Errorf("unknown kind of event %q", text)
}

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name, as from a
// newer version, yields KindUnspecified without an error, so that the lists of
// processes of different versions can be merged.
func (k *Kind) UnmarshalText(text []byte) error {
	*k, _ = ParseKind(string(text))
	return nil
}

// Event is an event in a process. Fields that do not apply to its kind are empty.
// Detail never contains a key.
type Event struct {
	Stamp      hlc.Stamp `json:"stamp"`
	Process    string    `json:"process"`
	DataCentre string    `json:"data_centre"`
	Kind       Kind      `json:"kind"`
	Job        string    `json:"job,omitempty"`
	// Task is the number of the task in its job, in decimal.
	Task    string `json:"task,omitempty"`
	Request string `json:"request,omitempty"`
	Attempt uint64 `json:"attempt,omitempty"`
	Team    string `json:"team,omitempty"`
	// Worker is the id of the worker or instance concerned.
	Worker string `json:"worker,omitempty"`
	// Peer is the name of the other process concerned.
	Peer   string `json:"peer,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// shardKey returns the id whose hash selects the shard of the event.
func (e *Event) shardKey() string {
	for _, id := range []string{e.Job, e.Request, e.Worker, e.Peer} {
		if id != "" {
			return id
		}
	}
	return e.Team
}
