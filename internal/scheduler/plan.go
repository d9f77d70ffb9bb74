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
	orderQuantile = 0.5
	endQuantile   = 0.9
)

// minLongestWait keeps work that has only just arrived from counting as long
// waiting.
const minLongestWait = 10 * time.Second

// Limits that bound the cost of a plan.
const (
	triesPerPlacement = 8
	triesPerPlan      = 64
)

// behindShare is how far below its share a team must be, at full weight, for a
// job of it to reserve room.
const behindShare = 0.1

// gangRetry is the least time between two tries to place the same gang in
// whole, which costs one search per task.
const gangRetry = 50 * time.Millisecond

// minDueJobs is the number of deadlines of removed jobs that are kept.
const minDueJobs = 1024

// plan is the state of one Plan call.
type plan struct {
	now   time.Duration
	max   int
	tries int
	stop  bool
	// behindWaits is set when work of a team behind its share found no room. Teams
	// above their shares then leave the rest of the room in this plan.
	behindWaits bool
	longest     time.Duration
	ranks       [share.RankCount]order
	starved     order
	batch       Batch
}

// Plan proposes at most max placements, but never part of a gang. Planned
// placements count as running until AttemptEnded.
func (s *Scheduler) Plan(now time.Duration, max int) Batch {
	p := &s.plan
	p.now = now
	p.max = max
	p.tries = triesPerPlan + triesPerPlacement*max
	p.stop = false
	p.behindWaits = false
	p.batch = Batch{}
	s.planNumber++
	s.failures.refresh(s.fleet.Version(), now)
	s.expire(p)
	s.shed(p)
	s.serveReservations(p)
	s.buildOrder(p)
	for !p.stop && len(p.batch.Placements) < max && p.tries > 0 {
		b, starved := s.next(p)
		if b == nil {
			break
		}
		p.tries--
		s.attend(p, b, starved)
	}
	return p.batch
}

// expire rejects jobs that have waited past their deadline.
func (s *Scheduler) expire(p *plan) {
	if len(s.dueJobs) > 2*len(s.jobs)+minDueJobs {
		s.dueJobs = slices.DeleteFunc(s.dueJobs, func(d due) bool { return d.job.gone || d.job.deadline != d.at })
		heap.Init(&s.dueJobs)
	}
	for len(s.dueJobs) > 0 && s.dueJobs[0].at <= p.now {
		d := heap.Pop(&s.dueJobs).(due)
		if d.job.gone || d.job.started || d.job.deadline != d.at {
			continue
		}
		s.reject(p, d.job, "not run: no task could start before the deadline")
	}
}

func (s *Scheduler) reject(p *plan, j *job, reason string) {
	p.batch.Rejections = append(p.batch.Rejections, Rejection{j.id, reason})
	s.RemoveJob(j.id)
}

// buildOrder enters the head of every bucket into the order of its rank.
func (s *Scheduler) buildOrder(p *plan) {
	for r := range p.ranks {
		p.ranks[r] = p.ranks[r][:0]
	}
	p.starved = p.starved[:0]
	p.longest = minLongestWait
	for _, b := range s.active {
		p.longest = max(p.longest, p.now-b.head.submitted)
		p.ranks[b.rank] = append(p.ranks[b.rank], s.entry(p, b))
		if s.starved(p, b) {
			p.starved = append(p.starved, starvedEntry(b))
		}
	}
	for r := range p.ranks {
		p.ranks[r].build()
	}
	p.starved.build()
}

func (s *Scheduler) starved(p *plan, b *bucket) bool {
	o := &s.options.Policy
	return o.Starved(b.head.submitted, p.now) && b.team.excess <= o.MaxStarvedShareRatio()
}

func starvedEntry(b *bucket) entry {
	return entry{score: float64(b.head.submitted), head: b.head}
}

func (s *Scheduler) entry(p *plan, b *bucket) entry {
	t := b.team
	if t.plan != s.planNumber {
		t.plan = s.planNumber
		t.excess = s.ledger.ShareRatio(t.Team, p.now)
	}
	return entry{s.options.Policy.Score(s.turn(b), p.now, t.excess), b.head, t.epoch}
}

// next returns the bucket whose head is to be placed next. Scores only grow
// within a plan, so an entry that is out of date is entered again.
func (s *Scheduler) next(p *plan) (b *bucket, starved bool) {
	if s.sinceStarved >= s.options.Policy.StarvedEvery-1 {
		for len(p.starved) > 0 {
			e := p.starved.pop()
			if b := e.head.bucket; b.head == e.head && b.blocked != s.planNumber && s.starved(p, b) {
				return b, true
			}
		}
	}
	for r := range p.ranks {
		o := &p.ranks[r]
		for len(*o) > 0 {
			e := o.pop()
			b := e.head.bucket
			switch {
			case b.head == nil || b.blocked == s.planNumber:
			case b.head != e.head || b.team.epoch != e.epoch:
				o.push(s.entry(p, b))
			default:
				return b, false
			}
		}
	}
	return nil, false
}

