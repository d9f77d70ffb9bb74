package scheduler

import (
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// Job is a job with waiting tasks. Times are on the clock of Plan's now.
type Job struct {
	ID        string
	Spec      structs.WorkSpec
	Urgent    bool
	Submitted time.Duration
	// Deadline is the time by which a task must have started; 0 means none. It
	// must be 0 once a task of the job has had an attempt, because the job is
	// then no longer "not run".
	Deadline time.Duration
	// Tasks are all waiting tasks of the job.
	Tasks []int
}

// Attempt is a committed attempt of a task.
type Attempt struct {
	// ID tells attempts of a task on one worker apart; 0 is not compared.
	ID          uint64
	JobID       string
	Task        int
	WorkerID    string
	Incarnation uint64
	Spec        structs.WorkSpec
	Urgent      bool
	Started     time.Duration
	// Size is what is committed; zero means the size in Spec.
	Size structs.Resources
}

// Placement proposes an attempt of a task on a worker. The placements of a
// gang are adjacent and must be committed together or not at all.
type Placement struct {
	JobID       string
	Task        int
	WorkerID    string
	Incarnation uint64
}

// Rejection says that a waiting job is not going to run, and why.
type Rejection struct {
	JobID  string
	Reason string
}

// PreemptionMethod is how an attempt is to be interrupted.
type PreemptionMethod int

// Means of interruption.
const (
	PreemptByCheckpoint PreemptionMethod = iota
	PreemptByStop
)

// Preemption asks for an attempt to be interrupted.
type Preemption struct {
	JobID       string
	Task        int
	WorkerID    string
	Incarnation uint64
	Method      PreemptionMethod
	Reason      string
}

// Batch is the outcome of a Plan.
type Batch struct {
	Placements  []Placement
	Rejections  []Rejection
	Preemptions []Preemption
}

// Options are the policy of a scheduler.
type Options struct {
	Policy share.Policy
	// BackfillGrace is how long after a reservation's start backfilled work that may
	// be interrupted is left to end by itself.
	BackfillGrace time.Duration
	// MaxReservations bounds the gangs and starved jobs that hold reservations at
	// a time; one more is permitted for each workersPerReservation workers.
	MaxReservations int
	// HalfLife is the age at which past usage counts half.
	HalfLife time.Duration
	// CurrentUsageWeight is the part of current usage, against decayed usage, in the order
	// by share.
	CurrentUsageWeight float64
}

// taskKey identifies a task.
type taskKey struct {
	job  string
	task int32
}

// job is a waiting job in the queue of its bucket.
type job struct {
	id        string
	bucket    *bucket
	prev      *job
	next      *job
	submitted time.Duration
	deadline  time.Duration
	tasks     []int32
	started   bool
	gone      bool
	res       *reservation
}

func (j *job) isGang() bool { return j.bucket.spec.Class == structs.ClassGang }

// document is what all versions of a team's service have in common.
type document struct {
	history share.History
	spread  placement.Spread
}

// bucketKey groups jobs that are interchangeable but for their age.
type bucketKey struct {
	team    string
	service string
	version uint64
	size    structs.Resources
	class   structs.Class
	urgent  bool
}

// bucket is the queue of interchangeable jobs, in order of submission.
type bucket struct {
	key    bucketKey
	spec   structs.WorkSpec
	rank   share.Rank
	team   *team
	doc    *document
	head   *job
	tail   *job
	jobs   int
	refs   int // jobs and attempts
	active int // position in Scheduler.active, -1 if empty
	// limit is why the head was not placed when it was last tried.
	limit    limit
	tryAfter time.Duration
	blocked  uint64 // plan in which the head was found not to fit
}

// team is a team's usage and its order within the current plan.
type team struct {
	*share.Team
	excess float64
	epoch  uint32
	plan   uint64
}

// attempt is a running or planned attempt.
type attempt struct {
	key         taskKey
	id          uint64 // 0 while planned
	bucket      *bucket
	slot        placement.Slot
	incarnation uint64
	size        structs.Resources
	started     time.Duration
	end         time.Duration // predicted
	// backfill is the reservation whose workers the attempt uses until backfillBy.
	backfill   *reservation
	backfillBy time.Duration
	stopping   bool
}

func (a *attempt) interruptible() bool {
	return a.bucket.spec.MayCheckpoint || a.bucket.spec.MayPreempt
}

func (a *attempt) means() PreemptionMethod {
	if a.bucket.spec.MayCheckpoint {
		return PreemptByCheckpoint
	}
	return PreemptByStop
}

// limit is what kept a job from being placed.
type limit int

const (
	limitNone limit = iota
	limitOrder
	limitAllotment
	limitRoom
	limitReservation
)
