package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"laburnumgrade/internal/gang"
	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// DefaultMaxReservations is the default of Options.MaxReservations. With 4
// reservations on a fleet of 50 workers, gangs of large tasks reserve most of the
// workers.
const DefaultMaxReservations = 2

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Policy:             share.DefaultPolicy(),
		BackfillGrace:      gang.DefaultBackfillGrace,
		MaxReservations:    DefaultMaxReservations,
		HalfLife:           share.DefaultHalfLife,
		CurrentUsageWeight: share.DefaultCurrentUsageWeight,
	}
}

// Scheduler plans placements for the workers of one data centre. It is not safe
// for concurrent use.
type Scheduler struct {
	options   Options
	fleet     *placement.Fleet
	ledger    *share.Ledger
	teams     map[string]*team
	docs      map[[2]string]*document // by team and service
	buckets   map[bucketKey]*bucket
	active    []*bucket // buckets with waiting jobs
	jobs      map[string]*job
	attempts  map[taskKey]*attempt
	onWorker  [][]*attempt                 // by slot
	charged   map[string]structs.Resources // by worker
	deadlines deadlineHeap
	// overAllotment and overCommitted are to be checked in the next plan.
	overAllotment []*team
	overCommitted []placement.Slot

	reservations []*reservation
	lastOwner    uint64 // owner of the last hold
	// reserveCursor and victimCursor are the last slots that the searches for
	// workers to reserve and for attempts to preempt examined.
	reserveCursor int
	victimCursor  int
	interruptible int // running and planned attempts that may be interrupted
	// placedSinceStarved is the number of placements, a gang counting as one, since
	// the last one that went to a starved job first.
	placedSinceStarved int
	planNumber         uint64
	failedSearches     failedSearches
	plan               plan
}

// New returns a scheduler without workers, teams and jobs.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options:  o,
		fleet:    placement.NewFleet(),
		ledger:   share.NewLedger(),
		teams:    map[string]*team{},
		docs:     map[[2]string]*document{},
		buckets:  map[bucketKey]*bucket{},
		jobs:     map[string]*job{},
		attempts: map[taskKey]*attempt{},
		charged:  map[string]structs.Resources{},
	}
	s.ledger.HalfLife = o.HalfLife
	s.ledger.CurrentUsageWeight = o.CurrentUsageWeight
	return s
}

// SetTeam sets a team's weight, which is its share relative to the sum over all
// teams, and its allotment.
func (s *Scheduler) SetTeam(name string, weight float64, allotment structs.Resources) {
	s.ledger.SetTeam(name, weight, allotment)
	t := s.team(name)
	if t.OverAllotment() {
		s.overAllotment = append(s.overAllotment, t)
	}
}

func (s *Scheduler) team(name string) *team {
	t, known := s.teams[name]
	if !known {
		t = &team{Team: s.ledger.Team(name)}
		s.teams[name] = t
	}
	return t
}

// UpsertWorker adds a worker or replaces its description. What is committed to it
// stays until AttemptEnded.
func (s *Scheduler) UpsertWorker(w placement.Worker) {
	slot := s.fleet.Upsert(w)
	if int(slot) == len(s.onWorker) {
		s.onWorker = append(s.onWorker, nil)
	}
	s.ledger.SetCapacity(s.fleet.Total())
	s.checkOverCommitted(slot)
}

// RemoveWorker removes a worker. Its attempts stay until AttemptEnded.
func (s *Scheduler) RemoveWorker(id string) {
	s.SetCharged(id, structs.Resources{})
	s.fleet.Remove(id)
	s.ledger.SetCapacity(s.fleet.Total())
}

// checkOverCommitted records the worker for preemption in the next plan if more
// is committed to it than its capacity.
func (s *Scheduler) checkOverCommitted(slot placement.Slot) {
	free := s.fleet.Free(slot)
	if free.MilliCPU < 0 || free.MemoryBytes < 0 || free.Accelerators < 0 {
		s.overCommitted = append(s.overCommitted, slot)
	}
}