// attend tries to place the head of a bucket, and enters the bucket again if
// it has more to place.
func (s *Scheduler) attend(p *plan, b *bucket, starved bool) {
	j := b.head
	b.limit = s.tryJob(p, j)
	switch {
	case b.limit != limitNone:
		s.refused(p, j, b.limit, starved)
	case starved:
		s.sinceStarved = 0
	default:
		s.sinceStarved++
	}
	if b.head == nil || b.blocked == s.planNumber {
		return
	}
	p.ranks[b.rank].push(s.entry(p, b))
	if s.starved(p, b) {
		p.starved.push(starvedEntry(b))
	}
}

// refused handles a job that cannot be placed now.
func (s *Scheduler) refused(p *plan, j *job, why limit, starved bool) {
	b := j.bucket
	if why == limitRoom && b.rank == share.RankUrgent && s.preemptFor(p, j) {
		b.blocked = s.planNumber
		return
	}
	if !b.spec.WaitWhenFull && !j.started && (why == limitRoom || why == limitAllotment) {
		s.reject(p, j, "not run: "+s.limitText(b, why))
		return
	}
	behind := s.behind(b.team)
	if why == limitRoom && (starved || behind || j.isGang()) {
		s.reserve(p, j)
	}
	if why == limitRoom && behind && s.fleet.CapacityFor(b.spec.Size) >= int64(len(j.tasks)) {
		p.behindWaits = true
	}
	b.blocked = s.planNumber
}

// behind reports whether a team is so far below its share that a job of it
// that does not fit is to reserve room.
func (s *Scheduler) behind(t *team) bool {
	return s.options.Policy.FairnessWeight*(1-t.excess) >= behindShare
}

// tryJob places one task of a job, or all tasks of a gang.
func (s *Scheduler) tryJob(p *plan, j *job) limit {
	b := j.bucket
	need := 1
	if b.spec.Class == structs.ClassGang {
		need = len(j.tasks)
	}
	switch {
	case b.team.Room(b.spec.Size, need) < need:
		return limitAllotment
	case j.res != nil:
		return limitReservation
	case p.behindWaits && b.team.excess > 1:
		return limitOrder
	case need > 1:
		return s.tryGang(p, j)
	}
	r := s.request(p, j)
	if s.failures.includes(&r) {
		return limitRoom
	}
	slot, ok := s.fleet.Choose(&r)
	if !ok {
		s.failures.add(&r)
		return limitRoom
	}
	s.place(p, j, slot, &r)
	return limitNone
}

func (s *Scheduler) request(p *plan, j *job) placement.Request {
	b := j.bucket
	r := placement.Request{
		Size:         b.spec.Size,
		RelativeWait: float64(p.now-j.submitted) / float64(p.longest),
		End:          s.backfillEnd(p.now, b),
		AllowTrial:   s.fleet.TrialsDue() > 0 && b.rank == share.RankBatch && b.spec.Class == structs.ClassBatch && b.spec.Idempotent,
	}
	if j.res != nil {
		r.Owner = j.res.owner
	}
	if b.spec.Class == structs.ClassService {
		r.Spread = &b.doc.spread
	}
	return r
}

// backfillEnd returns until when a task must be assumed to run on workers that
// are held for others. A service does not end.
func (s *Scheduler) backfillEnd(now time.Duration, b *bucket) time.Duration {
	if b.spec.Class == structs.ClassService {
		return noEnd
	}
	predicted := b.doc.history.Predict(b.spec.RunTime, endQuantile)
	return gang.BackfillEnd(now, predicted, b.spec.MayCheckpoint || b.spec.MayPreempt)
}

// tryGang places all tasks of a gang or none.
func (s *Scheduler) tryGang(p *plan, j *job) limit {
	b := j.bucket
	if placed := len(p.batch.Placements); placed > 0 && placed+len(j.tasks) > p.max {
		p.stop = true
		return limitOrder
	}
	if p.now < b.tryAfter {
		return limitRoom
	}
	slots, ok := s.chooseAll(p, j, nil)
	if !ok {
		b.tryAfter = p.now + gangRetry
		return limitRoom
	}
	s.placeAll(p, j, slots)
	return limitNone
}

// chooseAll chooses a worker for each task of a job, taking the preferred ones
// first. Nothing stays committed.
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
	chosen := len(slots)
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
		if i >= chosen {
			s.fleet.ReturnSpare(slot, spare[i-chosen])
		}
	}
	s.failures.unchanged(s.fleet.Version())
	return slots, ok
}

func (s *Scheduler) placeAll(p *plan, j *job, slots []placement.Slot) {
	r := s.request(p, j)
	s.endReservation(j.res)
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
		key: taskKey{j.id, j.tasks[0]}, bucket: b, slot: slot, incarnation: w.Incarnation, size: b.spec.Size,
		started: p.now, end: p.now + b.doc.history.Predict(b.spec.RunTime, endQuantile),
	}
	if s.fleet.TakeSpare(slot, r).IsZero() {
		a.backfill, a.backfillBy = s.holder(slot, j), s.fleet.HoldOf(slot).BackfillUntil
	}
	p.batch.Placements = append(p.batch.Placements, Placement{j.id, int(a.key.task), w.ID, w.Incarnation})
	s.start(a, p.now)
	b.team.excess = s.ledger.ShareRatio(b.team.Team, p.now)
	b.team.epoch++
	j.started = true
	j.tasks = j.tasks[1:]
	if len(j.tasks) == 0 {
		s.RemoveJob(j.id)
	}
}
