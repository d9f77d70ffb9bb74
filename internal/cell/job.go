package cell

import (
	"laburnumgrade/internal/structs"
)

// JobState is the state of a job. A job ends in one of the states Complete, Failed
// and Cancelled.
type JobState uint8

// Job states.
const (
	Active JobState = iota
	Complete
	Failed
	Cancelled
)

// String returns the state as shown in logs.
func (s JobState) String() string {
	switch s {
	case Active:
		return "active"
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Step is a group of equal tasks of a job, as submitted.
type Step struct {
	// Count is the number of tasks, and Size the resources that each of them needs.
	Count int               `cbor:"1,keyasint,omitempty"`
	Size  structs.Resources `cbor:"2,keyasint,omitempty"`
	// EstimateMS is a rough estimate of a task's duration, in milliseconds.
	EstimateMS int64 `cbor:"3,keyasint,omitempty"`
	// DependsOn lists the indexes of the steps that must be done first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpointable tasks can resume from a checkpoint.
	Checkpointable bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks start, fail and complete together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack requests that the tasks of the step run on workers of one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the workers must have, or empty.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the data of the tasks, or empty.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the attempts of an occurrence of the step on one worker;
	// 0 means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative and Image are stored with the job; the scheduler does not use them.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Daemon tasks run until the job is cancelled.
	Daemon bool   `cbor:"12,keyasint,omitempty"`
	Image  string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTargetMS is the upper bound for the tail latency of the responses of a
	// daemon task, in milliseconds; 0 means that there is none.
	TailLatencyTargetMS int64 `cbor:"14,keyasint,omitempty"`
	// Filler tasks use the CPU capacity that other tasks leave idle.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds how many tasks the scheduler may make unavailable at a time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Schedule states how often and when the steps of a job run.
type Schedule struct {
	// Times is the number of occurrences. With 0 the job runs once, immediately.
	Times int `cbor:"1,keyasint,omitempty"`
	// StartMS is the Unix time at which the first occurrence is due, and IntervalMS the
	// time between two occurrences, both in milliseconds.
	StartMS    int64 `cbor:"2,keyasint,omitempty"`
	IntervalMS int64 `cbor:"3,keyasint,omitempty"`
}

// Submission is a job as a client submitted it.
type Submission struct {
	ID       string   `cbor:"1,keyasint,omitempty"`
	Spec     string   `cbor:"2,keyasint,omitempty"`
	Steps    []Step   `cbor:"3,keyasint,omitempty"`
	Schedule Schedule `cbor:"4,keyasint,omitempty"`
}

// Task is one task of an occurrence of a step.
type Task struct {
	// Run is the number of the newest attempt, or 0 before the first.
	Run uint32 `cbor:"1,keyasint,omitempty"`
	// Failures counts the failed attempts; for a gang see StepOccurrence.
	Failures uint8 `cbor:"2,keyasint,omitempty"`
	Done     bool  `cbor:"3,keyasint,omitempty"`
	// InFlight is set while the attempt with the number Run may be in flight.
	InFlight bool `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the newest checkpoint that was reported, empty if there is none.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// Crashes counts the workers that have crashed under attempts of the task since one of
	// them was sound.
	Crashes uint8 `cbor:"6,keyasint,omitempty"`
	// ConfirmedCrashes counts those of Crashes where the attempt had certainly started and
	// had not settled.
	ConfirmedCrashes uint8 `cbor:"7,keyasint,omitempty"`

	// unresolvedLosses counts the workers whose Lost contains the task.
	unresolvedLosses int
}

// StepOccurrence is the state of one occurrence of a step.
type StepOccurrence struct {
	Tasks []Task
	// Done counts the tasks that are done.
	Done int
	// InFlight counts the attempts, with any run number, that may be in flight.
	InFlight int `cbor:"Open"`
	// Run is the newest run number of any task. Failures counts the failed runs of a
	// gang, and FailedRun is the newest run counted there, so that several members that
	// fail in the same run count once.
	Run       uint32
	Failures  int
	FailedRun uint32
}

// Job is an accepted job.
type Job struct {
	ID    string
	Queue string
	// Host and Prefix are those of the queue when it accepted the job. They are empty for
	// a job that an earlier release has accepted.
	Host   string `cbor:",omitempty"`
	Prefix string `cbor:",omitempty"`

	// Team is the name of the configured team, or the ID of the former team, that the job
	// belongs to, empty if it was submitted to a public queue without the key of a team.
	Team string
	// Key is the key with which the job was submitted. It is empty if the state had an earlier
	// format then, and once the team has withdrawn the key.
	Key      string `cbor:",omitempty"`
	Spec     string
	Steps    []Step
	Schedule Schedule
	State    JobState
	// MaxFailures is the queue's MaxFailures when it accepted the job; it applies if
	// the queue is removed from the configuration.
	MaxFailures int `cbor:"Attempts"`
	// Accepted is the log index of the submission.
	Accepted uint64
	// AcceptedMS is Submit.AcceptedMS.
	AcceptedMS int64 `cbor:",omitempty"`
	// Started is set once an attempt of any task was committed.
	Started bool
	// Begun is set once it is known in the state that an attempt of any task has started:
	// at the latest when the attempt ends.
	Begun bool `cbor:",omitempty"`
	// Occurrences holds the occurrences that have become due. Each contains one entry
	// for every step, in the order of Steps.
	Occurrences [][]StepOccurrence `cbor:"Runs"`
	// CompletedOccurrences counts the occurrences whose tasks are all done.
	CompletedOccurrences int `cbor:"Ended"`
}

// StepKey identifies an occurrence of a step.
type StepKey struct {
	Job        string `cbor:"1,keyasint,omitempty"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
}

// OccurrenceKey returns the occurrence that the step belongs to.
func (k StepKey) OccurrenceKey() OccurrenceKey { return OccurrenceKey{k.Job, k.Occurrence} }

// TaskKey identifies a task of an occurrence of a step.
type TaskKey struct {
	StepKey
	Index int `cbor:"10,keyasint,omitempty"`
}

// occurrenceCount returns how many occurrences the job has in total.
func (j *Job) occurrenceCount() int { return max(1, j.Schedule.Times) }

// openOccurrence appends the next occurrence.
func (j *Job) openOccurrence() {
	steps := make([]StepOccurrence, len(j.Steps))
	for i := range j.Steps {
		steps[i].Tasks = make([]Task, j.Steps[i].Count)
	}
	j.Occurrences = append(j.Occurrences, steps)
}

// stepOccurrence returns an occurrence of a step, or nil if there is none.
func (j *Job) stepOccurrence(k StepKey) *StepOccurrence {
	if k.Occurrence < 0 || k.Occurrence >= len(j.Occurrences) || k.Step < 0 || k.Step >= len(j.Occurrences[k.Occurrence]) {
		return nil
	}
	return &j.Occurrences[k.Occurrence][k.Step]
}

// dependenciesDone reports whether all steps that the given one depends on are done.
func (j *Job) dependenciesDone(k StepKey) bool {
	for _, dependency := range j.Steps[k.Step].DependsOn {
		s := &j.Occurrences[k.Occurrence][dependency]
		if s.Done < len(s.Tasks) {
			return false
		}
	}
	return true
}
