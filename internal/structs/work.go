package structs

import (
	"time"

	"laburnumgrade/gen/statev1"
)

// Class is the kind of a document's work, which selects its policy.
type Class int

// Classes of work.
const (
	ClassUnspecified Class = iota
	ClassService
	ClassBatch
	ClassGang
)

// WorkSpec is what a document says about its work.
type WorkSpec struct {
	Team    string
	Service string
	// Version of the document.
	Version uint64
	Command string
	Class   Class
	// Size of one task.
	Size       Resources
	Tasks      int
	Idempotent bool
	// Exclusive work never has two attempts of a task at once.
	Exclusive bool
	OpenQueue bool
	// RunTime is the declared run time of a task; it is often far off.
	RunTime  time.Duration
	Deadline time.Duration
	// WaitWhenFull is false if work is to be refused when the cell is full.
	WaitWhenFull  bool
	MayThrottle   bool
	MayCheckpoint bool
	MayPreempt    bool
	// QueueLimit bounds the team's waiting tasks of this service.
	QueueLimit int
}

// WorkSpecFromProto returns the specification in a message.
func WorkSpecFromProto(p *statev1.WorkSpec) WorkSpec {
	return WorkSpec{
		Team: p.GetTeam(), Service: p.GetService(), Version: p.GetVersion(), Command: p.GetCommand(),
		Class: Class(p.GetClass()), Size: ResourcesFromProto(p.GetSize()), Tasks: int(p.GetTasks()),
		Idempotent: p.GetIdempotent(), Exclusive: p.GetExclusive(), OpenQueue: p.GetOpenQueue(),
		RunTime:      time.Duration(p.GetRunTimeMs()) * time.Millisecond,
		Deadline:     time.Duration(p.GetDeadlineMs()) * time.Millisecond,
		WaitWhenFull: p.GetWaitWhenFull(), MayThrottle: p.GetMayThrottle(),
		MayCheckpoint: p.GetMayCheckpoint(), MayPreempt: p.GetMayPreempt(), QueueLimit: int(p.GetQueueLimit()),
	}
}

// Proto returns the message form of the specification.
func (s WorkSpec) Proto() *statev1.WorkSpec {
	return &statev1.WorkSpec{
		Team: s.Team, Service: s.Service, Version: s.Version, Command: s.Command,
		Class: statev1.WorkSpec_Class(s.Class), Size: s.Size.Proto(), Tasks: int32(s.Tasks),
		Idempotent: s.Idempotent, Exclusive: s.Exclusive, OpenQueue: s.OpenQueue,
		RunTimeMs: s.RunTime.Milliseconds(), DeadlineMs: s.Deadline.Milliseconds(),
		WaitWhenFull: s.WaitWhenFull, MayThrottle: s.MayThrottle, MayCheckpoint: s.MayCheckpoint,
		MayPreempt: s.MayPreempt, QueueLimit: int64(s.QueueLimit),
	}
}

// Worker is a target that runs tasks.
type Worker struct {
	ID string
	// Incarnation changes when the worker's agent restarts.
	Incarnation uint64
	Rack        string
	Capacity    Resources
	// Committed is the sum of the sizes of the worker's open attempts and of
	// what is charged.
	Committed Resources
	// Leaving is announced by the worker.
	Leaving bool
	// Draining is set by an operator.
	Draining  bool
	Probation bool
	Lost      bool
	// LostAt is the log time of the loss, in ms since the Unix epoch.
	LostAt int64
	// Attempts holds the open attempts by id.
	Attempts map[uint64]struct{}
	// Charged holds the sizes of attempts that the worker reports to run though
	// they are not open, by id.
	Charged map[uint64]Resources
	// Sequence is that of the heartbeat that the last registration followed.
	Sequence uint64
	// Registration grows each time the worker is taken on.
	Registration uint64
}

// Free returns the capacity that is not committed.
func (w *Worker) Free() Resources { return w.Capacity.Sub(w.Committed) }

// Schedulable reports whether new work may be placed on the worker.
func (w *Worker) Schedulable() bool { return !w.Leaving && !w.Draining && !w.Lost }

// TaskState is the state of a task.
type TaskState int

