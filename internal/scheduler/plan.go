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

// Quantiles of predicted run times.
const (
	orderQuantile = 0.5 // for the order of jobs
	endQuantile   = 0.9 // for the end of attempts
)

// minLongestWait is the least waiting time to which the waiting times of jobs are
// compared, so that recent jobs do not count as long waiting when all are recent.
const minLongestWait = 10 * time.Second

// The number of tries to place a job in a plan is triesPerPlan plus
// triesPerPlacement for each permitted placement. This bounds the cost of a plan.
const (
	triesPerPlacement = 8
	triesPerPlan      = 64
)

// minShareDeficit is how far below its fair share a team must be for its jobs to
// reserve room: the least product of the fairness weight and 1 minus the share
// ratio.
const minShareDeficit = 0.1

// gangRetryInterval is the least time between two searches for room for the same
// gang, because each costs one search per task.
const gangRetryInterval = 50 * time.Millisecond

// minStaleDeadlines is the number of outdated deadlines from which the heap is
// cleared of them.
const minStaleDeadlines = 1024

// plan is the state of one call of Plan.
type plan struct {
	now           time.Duration
	maxPlacements int
	triesLeft     int
	// batchFull is set when a gang does not fit into the rest of the batch.
	batchFull bool
	// behindShareWaits is set when a job of a team well below its fair share found
	// no room. Jobs of teams above their fair share are then not placed in the rest
	// of this plan.
	behindShareWaits bool
	longestWait      time.Duration
	orderByRank      [share.RankCount]orderHeap
	starvedOrder     orderHeap
	batch            Batch
}

// Plan proposes placements, rejections and preemptions. It returns at most max
// placements, unless the first job placed is a gang with more tasks: a gang is never
// split. Planned placements count as running until AttemptEnded. now is on the clock
// of all other times of the scheduler.
func (s *Scheduler) Plan(now time.Duration, max int) Batch {
	p := &s.plan
	p.now = now
	p.maxPlacements = max
	p.triesLeft = triesPerPlan + triesPerPlacement*max
	p.batchFull = false
	p.behindShareWaits = false
	p.batch = Batch{}
	s.planNumber++
	s.failedSearches.refresh(s.fleet.Version(), now)
	s.rejectExpired(p)
	s.preemptExcess(p)
	s.updateReservations(p)
	s.buildOrder(p)
	for !p.batchFull && len(p.batch.Placements) < max && p.triesLeft > 0 {
		b, starved := s.nextBucket(p)
		if b == nil {
			break
		}
		p.triesLeft--
		s.placeHead(p, b, starved)
	}
	return p.batch
}

// rejectExpired rejects jobs that have waited past their deadline.
func (s *Scheduler) rejectExpired(p *plan) {
	if len(s.deadlines) > 2*len(s.jobs)+minStaleDeadlines {
		s.deadlines = slices.DeleteFunc(s.deadlines, func(d deadlineEntry) bool { return d.job.removed || d.job.deadline != d.at })
		heap.Init(&s.deadlines)
	}
	for len(s.deadlines) > 0 && s.deadlines[0].at <= p.now {
		d := heap.Pop(&s.deadlines).(deadlineEntry)
		if d.job.removed || d.job.started || d.job.deadline != d.at {
			continue
		}
		s.reject(p, d.job, "not run: no task could start before the deadline")
	}
}

func (s *Scheduler) reject(p *plan, j *job, reason string) {
	p.batch.Rejections = append(p.batch.Rejections, Rejection{j.id, reason})
	s.RemoveJob(j.id)
}

// buildOrder adds the head of each bucket to the order of its rank and, if it is
// starved, to the order of starved jobs.
func (s *Scheduler) buildOrder(p *plan) {
	for r := range p.orderByRank {
		p.orderByRank[r] = p.orderByRank[r][:0]
	}
	p.starvedOrder = p.starvedOrder[:0]
	p.longestWait = minLongestWait
	for _, b := range s.active {
		p.longestWait = max(p.longestWait, p.now-b.head.submitted)
		p.orderByRank[b.rank] = append(p.orderByRank[b.rank], s.newEntry(p, b))
		if s.isStarved(p, b) {
			p.starvedOrder = append(p.starvedOrder, starvedEntry(b))
		}
	}
	for r := range p.orderByRank {
		p.orderByRank[r].build()
	}
	p.starvedOrder.build()
}

// isStarved reports whether the head of a bucket is starved and not kept waiting by
// the usage of its own team.
func (s *Scheduler) isStarved(p *plan, b *bucket) bool {
	o := &s.options.Policy
	return o.Starved(b.head.submitted, p.now) && b.team.shareRatio <= o.MaxStarvedShareRatio()
}

