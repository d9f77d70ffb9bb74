package scheduler

import (
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// Job is a job with waiting tasks.
type Job struct {
	ID     string
	Spec   structs.WorkSpec
	Urgent bool
	// Submitted is on the clock of Plan's now.
	Submitted time.Duration
	// Deadline is the time, on the same clock, by which a task must have started; 0
	// means none. It must be 0 once a task of the job has had an attempt, because
	// the job can then no longer be rejected as "not run".
	Deadline time.Duration
	// Tasks are the numbers of all waiting tasks of the job.
	Tasks []int
}

// Attempt is a committed attempt of a task.
type Attempt struct {
	// ID distinguishes the attempts of a task on the same worker. 0 matches any
	// attempt.
	ID          uint64
	JobID       string
	Task        int
	WorkerID    string
	Incarnation uint64
	Spec        structs.WorkSpec
	Urgent      bool
	Started     time.Duration
	// Size is what is committed to the worker; the zero value means the size in
	// Spec.
	Size structs.Resources
}

// Placement proposes an attempt of a task on a worker. The placements of a gang
// follow each other in a batch and must be committed together or not at all.
type Placement struct {
	JobID       string
	Task        int
	WorkerID    string
	Incarnation uint64
}

// Rejection proposes to end a waiting job of which no task has started.
type Rejection struct {
	JobID string
	// Reason is a message for the submitter; it starts with "not run: ".
	Reason string
}

// PreemptionMethod is the way in which an attempt is to be interrupted.
type PreemptionMethod int

// The methods of preemption, in order of preference.
const (
	// PreemptByCheckpoint asks the task to save a checkpoint and end.
	PreemptByCheckpoint PreemptionMethod = iota
	// PreemptByStop stops the task, which loses its work.
	PreemptByStop
)

// Preemption proposes to interrupt an attempt.
type Preemption struct {
	JobID       string
	Task        int
	WorkerID    string
	Incarnation uint64
	Method      PreemptionMethod
	// Reason is a message for people.
	Reason string
}

// Batch is the result of Plan.
type Batch struct {
	Placements  []Placement
	Rejections  []Rejection
	Preemptions []Preemption
}

// Options are the parameters of a scheduler.
type Options struct {
	// Policy orders the waiting jobs.
	Policy share.Policy
	// BackfillGrace is how long interruptible backfilled work may run past the
	// start of the reservation before it is interrupted.
	BackfillGrace time.Duration
	// MaxReservations bounds the reservations of jobs that do not fit. One more is
	// permitted for each workersPerReservation workers.
	MaxReservations int
	// HalfLife is the age at which past usage of a team has half the weight of
	// present usage.
	HalfLife time.Duration
	// CurrentUsageWeight is the weight, 0 to 1, of a team's current usage in the
	// order by share. The rest is that of its decayed past usage.
	CurrentUsageWeight float64
}

// taskKey identifies a task.
type taskKey struct {
	job  string
	task int32
}

// job is a waiting job. prev and next link the queue of its bucket.
type job struct {
	id          string
	bucket      *bucket
	prev        *job
	next        *job
	submitted   time.Duration
	deadline    time.Duration
	tasks       []int32 // waiting tasks
	started     bool    // an attempt of a task was planned or committed
	removed     bool
	reservation *reservation // nil if there is none
}

func (j *job) isGang() bool { return j.bucket.spec.Class == structs.ClassGang }

// document is the state that all versions of a team's service have in common.
type document struct {
	history share.History
	spread  placement.Spread
}

// bucketKey identifies jobs that differ only in their submission and deadline.
type bucketKey struct {
	team    string
	service string
	version uint64
	size    structs.Resources
	class   structs.Class
	urgent  bool
}

// bucket is a queue of waiting jobs with the same key, in order of submission.
// Only its head is considered for placement.
type bucket struct {
	key    bucketKey
	spec   structs.WorkSpec
	rank   share.Rank
	team   *team
	doc    *document
	head   *job
	tail   *job
	jobs   int
	refs   int // number of jobs and attempts that use the bucket
	active int // position in Scheduler.active, -1 if empty
	// blockReason is why the head was not placed when it was last tried.
	blockReason blockReason
	// retryAt is when a gang at the head is to be tried again.
	retryAt time.Duration
	// blockedInPlan is the number of the last plan in which the head could not be
	// placed. The bucket is not considered again in that plan.
	blockedInPlan uint64
}

// team is a team's usage and its share ratio in the current plan.
type team struct {
	*share.Team
	shareRatio float64
	// revision changes with each placement of the team. It shows which entries of
	// the order have an outdated score.
	revision uint32
	// shareRatioPlan is the number of the plan in which shareRatio was computed.
	shareRatioPlan uint64
}

// attempt is a running or planned attempt.
type attempt struct {
	key          taskKey
	id           uint64 // 0 while planned
	bucket       *bucket
	slot         placement.Slot // placement.NoSlot if the worker is not known
	incarnation  uint64
	size         structs.Resources
	started      time.Duration
	predictedEnd time.Duration
	// backfillOf is the reservation on whose worker the attempt was placed because
	// it was predicted to end by backfillUntil. It is nil for other attempts.
	backfillOf    *reservation
	backfillUntil time.Duration
	stopping      bool // an interruption was proposed
}

func (a *attempt) interruptible() bool {
	return a.bucket.spec.MayCheckpoint || a.bucket.spec.MayPreempt
}

func (a *attempt) preemptionMethod() PreemptionMethod {
	if a.bucket.spec.MayCheckpoint {
		return PreemptByCheckpoint
	}
	return PreemptByStop
}

// blockReason is the reason why a job was not placed.
type blockReason int

const (
	notBlocked           blockReason = iota
	blockedByOrder                   // other jobs go first in this plan
	blockedByAllotment               // the team's allotment is used up
	blockedByRoom                    // no worker has room
	blockedByReservation             // the job waits for its reserved workers
)