// AddJob adds a job or replaces its waiting tasks and its deadline. It leaves out
// tasks with a running or planned attempt, and removes the job if no other is left.
func (s *Scheduler) AddJob(in Job) {
	j, known := s.jobs[in.ID]
	if known && j.bucket.key != keyOf(in.Spec, in.Urgent) {
		// The document of a service changed: its job is the same and has a new spec.
		s.RemoveJob(in.ID)
		known = false
	}
	if !known {
		j = &job{id: in.ID, submitted: in.Submitted}
	}
	tasks := j.tasks[:0]
	planned := false
	for _, n := range in.Tasks {
		if _, running := s.attempts[taskKey{in.ID, int32(n)}]; running {
			planned = true
			continue
		}
		tasks = append(tasks, int32(n))
	}
	j.tasks = tasks
	if len(tasks) == 0 {
		s.RemoveJob(in.ID)
		return
	}
	s.setDeadline(j, in.Deadline, planned)
	if !known {
		s.enqueue(j, in.Spec, in.Urgent)
	}
}

// setDeadline sets the deadline of a job. planned reports whether a task of it has
// a running or planned attempt. If none has although one was planned before, the
// commit of the placements failed, and the job is subject to its deadline again.
func (s *Scheduler) setDeadline(j *job, deadline time.Duration, planned bool) {
	again := j.started && !planned
	if deadline > 0 && (again || deadline != j.deadline) {
		heap.Push(&s.deadlines, deadlineEntry{deadline, j})
	}
	j.deadline = deadline
	j.started = j.started && !again
}

func (s *Scheduler) enqueue(j *job, spec structs.WorkSpec, urgent bool) {
	b := s.bucket(spec, urgent)
	j.bucket = b
	s.jobs[j.id] = j
	b.refs++
	b.insert(j)
	if b.active < 0 {
		b.active = len(s.active)
		s.active = append(s.active, b)
	}
}

// RemoveJob removes a waiting job and its reservation. Its running attempts stay
// until AttemptEnded. The cost does not depend on the number of waiting jobs.
func (s *Scheduler) RemoveJob(id string) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	delete(s.jobs, id)
	j.removed = true
	s.endReservation(j.reservation)
	b := j.bucket
	b.remove(j)
	if b.head == nil {
		s.deactivate(b)
	}
	s.unref(b)
}

// deactivate removes an empty bucket from the active ones.
func (s *Scheduler) deactivate(b *bucket) {
	last := s.active[len(s.active)-1]
	s.active[b.active] = last
	last.active = b.active
	s.active = s.active[:len(s.active)-1]
	b.active = -1
}

func keyOf(spec structs.WorkSpec, urgent bool) bucketKey {
	return bucketKey{spec.Team, spec.Service, spec.Version, spec.Size, spec.Class, urgent}
}

// bucket returns the bucket of a spec, and creates it if needed.
func (s *Scheduler) bucket(spec structs.WorkSpec, urgent bool) *bucket {
	key := keyOf(spec, urgent)
	b, known := s.buckets[key]
	if known {
		return b
	}
	b = &bucket{
		key: key, spec: spec, rank: share.RankOf(spec.Class, urgent),
		team: s.team(spec.Team), doc: s.document(spec), active: -1,
	}
	s.buckets[key] = b
	return b
}

// unref drops a reference to a bucket, and the bucket with the last reference.
func (s *Scheduler) unref(b *bucket) {
	b.refs--
	if b.refs == 0 {
		delete(s.buckets, b.key)
	}
}

func (s *Scheduler) document(spec structs.WorkSpec) *document {
	key := [2]string{spec.Team, spec.Service}
	d, known := s.docs[key]
	if !known {
		d = &document{}
		s.docs[key] = d
	}
	return d
}

// RemoveDocument drops the run time history of a document that was withdrawn.
func (s *Scheduler) RemoveDocument(team, service string) {
	delete(s.docs, [2]string{team, service})
}