// starvedEntry returns the head of a bucket as an entry ordered by submission.
func starvedEntry(b *bucket) orderEntry {
	return orderEntry{score: float64(b.head.submitted), head: b.head}
}

// newEntry returns the head of a bucket as an entry ordered by score.
func (s *Scheduler) newEntry(p *plan, b *bucket) orderEntry {
	t := b.team
	if t.shareRatioPlan != s.planNumber {
		t.shareRatioPlan = s.planNumber
		t.shareRatio = s.ledger.ShareRatio(t.Team, p.now)
	}
	return orderEntry{s.options.Policy.Score(s.orderTime(b), p.now, t.shareRatio), b.head, t.revision}
}

// nextBucket returns the bucket whose head is to be placed next, or nil, and
// whether it is next because it is starved. Within a plan, placements of a team only
// increase the scores of its jobs, so it is enough to add an entry with an outdated
// score again when it comes first.
func (s *Scheduler) nextBucket(p *plan) (b *bucket, starved bool) {
	if s.placedSinceStarved >= s.options.Policy.StarvedEvery-1 {
		for len(p.starvedOrder) > 0 {
			e := p.starvedOrder.pop()
			if b := e.head.bucket; b.head == e.head && b.blockedInPlan != s.planNumber && s.isStarved(p, b) {
				return b, true
			}
		}
	}
	for r := range p.orderByRank {
		o := &p.orderByRank[r]
		for len(*o) > 0 {
			e := o.pop()
			b := e.head.bucket
			switch {
			case b.head == nil || b.blockedInPlan == s.planNumber:
			case b.head != e.head || b.team.revision != e.teamRevision:
				o.push(s.newEntry(p, b))
			default:
				return b, false
			}
		}
	}
	return nil, false
}

// placeHead tries to place the head of a bucket, and adds the bucket to the order
// again if it can have more to place.
func (s *Scheduler) placeHead(p *plan, b *bucket, starved bool) {
	j := b.head
	b.blockReason = s.tryJob(p, j)
	switch {
	case b.blockReason != notBlocked:
		s.handleBlocked(p, j, b.blockReason, starved)
	case starved:
		s.placedSinceStarved = 0
	default:
		s.placedSinceStarved++
	}
	if b.head == nil || b.blockedInPlan == s.planNumber {
		return
	}
	p.orderByRank[b.rank].push(s.newEntry(p, b))
	if s.isStarved(p, b) {
		p.starvedOrder.push(starvedEntry(b))
	}
}

// handleBlocked handles a job that was not placed: it preempts or reserves for it,
// or rejects it if its document does not allow it to wait. Unless it rejects the job,
// its bucket is not tried again in this plan.
func (s *Scheduler) handleBlocked(p *plan, j *job, why blockReason, starved bool) {
	b := j.bucket
	if why == blockedByRoom && b.rank == share.RankUrgent && s.preemptFor(p, j) {
		b.blockedInPlan = s.planNumber
		return
	}
	if !b.spec.WaitWhenFull && !j.started && (why == blockedByRoom || why == blockedByAllotment) {
		s.reject(p, j, "not run: "+s.blockText(b, why))
		return
	}
	behind := s.isBehindShare(b.team)
	if why == blockedByRoom && (starved || behind || j.isGang()) {
		s.reserve(p, j)
	}
	if why == blockedByRoom && behind && s.fleet.CapacityFor(b.spec.Size) >= int64(len(j.tasks)) {
		p.behindShareWaits = true
	}
	b.blockedInPlan = s.planNumber
}

// isBehindShare reports whether a team is so far below its fair share that a job of
// it that does not fit is to reserve room.
func (s *Scheduler) isBehindShare(t *team) bool {
	return s.options.Policy.FairnessWeight*(1-t.shareRatio) >= minShareDeficit
}

// tryJob places one task of a job, or all tasks of a gang, or returns why it does
// not.
func (s *Scheduler) tryJob(p *plan, j *job) blockReason {
	b := j.bucket
	need := 1
	if b.spec.Class == structs.ClassGang {
		need = len(j.tasks)
	}
	switch {
	case b.team.Room(b.spec.Size, need) < need:
		return blockedByAllotment
	case j.reservation != nil:
		return blockedByReservation
	case p.behindShareWaits && b.team.shareRatio > 1:
		return blockedByOrder
	case need > 1:
		return s.tryGang(p, j)
	}
	r := s.request(p, j)
	if s.failedSearches.covers(&r) {
		return blockedByRoom
	}
	slot, ok := s.fleet.Choose(&r)
	if !ok {
		s.failedSearches.add(&r)
		return blockedByRoom
	}
	s.place(p, j, slot, &r)
	return notBlocked
}

