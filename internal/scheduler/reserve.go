package scheduler

import (
	"math"
	"slices"
	"time"

	"laburnumgrade/internal/gang"
	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/structs"
)

// noEnd is the predicted end of work that does not end by itself.
const noEnd = time.Duration(math.MaxInt64)

// reservationRenewInterval is the least time between two attempts to place a
// reserved job outside the room of its workers, or to select other workers for a
// reservation that could not be used at its start.
const reservationRenewInterval = time.Second

// workersPerReservation is the number of workers per reservation that is permitted
// in addition to Options.MaxReservations.
const workersPerReservation = 256

// The number of workers considered for a reservation is the larger of reserveScan
// and reserveScanPerTask for each task.
const (
	reserveScan        = 64
	reserveScanPerTask = 8
)

// reservation is a set of workers that are held for a job until they have room for
// it.
type reservation struct {
	owner uint64 // of the holds
	job   *job
	// start is when the workers are predicted to have room.
	start time.Duration
	slots []placement.Slot
	// noBackfill is set when the workers had no room at the start as predicted. Only
	// tasks that fit into the spare of the holds are then placed as backfill.
	noBackfill bool
	// renewedAt is when the workers were last selected or tried.
	renewedAt time.Duration
}

// tasksAtOnce returns how many tasks of the job must be placed together.
func (r *reservation) tasksAtOnce() int {
	if r.job.bucket.spec.Class == structs.ClassGang {
		return len(r.job.tasks)
	}
	return 1
}

// backfilledReservation returns the reservation of another job on whose worker a
// task of j would be placed as backfill, or nil.
func (s *Scheduler) backfilledReservation(slot placement.Slot, j *job) *reservation {
	owner := s.fleet.HoldOf(slot).Owner
	if owner == 0 || j.reservation != nil && j.reservation.owner == owner {
		return nil
	}
	for _, r := range s.reservations {
		if r.owner == owner {
			return r
		}
	}
	return nil
}

// reserve creates a reservation for a job, if the number of reservations permits it
// and workers are found.
func (s *Scheduler) reserve(p *plan, j *job) {
	if len(s.reservations) >= s.maxReservations() || j.reservation != nil {
		return
	}
	s.lastOwner++
	r := &reservation{owner: s.lastOwner, job: j}
	if !s.chooseWorkers(p, r) {
		return
	}
	j.reservation = r
	s.reservations = append(s.reservations, r)
}

// maxReservations returns the number of permitted reservations. It increases with
// the fleet, so that on a large one gangs do not wait for each other's reservations.
func (s *Scheduler) maxReservations() int {
	return s.options.MaxReservations + s.fleet.Len()/workersPerReservation
}

// chooseWorkers selects the workers and the start of a reservation, or returns
// false and changes only renewedAt. It keeps the present workers if they can hold
// all tasks, since selecting others after each wrong prediction would lose the room
// that has become free on them.
func (s *Scheduler) chooseWorkers(p *plan, r *reservation) bool {
	r.renewedAt = p.now
	tasks := r.tasksAtOnce()
	size := r.job.bucket.spec.Size
	chosen, ok := gang.EarliestReservation(s.reservedTimelines(p, r), size, tasks, p.now)
	if !ok {
		chosen, ok = gang.EarliestReservation(s.candidateTimelines(p, r, tasks), size, tasks, p.now)
	}
	if !ok {
		return false
	}
	s.releaseHolds(r)
	r.start = chosen.Start
	for _, reserved := range chosen.Workers {
		slot := placement.Slot(reserved.Worker)
		r.slots = append(r.slots, slot)
		s.fleet.SetHold(slot, placement.Hold{Owner: r.owner, BackfillUntil: r.backfillUntil(), Spare: reserved.Spare})
	}
	return true
}

// backfillUntil returns when backfill on the reserved workers must be predicted to
// have ended.
func (r *reservation) backfillUntil() time.Duration {
	if r.noBackfill {
		return 0
	}
	return r.start
}

// candidateTimelines returns the timelines of the present workers of a reservation
// and of usable workers without a hold. On a large fleet it considers a part of the
// workers, and continues with the others in the next call.
func (s *Scheduler) candidateTimelines(p *plan, r *reservation, tasks int) []gang.Timeline {
	timelines := s.reservedTimelines(p, r)
	slots := s.fleet.Slots()
	size := r.job.bucket.spec.Size
	want := max(reserveScan, reserveScanPerTask*tasks)
	for range slots {
		if len(timelines) >= want {
			break
		}
		s.reserveCursor = (s.reserveCursor + 1) % slots
		slot := placement.Slot(s.reserveCursor)
		if s.fleet.Usable(slot) && s.fleet.HoldOf(slot).Owner == 0 && size.Fits(s.fleet.Worker(slot).Capacity) {
			timelines = append(timelines, s.timeline(p, slot))
		}
	}
	return timelines
}