// AttemptStarted mirrors a committed attempt, whether or not it was planned here.
// An attempt of the same task on another worker or incarnation, or with another
// ID, is replaced.
func (s *Scheduler) AttemptStarted(in Attempt, now time.Duration) {
	key := taskKey{in.JobID, int32(in.Task)}
	slot, known := s.fleet.Lookup(in.WorkerID)
	size := in.Size
	if size.IsZero() {
		size = in.Spec.Size
	}
	if a, running := s.attempts[key]; running {
		// A planned attempt has no ID yet.
		same := a.id == 0 || in.ID == 0 || a.id == in.ID
		if same && known && a.slot == slot && a.incarnation == in.Incarnation {
			a.id = in.ID
			if a.size != size {
				s.ResizeAttempt(in.JobID, in.Task, size, now)
			}
			return
		}
		s.removeAttempt(a, now)
	}
	s.removeWaitingTask(in.JobID, int32(in.Task))
	if !known {
		slot = placement.NoSlot
	}
	b := s.bucket(in.Spec, in.Urgent)
	s.addAttempt(&attempt{
		key:          key,
		id:           in.ID,
		bucket:       b,
		slot:         slot,
		incarnation:  in.Incarnation,
		size:         size,
		started:      in.Started,
		predictedEnd: in.Started + b.doc.history.Predict(in.Spec.RunTime, endQuantile),
	}, now)
}

// removeWaitingTask removes a task that has an attempt from the waiting tasks.
func (s *Scheduler) removeWaitingTask(id string, task int32) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	j.started = true
	if i := slices.Index(j.tasks, task); i >= 0 {
		j.tasks = slices.Delete(j.tasks, i, i+1)
	}
	if len(j.tasks) == 0 {
		s.RemoveJob(id)
	}
}

// AttemptEnded mirrors the end of an attempt, or that a planned one was not
// committed. completed reports whether the task succeeded; only then does the run
// time count for predictions. It does nothing if the task has no attempt.
func (s *Scheduler) AttemptEnded(id string, task int, now time.Duration, completed bool) {
	a, running := s.attempts[taskKey{id, int32(task)}]
	if !running {
		return
	}
	if completed {
		a.bucket.doc.history.Record(now - a.started)
	}
	s.removeAttempt(a, now)
}

// ResizeAttempt replaces the size committed for an attempt, for example when its
// observed usage exceeds the declared size.
func (s *Scheduler) ResizeAttempt(id string, task int, size structs.Resources, now time.Duration) {
	a, running := s.attempts[taskKey{id, int32(task)}]
	if !running {
		return
	}
	s.ledger.Refund(a.bucket.team.Team, a.size, now)
	s.ledger.Charge(a.bucket.team.Team, size, now)
	if a.slot != placement.NoSlot {
		s.fleet.Commit(a.slot, size)
		s.fleet.Release(a.slot, a.size)
		s.checkOverCommitted(a.slot)
	}
	a.size = size
}

// addAttempt adds an attempt and commits its size to its worker and team.
func (s *Scheduler) addAttempt(a *attempt, now time.Duration) {
	s.attempts[a.key] = a
	a.bucket.refs++
	if a.interruptible() {
		s.interruptible++
	}
	s.ledger.Charge(a.bucket.team.Team, a.size, now)
	if a.slot == placement.NoSlot {
		return
	}
	s.fleet.Commit(a.slot, a.size)
	s.onWorker[a.slot] = append(s.onWorker[a.slot], a)
	if a.bucket.spec.Class == structs.ClassService {
		a.bucket.doc.spread.Add(s.fleet, a.slot, 1)
	}
}

// removeAttempt removes an attempt and releases its size from its worker and team.
func (s *Scheduler) removeAttempt(a *attempt, now time.Duration) {
	delete(s.attempts, a.key)
	if a.interruptible() {
		s.interruptible--
	}
	s.ledger.Refund(a.bucket.team.Team, a.size, now)
	if a.slot != placement.NoSlot {
		list := s.onWorker[a.slot]
		i := slices.Index(list, a)
		s.onWorker[a.slot] = slices.Delete(list, i, i+1)
		if a.bucket.spec.Class == structs.ClassService {
			a.bucket.doc.spread.Add(s.fleet, a.slot, -1)
		}
		s.fleet.Release(a.slot, a.size)
	}
	s.unref(a.bucket)
}

// Waiting returns the number of waiting jobs.
func (s *Scheduler) Waiting() int { return len(s.jobs) }

// Running returns the number of running and planned attempts.
func (s *Scheduler) Running() int { return len(s.attempts) }

// Fleet returns the mirrored workers. The caller must not change them.
func (s *Scheduler) Fleet() *placement.Fleet { return s.fleet }

// Team returns a team's usage. The caller must not change it.
func (s *Scheduler) Team(name string) *share.Team { return s.team(name).Team }