// States of a task. An ended task changes only if its outcome was unknown and
// the lost attempt's worker reports it late.
const (
	TaskWaiting TaskState = iota
	TaskRunning
	TaskEnded
)

// Outcome is how a task or request ended.
type Outcome int

// Outcomes, numbered as in the api messages.
const (
	OutcomeNone Outcome = iota
	OutcomeOK
	OutcomeNotRun
	OutcomeFailed
	OutcomeUnknown
	OutcomeCancelled
)

// Task is one unit of a job that is placed on a worker.
type Task struct {
	State TaskState
	// Attempt is the id of the open attempt, 0 if none.
	Attempt  uint64
	Attempts int
	// NotBefore is the log time before which the task is not placed again.
	NotBefore int64
	// LostAttempt is the attempt whose outcome is not known, 0 if none, with
	// the worker that may still report it.
	LostAttempt     uint64
	LostWorker      string
	LostIncarnation uint64
	// Checkpoint is the attempt whose checkpoint the next one resumes, 0 if none.
	Checkpoint uint64
	Outcome    Outcome
	Answer     []byte
	Detail     string
}

// Job is a piece of accepted work, made of one or more tasks.
type Job struct {
	ID      string
	Spec    WorkSpec
	Payload []byte
	Urgent  bool
	// Deadline is the time from acceptance within which the job must start; 0
	// means no limit.
	Deadline  time.Duration
	Digest    uint64
	Tasks     []Task
	Cancelled bool
	// AcceptedAt is the log time of the acceptance, in ms since the Unix epoch.
	AcceptedAt int64
	// Wanted is the number of instances of a service; tasks from there on end
	// instead of being restarted.
	Wanted int
	// EndedTasks counts the tasks that have ended.
	EndedTasks int
	// EndedAt is the log time at which the last task ended.
	EndedAt int64
}

// Ended reports whether every task has ended.
func (j *Job) Ended() bool { return j.EndedTasks == len(j.Tasks) }

// Attempt is one run of a task on one incarnation of a worker.
type Attempt struct {
	ID          uint64
	JobID       string
	Task        int
	Number      int
	WorkerID    string
	Incarnation uint64
	// Size is what is committed.
	Size Resources
	// Declared is the size that the document declares, if Size was changed to
	// follow the usage; otherwise zero.
	Declared Resources
	Team     string
	// Version is that of the document the attempt was placed for.
	Version uint64
	// Stopping, Throttled and Checkpointing are set when the worker is to stop,
	// throttle or checkpoint the attempt.
	Stopping      bool
	Throttled     bool
	Checkpointing bool
	// Reason says why the attempt was shed; empty if it was not.
	Reason string
}

// Request is the record of a non-idempotent call.
type Request struct {
	ID      string
	Team    string
	Service string
	Digest  uint64
	// Owner is the entry and try that may send the request to a target.
	Owner string
	// RecordedAt is the log time of the record, in ms since the Unix epoch.
	RecordedAt int64
	Deadline   time.Duration
	// Outcome is OutcomeNone while the request is in progress.
	Outcome Outcome
	Body    []byte
	Detail  string
	// Withdrawn is set if the owner gave up before the record was committed; the
	// content is then not known.
	Withdrawn bool
}

// Instance is a target that serves the requests of one service.
type Instance struct {
	ID          string
	Incarnation uint64
	Team        string
	Service     string
	// Address is the IP number and port of the instance.
	Address     string
	Slots       int
	Connections int
	Leaving     bool
	// Entry hands out the instance's slots; empty if none does.
	Entry        string
	EntryAddress string
	// Assignment counts the changes of Entry.
	Assignment uint64
}

// Outcome returns the outcome of an ended job: OK only if every task is OK,
// otherwise the outcome that leaves the most doubt.
func (j *Job) Outcome() Outcome {
	worst := OutcomeOK
	for i := range j.Tasks {
		if outcomeRank[j.Tasks[i].Outcome] > outcomeRank[worst] {
			worst = j.Tasks[i].Outcome
		}
	}
	return worst
}

var outcomeRank = map[Outcome]int{
	OutcomeOK: 0, OutcomeNotRun: 1, OutcomeCancelled: 2, OutcomeFailed: 3, OutcomeUnknown: 4,
}