// reservedTimelines returns the timelines of the usable workers of a reservation.
func (s *Scheduler) reservedTimelines(p *plan, r *reservation) []gang.Timeline {
	var timelines []gang.Timeline
	for _, slot := range r.slots {
		if s.fleet.Usable(slot) {
			timelines = append(timelines, s.timeline(p, slot))
		}
	}
	return timelines
}

// timeline returns what the worker at slot has free and is expected to free.
func (s *Scheduler) timeline(p *plan, slot placement.Slot) gang.Timeline {
	t := gang.Timeline{Worker: int(slot), Free: s.fleet.Free(slot)}
	for _, a := range s.onWorker[slot] {
		if at := s.expectedEnd(p, a); at != noEnd {
			t.Releases = append(t.Releases, gang.PredictedRelease{At: at, Size: a.size})
		}
	}
	return t
}

// expectedEnd returns when an attempt is expected to end. Interruptible backfill is
// interrupted after the grace at the latest.
func (s *Scheduler) expectedEnd(p *plan, a *attempt) time.Duration {
	switch {
	case a.stopping:
		return p.now + s.options.BackfillGrace
	case a.bucket.spec.Class == structs.ClassService:
		return noEnd
	case a.backfillOf != nil && a.interruptible():
		return min(gang.ExpectedEnd(a.predictedEnd, p.now), max(a.backfillUntil, p.now)+s.options.BackfillGrace)
	}
	return gang.ExpectedEnd(a.predictedEnd, p.now)
}

// endReservation ends a reservation and its holds. It does nothing if r is nil or
// has ended.
func (s *Scheduler) endReservation(r *reservation) {
	if r == nil || r.job.reservation != r {
		return
	}
	s.releaseHolds(r)
	r.job.reservation = nil
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == r })
}

// releaseHolds ends the holds of a reservation.
func (s *Scheduler) releaseHolds(r *reservation) {
	for _, slot := range r.slots {
		if s.fleet.HoldOf(slot).Owner == r.owner {
			s.fleet.SetHold(slot, placement.Hold{})
		}
	}
	r.slots = r.slots[:0]
}

// updateReservations places the jobs whose reserved workers have room, interrupts
// overdue backfill, and selects new workers for reservations that could not be used
// at their start.
func (s *Scheduler) updateReservations(p *plan) {
	for _, r := range slices.Clone(s.reservations) {
		if len(p.batch.Placements) >= p.maxPlacements {
			return
		}
		s.updateReservation(p, r)
	}
}

func (s *Scheduler) updateReservation(p *plan, r *reservation) {
	j := r.job
	tasks := r.tasksAtOnce()
	if j.bucket.team.Room(j.bucket.spec.Size, tasks) < tasks {
		j.bucket.blockReason = blockedByAllotment
		s.endReservation(r)
		return
	}
	room, usable := s.roomReserved(r)
	due := p.now-r.renewedAt >= reservationRenewInterval
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
		r.noBackfill = r.noBackfill || usable
		if !s.chooseWorkers(p, r) && !usable {
			s.endReservation(r)
		}
	}
}

// roomReserved returns how many tasks the reserved workers have room for, and
// whether all of them are still usable. It drops from the reservation workers that
// were removed, whose slots may already be those of other workers.
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

// placeReserved places the job of a reservation, a gang on the reserved workers first
// and on others for the rest. It returns false if there is no room.
func (s *Scheduler) placeReserved(p *plan, r *reservation, tasks int) bool {
	j := r.job
	if placed := len(p.batch.Placements); placed > 0 && placed+tasks > p.maxPlacements {
		return false
	}
	if j.bucket.spec.Class == structs.ClassGang {
		slots, ok := s.chooseAll(p, j, r.slots)
		if ok {
			s.placeAll(p, j, slots)
		}
		return ok
	}
	request := s.request(p, j)
	for _, slot := range r.slots {
		if s.fleet.Eligible(slot, &request) {
			s.endReservation(r)
			s.place(p, j, slot, &request)
			return true
		}
	}
	return false
}

// interruptBackfill proposes to interrupt attempts that were placed on the reserved
// workers because they were predicted to end in time, and still run BackfillGrace
// later.
func (s *Scheduler) interruptBackfill(p *plan, r *reservation) {
	for _, slot := range r.slots {
		for _, a := range s.onWorker[slot] {
			if a.backfillOf == r && a.interruptible() && !a.stopping && gang.BackfillOverdue(a.backfillUntil, p.now, s.options.BackfillGrace) {
				s.interruptAttempt(p, a, "it overran the start of the reservation of job "+r.job.id)
			}
		}
	}
}
