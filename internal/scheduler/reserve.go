package scheduler

import (
	"math"
	"slices"
	"time"

	"laburnumgrade/internal/gang"
	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/structs"
)

// noEnd is the end of work that does not end by itself.
const noEnd = time.Duration(math.MaxInt64)

// reservationRenew is the least time between two choices of the workers of a
// reservation that could not be used when it was due.
const reservationRenew = time.Second

// workersPerReservation is the number of workers for which one more
// reservation is permitted.
const workersPerReservation = 256

// Limits on the workers looked at for a reservation.
const (
	reserveScan        = 64
	reserveScanPerTask = 8
)

// reservation holds workers for a gang or a starved job from a point in time.
type reservation struct {
	owner uint64
	job   *job
	start time.Duration
	slots []placement.Slot
	// strict ends backfill: the first choice of workers proved wrong.
	strict    bool
	renewedAt time.Duration
}

// tasks returns how many tasks must be placed at once.
func (r *reservation) tasks() int {
	if r.job.bucket.spec.Class == structs.ClassGang {
		return len(r.job.tasks)
	}
	return 1
}

// holder returns the reservation that a task of j on slot would backfill.
func (s *Scheduler) holder(slot placement.Slot, j *job) *reservation {
	owner := s.fleet.HoldOf(slot).Owner
	if owner == 0 || j.res != nil && j.res.owner == owner {
		return nil
	}
	for _, r := range s.reservations {
		if r.owner == owner {
			return r
		}
	}
	return nil
}

// reserve makes a reservation for a job, if another one is permitted.
func (s *Scheduler) reserve(p *plan, j *job) {
	if len(s.reservations) >= s.maxReservations() || j.res != nil {
		return
	}
	s.nextOwner++
	r := &reservation{owner: s.nextOwner, job: j}
	if !s.chooseWorkers(p, r) {
		return
	}
	j.res = r
	s.reservations = append(s.reservations, r)
}

// maxReservations grows with the fleet, so that on a large one gangs do not
// wait for each other's reservations.
func (s *Scheduler) maxReservations() int {
	return s.options.MaxReservations + s.fleet.Len()/workersPerReservation
}

// chooseWorkers sets the workers and the start of a reservation. Workers that
// are reserved already are kept if they can hold all tasks: choosing others
// each time a prediction proves wrong would give up what has been freed.
func (s *Scheduler) chooseWorkers(p *plan, r *reservation) bool {
	r.renewedAt = p.now
	tasks := r.tasks()
	size := r.job.bucket.spec.Size
	chosen, ok := gang.EarliestReservation(s.reserved(p, r), size, tasks, p.now)
	if !ok {
		chosen, ok = gang.EarliestReservation(s.timelines(p, r, tasks), size, tasks, p.now)
	}
	if !ok {
		return false
	}
	s.release(r)
	r.start = chosen.Start
	for _, part := range chosen.Workers {
		slot := placement.Slot(part.Worker)
		r.slots = append(r.slots, slot)
		s.fleet.SetHold(slot, placement.Hold{Owner: r.owner, BackfillUntil: r.backfillUntil(), Spare: part.Spare})
	}
	return true
}

func (r *reservation) backfillUntil() time.Duration {
	if r.strict {
		return 0
	}
	return r.start
}

// timelines returns what workers not held for others release and when. On a
// large fleet it looks at a part of the workers, another one each time.
func (s *Scheduler) timelines(p *plan, r *reservation, tasks int) []gang.Timeline {
	lines := s.reserved(p, r)
	slots := s.fleet.Slots()
	size := r.job.bucket.spec.Size
	want := max(reserveScan, reserveScanPerTask*tasks)
	for range slots {
		if len(lines) >= want {
			break
		}
		s.scanTurn = (s.scanTurn + 1) % slots
		slot := placement.Slot(s.scanTurn)
		if s.fleet.Usable(slot) && s.fleet.HoldOf(slot).Owner == 0 && size.Fits(s.fleet.Worker(slot).Capacity) {
			lines = append(lines, s.timeline(p, slot))
		}
	}
	return lines
}

// reserved returns the timelines of the usable workers of a reservation.
func (s *Scheduler) reserved(p *plan, r *reservation) []gang.Timeline {
	var lines []gang.Timeline
	for _, slot := range r.slots {
		if s.fleet.Usable(slot) {
			lines = append(lines, s.timeline(p, slot))
		}
	}
	return lines
}