// request returns the request for a task of a job. Because a worker on probation may
// be faulty, only idempotent batch jobs that are not urgent may run there as trials.
func (s *Scheduler) request(p *plan, j *job) placement.Request {
	b := j.bucket
	r := placement.Request{
		Size:         b.spec.Size,
		RelativeWait: float64(p.now-j.submitted) / float64(p.longestWait),
		End:          s.backfillEnd(p.now, b),
		AllowTrial:   s.fleet.TrialsDue() > 0 && b.rank == share.RankBatch && b.spec.Class == structs.ClassBatch && b.spec.Idempotent,
	}
	if j.reservation != nil {
		r.Owner = j.reservation.owner
	}
	if b.spec.Class == structs.ClassService {
		r.Spread = &b.doc.spread
	}
	return r
}

// backfillEnd returns until when a task started now must be assumed to run on a
// worker that is held for another job. A service does not end by itself.
func (s *Scheduler) backfillEnd(now time.Duration, b *bucket) time.Duration {
	if b.spec.Class == structs.ClassService {
		return noEnd
	}
	predicted := b.doc.history.Predict(b.spec.RunTime, endQuantile)
	return gang.BackfillEnd(now, predicted, b.spec.MayCheckpoint || b.spec.MayPreempt)
}

// tryGang places all tasks of a gang or none, and returns why it places none.
func (s *Scheduler) tryGang(p *plan, j *job) blockReason {
	b := j.bucket
	if placed := len(p.batch.Placements); placed > 0 && placed+len(j.tasks) > p.maxPlacements {
		p.batchFull = true
		return blockedByOrder
	}
	if p.now < b.retryAt {
		return blockedByRoom
	}
	slots, ok := s.chooseAll(p, j, nil)
	if !ok {
		b.retryAt = p.now + gangRetryInterval
		return blockedByRoom
	}
	s.placeAll(p, j, slots)
	return notBlocked
}

// chooseAll returns a worker for each task of a job, the preferred ones first, or
// false if there is no room for all. It commits each size to find the next worker
// and releases them all before it returns.
func (s *Scheduler) chooseAll(p *plan, j *job, preferred []placement.Slot) ([]placement.Slot, bool) {
	r := s.request(p, j)
	var slots []placement.Slot
	for _, slot := range preferred {
		for range min(s.fleet.RoomFor(slot, r.Size), len(j.tasks)-len(slots)) {
			s.fleet.Commit(slot, r.Size)
			slots = append(slots, slot)
		}
	}
	ok := true
	fromPreferred := len(slots)
	var spare []structs.Resources
	for ok && len(slots) < len(j.tasks) {
		var slot placement.Slot
		slot, ok = s.fleet.Choose(&r)
		if ok {
			spare = append(spare, s.fleet.TakeSpare(slot, &r))
			s.fleet.Commit(slot, r.Size)
			slots = append(slots, slot)
		}
	}
	for i, slot := range slots {
		s.fleet.Release(slot, r.Size)
		if i >= fromPreferred {
			s.fleet.ReturnSpare(slot, spare[i-fromPreferred])
		}
	}
	s.failedSearches.setVersion(s.fleet.Version())
	return slots, ok
}

// placeAll plans the tasks of a job on the given workers and ends its reservation.
func (s *Scheduler) placeAll(p *plan, j *job, slots []placement.Slot) {
	r := s.request(p, j)
	s.endReservation(j.reservation)
	for _, slot := range slots {
		s.place(p, j, slot, &r)
	}
}

// place plans the first waiting task of a job on a worker.
func (s *Scheduler) place(p *plan, j *job, slot placement.Slot, r *placement.Request) {
	b := j.bucket
	w := s.fleet.Worker(slot)
	if w.Probation {
		s.fleet.ClearTrialDue(slot)
	}
	a := &attempt{
		key:          taskKey{j.id, j.tasks[0]},
		bucket:       b,
		slot:         slot,
		incarnation:  w.Incarnation,
		size:         b.spec.Size,
		started:      p.now,
		predictedEnd: p.now + b.doc.history.Predict(b.spec.RunTime, endQuantile),
	}
	if s.fleet.TakeSpare(slot, r).IsZero() {
		a.backfillOf, a.backfillUntil = s.backfilledReservation(slot, j), s.fleet.HoldOf(slot).BackfillUntil
	}
	p.batch.Placements = append(p.batch.Placements, Placement{j.id, int(a.key.task), w.ID, w.Incarnation})
	s.addAttempt(a, p.now)
	b.team.shareRatio = s.ledger.ShareRatio(b.team.Team, p.now)
	b.team.revision++
	j.started = true
	j.tasks = j.tasks[1:]
	if len(j.tasks) == 0 {
		s.RemoveJob(j.id)
	}
}
