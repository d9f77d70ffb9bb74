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

// DefaultMaxReservations bounds the reservations held at a time on a small
// fleet. With 4 on 50 workers, gangs of large tasks held most workers.
const DefaultMaxReservations = 2

// DefaultOptions returns the default policy.
func DefaultOptions() Options {
	return Options{
		Policy: share.DefaultPolicy(), BackfillGrace: gang.DefaultBackfillGrace, MaxReservations: DefaultMaxReservations,
		HalfLife: share.DefaultHalfLife, CurrentUsageWeight: share.DefaultCurrentUsageWeight,
	}
}

// Scheduler plans placements for the workers of one data centre. It has one
// owner: calls must not overlap.
type Scheduler struct {
	options  Options
	fleet    *placement.Fleet
	ledger   *share.Ledger
	teams    map[string]*team
	docs     map[[2]string]*document
	buckets  map[bucketKey]*bucket
	active   []*bucket
	jobs     map[string]*job
	attempts map[taskKey]*attempt
	onWorker [][]*attempt                 // by slot
	charged  map[string]structs.Resources // by worker
	dueJobs  deadlines
	overTeam []*team
	overSlot []placement.Slot

	reservations []*reservation
	nextOwner    uint64
	scanTurn     int
	victimTurn   int
	interrupt    int // running attempts that may be interrupted
	sinceStarved int
	planNumber   uint64
	failures     failures
	plan         plan
}

// New returns a scheduler without workers and jobs.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options: o, fleet: placement.NewFleet(), ledger: share.NewLedger(),
		teams: map[string]*team{}, docs: map[[2]string]*document{}, buckets: map[bucketKey]*bucket{},
		jobs: map[string]*job{}, attempts: map[taskKey]*attempt{}, charged: map[string]structs.Resources{},
	}
	s.ledger.HalfLife = o.HalfLife
	s.ledger.CurrentUsageWeight = o.CurrentUsageWeight
	return s
}

// SetTeam sets a team's share (relative to the sum over teams) and allotment.
func (s *Scheduler) SetTeam(name string, weight float64, allotment structs.Resources) {
	s.ledger.SetTeam(name, weight, allotment)
	t := s.team(name)
	if t.OverAllotment() {
		s.overTeam = append(s.overTeam, t)
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

// UpsertWorker adds a worker or replaces what is known about it. What is
// committed to it stays until AttemptEnded.
func (s *Scheduler) UpsertWorker(w placement.Worker) {
	slot := s.fleet.Upsert(w)
	if int(slot) == len(s.onWorker) {
		s.onWorker = append(s.onWorker, nil)
	}
	s.ledger.SetCapacity(s.fleet.Total())
	s.noteOverCommitted(slot)
}

// RemoveWorker forgets a worker.
func (s *Scheduler) RemoveWorker(id string) {
	s.SetCharged(id, structs.Resources{})
	s.fleet.Remove(id)
	s.ledger.SetCapacity(s.fleet.Total())
}

func (s *Scheduler) noteOverCommitted(slot placement.Slot) {
	free := s.fleet.Free(slot)
	if free.MilliCPU < 0 || free.MemoryBytes < 0 || free.Accelerators < 0 {
		s.overSlot = append(s.overSlot, slot)
	}
}

// AddJob adds a job or replaces its waiting tasks. Tasks with a running or
// planned attempt are left out.
func (s *Scheduler) AddJob(in Job) {
	j, known := s.jobs[in.ID]
	if known && j.bucket.key != keyOf(in.Spec, in.Urgent) {
		// A service keeps its job when its document changes.
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

// setDeadline enters the deadline of a job. A job of which planned tasks were
// all rejected is subject to its deadline again.
func (s *Scheduler) setDeadline(j *job, deadline time.Duration, planned bool) {
	again := j.started && !planned
	if deadline > 0 && (again || deadline != j.deadline) {
		heap.Push(&s.dueJobs, due{deadline, j})
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

// RemoveJob removes a job from the queue in constant time. Its running
// attempts stay until AttemptEnded.
func (s *Scheduler) RemoveJob(id string) {
	j, known := s.jobs[id]
	if !known {
		return
	}
	delete(s.jobs, id)
	j.gone = true
	s.endReservation(j.res)
	b := j.bucket
	b.remove(j)
	if b.head == nil {
		s.deactivate(b)
	}
	s.unref(b)
}

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

// RemoveDocument drops the run time history of a withdrawn document.
func (s *Scheduler) RemoveDocument(team, service string) {
	delete(s.docs, [2]string{team, service})
}

// AttemptStarted mirrors a committed attempt, planned here or elsewhere.
func (s *Scheduler) AttemptStarted(in Attempt, now time.Duration) {
	key := taskKey{in.JobID, int32(in.Task)}
	slot, known := s.fleet.Lookup(in.WorkerID)
	size := in.Size
	if size.IsZero() {
		size = in.Spec.Size
	}
	if a, running := s.attempts[key]; running {
		// A planned attempt has no id yet.
		same := a.id == 0 || in.ID == 0 || a.id == in.ID
		if same && known && a.slot == slot && a.incarnation == in.Incarnation {
			a.id = in.ID
			if a.size != size {
				s.ResizeAttempt(in.JobID, in.Task, size, now)
			}
			return
		}
		s.drop(a, now)
	}
	s.dropWaiting(in.JobID, int32(in.Task))
	if !known {
		slot = placement.NoSlot
	}
	b := s.bucket(in.Spec, in.Urgent)
	s.start(&attempt{
		key: key, id: in.ID, bucket: b, slot: slot, incarnation: in.Incarnation, size: size,
		started: in.Started, end: in.Started + b.doc.history.Predict(in.Spec.RunTime, endQuantile),
	}, now)
}

func (s *Scheduler) dropWaiting(id string, task int32) {
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

// AttemptEnded mirrors the end of an attempt, or the rejection of a planned
// one. Only the run times of completed attempts enter the history.
func (s *Scheduler) AttemptEnded(id string, task int, now time.Duration, completed bool) {
	a, running := s.attempts[taskKey{id, int32(task)}]
	if !running {
		return
	}
	if completed {
		a.bucket.doc.history.Record(now - a.started)
	}
	s.drop(a, now)
}

// ResizeAttempt replaces the size committed for an attempt, as when observed
// usage exceeds the declaration.
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
		s.noteOverCommitted(a.slot)
	}
	a.size = size
}

// start enters an attempt and charges its worker and team.
func (s *Scheduler) start(a *attempt, now time.Duration) {
	s.attempts[a.key] = a
	a.bucket.refs++
	if a.interruptible() {
		s.interrupt++
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

// drop removes an attempt and refunds its worker and team.
func (s *Scheduler) drop(a *attempt, now time.Duration) {
	delete(s.attempts, a.key)
	if a.interruptible() {
		s.interrupt--
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

// Fleet returns the mirrored workers, for reading.
func (s *Scheduler) Fleet() *placement.Fleet { return s.fleet }

// Team returns a team's usage, for reading.
func (s *Scheduler) Team(name string) *share.Team { return s.team(name).Team }
