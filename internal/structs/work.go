package structs

import (
	"time"

	"laburnumgrade/gen/statev1"
)

// Class is the class of work that a document declares. It selects how the work is
// placed and retried.
type Class int

// Classes of work, numbered as in statev1.WorkSpec.
const (
	ClassUnspecified Class = iota
	ClassService
	ClassBatch
	ClassGang
)

// WorkSpec is the specification of work that a team's document declares for one of
// its services.
type WorkSpec struct {
	Team    string
	Service string
	// Version is the version of the document.
	Version uint64
	Command string
	Class   Class
	// Size is the declared size of one task.
	Size Resources
	// Tasks is the number of tasks of a job, or of instances of a service.
	Tasks int
	// Idempotent work may be run again after a failure or an unknown outcome.
	Idempotent bool
	// Exclusive work never has two attempts of a task running at the same time.
	Exclusive bool
	OpenQueue bool
	// RunTime is the declared run time of a task, which may differ a lot from the
	// actual one.
	RunTime  time.Duration
	Deadline time.Duration
	// WaitWhenFull selects whether work waits or is refused when there is no free
	// capacity.
	WaitWhenFull bool
	// MayThrottle, MayCheckpoint and MayPreempt permit the scheduler to throttle,
	// checkpoint or stop an attempt to free resources.
	MayThrottle   bool
	MayCheckpoint bool
	MayPreempt    bool
	// QueueLimit is the maximum number of the team's waiting tasks with which a job
	// of this service is accepted; 0 means no limit.
	QueueLimit int
}

// WorkSpecFromProto returns the specification in a protobuf message.
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

// Proto returns the specification as a protobuf message.
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
	// Incarnation increases each time the worker's agent restarts.
	Incarnation uint64
	Rack        string
	Capacity    Resources
	// Committed is the sum of the sizes in Attempts and Charged.
	Committed Resources
	// Leaving is set when the worker announces that it will shut down.
	Leaving bool
	// Draining is set by an operator, so that no new work is placed.
	Draining bool
	// Probation is set by the leader while it suspects that the worker is faulty; the
	// scheduler then places at most one trial task on it.
	Probation bool
	// Lost is set while the worker has no lease: its lease has expired and it has
	// not registered again.
	Lost bool
	// LostAt is the log time of the loss, in ms since the Unix epoch.
	LostAt int64
	// Attempts is the set of the ids of the worker's open attempts.
	Attempts map[uint64]struct{}
	// Charged holds, by id, the sizes of attempts that the worker reports as
	// running though they are not open. They use resources until they have stopped.
	Charged map[uint64]Resources
	// Sequence is the number of the heartbeat with which the worker was last
	// registered.
	Sequence uint64
	// Registration is incremented each time the worker registers after a loss or
	// with a new incarnation.
	Registration uint64
}

// Free returns the capacity that is not committed. A dimension is negative if the
// worker has reduced its capacity below what is committed.
func (w *Worker) Free() Resources { return w.Capacity.Sub(w.Committed) }

// Schedulable reports whether new work may be placed on the worker: it is not
// leaving, draining or lost.
func (w *Worker) Schedulable() bool { return !w.Leaving && !w.Draining && !w.Lost }

// TaskState is the state of a task.
type TaskState int

// States of a task. The outcome of an ended task changes only if it was unknown and
// the worker of its lost attempt reports the end late. The task of a service
// instance starts again from TaskWaiting when the instance is wanted again.
const (
	TaskWaiting TaskState = iota
	TaskRunning
	TaskEnded
)

// Outcome says how a task or request ended.
type Outcome int

// Outcomes, numbered as in apiv1.Outcome. OutcomeNone means that it has not ended.
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
	Attempt uint64
	// Attempts is the number of attempts so far.
	Attempts int
	// NotBefore is the log time, in ms since the Unix epoch, before which the task
	// is not placed again.
	NotBefore int64
	// LostAttempt is the id of the attempt whose outcome is unknown, 0 if none.
	// LostWorker and LostIncarnation identify the worker that may still report it.
	LostAttempt     uint64
	LostWorker      string
	LostIncarnation uint64
	// Checkpoint is the id of the attempt whose checkpoint the next attempt
	// resumes, 0 if none.
	Checkpoint uint64
	Outcome    Outcome
	// Answer is the result that the worker reported.
	Answer []byte
	// Detail explains the outcome to people.
	Detail string
}