func (s *Scheduler) timeline(p *plan, slot placement.Slot) gang.Timeline {
	t := gang.Timeline{Worker: int(slot), Free: s.fleet.Free(slot)}
	for _, a := range s.onWorker[slot] {
		if at := s.expectedEnd(p, a); at != noEnd {
			t.Releases = append(t.Releases, gang.PredictedRelease{At: at, Size: a.size})
		}
	}
	return t
}

func (s *Scheduler) expectedEnd(p *plan, a *attempt) time.Duration {
	switch {
	case a.stopping:
		return p.now + s.options.BackfillGrace
	case a.bucket.spec.Class == structs.ClassService:
		return noEnd
	case a.backfill != nil && a.interruptible():
		return min(gang.ExpectedEnd(a.end, p.now), max(a.backfillBy, p.now)+s.options.BackfillGrace)
	}
	return gang.ExpectedEnd(a.end, p.now)
}

// endReservation frees the workers of a reservation.
func (s *Scheduler) endReservation(r *reservation) {
	if r == nil || r.job.res != r {
		return
	}
	s.release(r)
	r.job.res = nil
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == r })
}

func (s *Scheduler) release(r *reservation) {
	for _, slot := range r.slots {
		if s.fleet.HoldOf(slot).Owner == r.owner {
			s.fleet.SetHold(slot, placement.Hold{})
		}
	}
	r.slots = r.slots[:0]
}

// serveReservations places the jobs whose reserved workers have room, ends
// overdue backfill, and renews reservations that proved wrong.
func (s *Scheduler) serveReservations(p *plan) {
	for _, r := range slices.Clone(s.reservations) {
		if len(p.batch.Placements) >= p.max {
			return
		}
		s.serve(p, r)
	}
}

func (s *Scheduler) serve(p *plan, r *reservation) {
	j := r.job
	tasks := r.tasks()
	if j.bucket.team.Room(j.bucket.spec.Size, tasks) < tasks {
		j.bucket.limit = limitAllotment
		s.endReservation(r)
		return
	}
	room, usable := s.roomReserved(r)
	due := p.now-r.renewedAt >= reservationRenew
	if due {
		r.renewedAt = p.now
	}
	if room >= tasks || due {
		if s.placeReserved(p, r, tasks) {
			return
		}
	}
	s.interruptBackfill(p, r)
	if !usable || due && p.now > r.start {
		r.strict = r.strict || usable
		if !s.chooseWorkers(p, r) && !usable {
			s.endReservation(r)
		}
	}
}

// roomReserved returns how many tasks the reserved workers have room for, and
// whether all of them are still usable. It drops workers that were removed,
// since their slots may be those of other workers by now.
func (s *Scheduler) roomReserved(r *reservation) (room int, usable bool) {
	before := len(r.slots)
	r.slots = slices.DeleteFunc(r.slots, func(slot placement.Slot) bool { return s.fleet.HoldOf(slot).Owner != r.owner })
	usable = len(r.slots) == before
	for _, slot := range r.slots {
		room += s.fleet.RoomFor(slot, r.job.bucket.spec.Size)
		usable = usable && s.fleet.Usable(slot)
	}
	return room, usable
}

func (s *Scheduler) placeReserved(p *plan, r *reservation, tasks int) bool {
	j := r.job
	if placed := len(p.batch.Placements); placed > 0 && placed+tasks > p.max {
		return false
	}
	if j.bucket.spec.Class == structs.ClassGang {
		slots, ok := s.chooseAll(p, j, r.slots)
		if ok {
			s.placeAll(p, j, slots)
		}
		return ok
	}
	q := s.request(p, j)
	for _, slot := range r.slots {
		if s.fleet.Eligible(slot, &q) {
			s.endReservation(r)
			s.place(p, j, slot, &q)
			return true
		}
	}
	return false
}

// interruptBackfill asks for the interruption of work that was let onto
// reserved workers on the prediction that it would have ended, when that was
// BackfillGrace ago.
func (s *Scheduler) interruptBackfill(p *plan, r *reservation) {
	for _, slot := range r.slots {
		for _, a := range s.onWorker[slot] {
			if a.backfill == r && a.interruptible() && !a.stopping && gang.BackfillOverdue(a.backfillBy, p.now, s.options.BackfillGrace) {
				s.interruptAttempt(p, a, "it overran the start of the reservation of job "+r.job.id)
			}
		}
	}
}
