package cell

import (
	"laburnumgrade/internal/structs"
)

// JobState is the state of a job.
type JobState uint8

// States of a job.
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

// Step is a group of equal tasks as submitted.
type Step struct {
	Count int               `cbor:"1,keyasint,omitempty"`
	Size  structs.Resources `cbor:"2,keyasint,omitempty"`
	// EstimateMS is a rough estimate of a task's duration, in milliseconds.
	EstimateMS          int64  `cbor:"3,keyasint,omitempty"`
	DependsOn           []int  `cbor:"4,keyasint,omitempty"`
	Checkpointable      bool   `cbor:"5,keyasint,omitempty"`
	Gang                bool   `cbor:"6,keyasint,omitempty"`
	SameRack            bool   `cbor:"7,keyasint,omitempty"`
	Label               string `cbor:"8,keyasint,omitempty"`
	DataRack            string `cbor:"9,keyasint,omitempty"`
	MaxPerWorker        int    `cbor:"10,keyasint,omitempty"`
	Speculative         bool   `cbor:"11,keyasint,omitempty"`
	Daemon              bool   `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image               string `cbor:"13,keyasint,omitempty"`
	TailLatencyTargetMS int64  `cbor:"14,keyasint,omitempty"` // bound on the tail of response times of a lasting task
	Filler              bool   `cbor:"15,keyasint,omitempty"` // takes the capacity that other tasks leave unused
	MaxUnavailable      int    `cbor:"16,keyasint,omitempty"` // tasks that orders may make unavailable at a time
}

// Schedule makes the steps of a job run several times.
type Schedule struct {
	Times int `cbor:"1,keyasint,omitempty"`
	// StartMS is the Unix time of the first occurrence in milliseconds.
	StartMS    int64 `cbor:"2,keyasint,omitempty"`
	IntervalMS int64 `cbor:"3,keyasint,omitempty"`
}

// Submission is a job as a client submits it.
type Submission struct {
	ID       string   `cbor:"1,keyasint,omitempty"`
	Spec     string   `cbor:"2,keyasint,omitempty"`
	Steps    []Step   `cbor:"3,keyasint,omitempty"`
	Schedule Schedule `cbor:"4,keyasint,omitempty"`
}

// Task is one task of an occurrence of a step.
type Task struct {
	// Run is the number of the newest attempt, 0 before the first.
	Run      uint32 `cbor:"1,keyasint,omitempty"`
	Failures uint8  `cbor:"2,keyasint,omitempty"`
	Done     bool   `cbor:"3,keyasint,omitempty"`
	// InFlight is set while an attempt of Run may be in progress.
	InFlight bool `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the newest known checkpoint.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
}

// StepOccurrence is one occurrence of a step.
type StepOccurrence struct {
	Tasks []Task
	Done  int
	// InFlight counts attempts, of any run, that may be in progress.
	InFlight int `cbor:"Open"`
	// Run and Failures count for the gang as a whole; FailedRun is the newest
	// run that is counted as failed.
	Run       uint32
	Failures  int
	FailedRun uint32
}

// Job is an accepted job.
type Job struct {
	ID       string
	Queue    string
	Team     string
	Spec     string
	Steps    []Step
	Schedule Schedule
	State    JobState
	// MaxFailures is how often the queue let a task fail when it accepted the job.
	MaxFailures int `cbor:"Attempts"`
	// Accepted is the log index of the submission.
	Accepted uint64
	Started  bool
	// Occurrences holds the occurrences that have become due, each with all steps.
	Occurrences [][]StepOccurrence `cbor:"Runs"`
	// CompletedOccurrences counts the occurrences of which all tasks are done.
	CompletedOccurrences int `cbor:"Ended"`
}

// StepKey names an occurrence of a step.
type StepKey struct {
	Job        string `cbor:"1,keyasint,omitempty"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
}

// OccurrenceKey returns the occurrence that the step belongs to.
func (k StepKey) OccurrenceKey() OccurrenceKey { return OccurrenceKey{k.Job, k.Occurrence} }

// TaskKey names a task.
type TaskKey struct {
	StepKey
	Index int `cbor:"10,keyasint,omitempty"`
}

// occurrences returns how often the steps are to run.
func (j *Job) occurrences() int { return max(1, j.Schedule.Times) }

// open adds the next occurrence.
func (j *Job) open() {
	steps := make([]StepOccurrence, len(j.Steps))
	for i := range j.Steps {
		steps[i].Tasks = make([]Task, j.Steps[i].Count)
	}
	j.Occurrences = append(j.Occurrences, steps)
}

// stepRun returns the occurrence of a step, nil if there is none.
func (j *Job) stepRun(k StepKey) *StepOccurrence {
	if k.Occurrence < 0 || k.Occurrence >= len(j.Occurrences) || k.Step < 0 || k.Step >= len(j.Occurrences[k.Occurrence]) {
		return nil
	}
	return &j.Occurrences[k.Occurrence][k.Step]
}

// due reports whether the steps before the given one are done.
func (j *Job) due(k StepKey) bool {
	for _, before := range j.Steps[k.Step].DependsOn {
		s := &j.Occurrences[k.Occurrence][before]
		if s.Done < len(s.Tasks) {
			return false
		}
	}
	return true
}