// Job is accepted work that consists of one or more tasks.
type Job struct {
	ID   string
	Spec WorkSpec
	// Payload is passed to each task. It is dropped when the job has ended.
	Payload []byte
	Urgent  bool
	// Deadline is the time after acceptance within which the job must start; 0
	// means no limit.
	Deadline time.Duration
	// Digest identifies the content, so that a repeated submission is recognised.
	Digest    uint64
	Tasks     []Task
	Cancelled bool
	// AcceptedAt is the log time of the acceptance, in ms since the Unix epoch.
	AcceptedAt int64
	// Wanted is the number of instances that a service must run. Tasks whose index
	// is not below it end instead of being restarted.
	Wanted int
	// EndedTasks is the number of tasks that have ended.
	EndedTasks int
	// EndedAt is the log time at which the last task ended, in ms since the Unix
	// epoch.
	EndedAt int64
}

// Ended reports whether every task has ended.
func (j *Job) Ended() bool { return j.EndedTasks == len(j.Tasks) }

// Attempt is one run of a task on one incarnation of a worker.
type Attempt struct {
	ID    uint64
	JobID string
	// Task is the index of the task in the job.
	Task int
	// Number counts the attempts of the task, starting at 1.
	Number   int
	WorkerID string
	// Incarnation is that of the worker.
	Incarnation uint64
	// Size is committed to the attempt on its worker and in its team's allotment.
	Size Resources
	// Declared is the size that the document declares. It is zero until Size is
	// adjusted to the usage for the first time.
	Declared Resources
	Team     string
	// Version is the version of the document when the attempt was placed.
	Version uint64
	// Stopping, Throttled and Checkpointing are set if the worker must stop,
	// throttle or checkpoint the attempt.
	Stopping      bool
	Throttled     bool
	Checkpointing bool
	// Reason says why the scheduler throttled, checkpointed or stopped the attempt
	// to free resources; empty if it did not.
	Reason string
}

// Request is the record of a non-idempotent call.
type Request struct {
	ID      string
	Team    string
	Service string
	// Digest identifies the content, so that a different request with the same id
	// is refused.
	Digest uint64
	// Owner identifies the entry process, and its try, that may send the request to
	// a target.
	Owner string
	// RecordedAt is the log time of the record, in ms since the Unix epoch.
	RecordedAt int64
	// Deadline is the time after RecordedAt within which the request must be
	// answered.
	Deadline time.Duration
	// Outcome is OutcomeNone while the request is in progress.
	Outcome Outcome
	// Body is the body of the answer.
	Body []byte
	// Detail explains the outcome to people.
	Detail string
	// Withdrawn is set if the owner answered "not run" before the record was
	// committed. Team, Service and Digest are then unknown.
	Withdrawn bool
}

// Instance is a target that serves the requests of one service.
type Instance struct {
	ID          string
	Incarnation uint64
	Team        string
	Service     string
	// Address is the IP address and port of the instance.
	Address string
	// Slots is the number of requests that the instance handles at the same time.
	Slots int
	// Connections is the number of connections that the instance accepts.
	Connections int
	// Leaving is set when the instance announces that it will shut down.
	Leaving bool
	// Entry is the name of the entry process that may use the instance's slots,
	// empty if there is none; EntryAddress is its address.
	Entry        string
	EntryAddress string
	// Assignment is incremented with each change of Entry.
	Assignment uint64
}

// Outcome returns the outcome of an ended job: OutcomeOK if every task has it,
// otherwise the most severe outcome of a task.
func (j *Job) Outcome() Outcome {
	worst := OutcomeOK
	for i := range j.Tasks {
		if outcomeRank[j.Tasks[i].Outcome] > outcomeRank[worst] {
			worst = j.Tasks[i].Outcome
		}
	}
	return worst
}

// outcomeRank orders outcomes by severity. OutcomeUnknown is the most severe one,
// because the caller cannot tell whether the work has run.
var outcomeRank = map[Outcome]int{
	OutcomeOK:        0,
	OutcomeNotRun:    1,
	OutcomeCancelled: 2,
	OutcomeFailed:    3,
	OutcomeUnknown:   4,
}
