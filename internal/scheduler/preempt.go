package scheduler

import (
	"slices"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// maxPreemptProbes bounds the workers examined to make room for an urgent task.
const maxPreemptProbes = 256

// maxUrgentReservations is the number of reservations, of all kinds, from which
// nothing more is preempted for urgent jobs.
const maxUrgentReservations = 64

// interruptAttempt proposes to interrupt an attempt and marks it, so that this is
// not proposed again.
func (s *Scheduler) interruptAttempt(p *plan, a *attempt, reason string) {
	a.stopping = true
	p.batch.Preemptions = append(p.batch.Preemptions, Preemption{
		a.key.job, int(a.key.task), s.fleet.Worker(a.slot).ID, a.incarnation, a.preemptionMethod(), reason,
	})
}

// preemptFor makes room for a task of an urgent job on one worker and reserves the
// worker for it. It interrupts only attempts whose documents allow it, as few as it
// can, and rather those that can checkpoint. Nothing is preempted for a gang. It
// reports whether the job has a reservation, new or old.
func (s *Scheduler) preemptFor(p *plan, j *job) bool {
	if j.reservation != nil {
		return true
	}
	if s.interruptible == 0 || j.bucket.spec.Class == structs.ClassGang || len(s.reservations) >= maxUrgentReservations {
		return false
	}
	slot, victims := s.chooseVictims(j.bucket.spec.Size)
	if len(victims) == 0 {
		return false
	}
	for _, a := range victims {
		s.interruptAttempt(p, a, "urgent job "+j.id+" needs the room")
	}
	s.lastOwner++
	j.reservation = &reservation{
		owner:      s.lastOwner,
		job:        j,
		start:      p.now,
		renewedAt:  p.now,
		noBackfill: true,
		slots:      []placement.Slot{slot},
	}
	s.reservations = append(s.reservations, j.reservation)
	s.fleet.SetHold(slot, placement.Hold{Owner: j.reservation.owner})
	return true
}

// chooseVictims returns the worker, among some that it examines, on which room for a
// size costs least, and the attempts to interrupt there.
func (s *Scheduler) chooseVictims(size structs.Resources) (placement.Slot, []*attempt) {
	best := placement.NoSlot
	var victims []*attempt
	cost := 0
	for range min(maxPreemptProbes, s.fleet.Slots()) {
		s.victimCursor = (s.victimCursor + 1) % s.fleet.Slots()
		slot := placement.Slot(s.victimCursor)
		if !s.fleet.Usable(slot) || s.fleet.HoldOf(slot).Owner != 0 {
			continue
		}
		found, c, ok := s.victimsOn(slot, size)
		if ok && (best == placement.NoSlot || c < cost) {
			best, victims, cost = slot, found, c
		}
	}
	return best, victims
}

// victimsOn returns the attempts to interrupt on a worker so that a size fits, and
// their cost: 1 for each that can checkpoint and 2 for each other one. It returns
// false if the size would not fit.
func (s *Scheduler) victimsOn(slot placement.Slot, size structs.Resources) ([]*attempt, int, bool) {
	free := s.fleet.Free(slot)
	var victims []*attempt
	cost := 0
	for _, means := range []PreemptionMethod{PreemptByCheckpoint, PreemptByStop} {
		for _, a := range slices.Backward(s.onWorker[slot]) {
			if size.Fits(free) {
				return victims, cost, true
			}
			if !a.interruptible() || a.preemptionMethod() != means || a.stopping || a.bucket.rank != share.RankBatch {
				continue
			}
			free = free.Add(a.size)
			victims = append(victims, a)
			cost += 1 + int(means)
		}
	}
	return victims, cost, size.Fits(free)
}

// preemptExcess proposes interruptions where a team uses more than its allotment or
// a worker has more committed than its capacity, the newest attempts of a worker
// first.
func (s *Scheduler) preemptExcess(p *plan) {
	for _, t := range s.overAllotment {
		s.preemptTeamExcess(p, t)
	}
	s.overAllotment = s.overAllotment[:0]
	for _, slot := range s.overCommitted {
		s.preemptWorkerExcess(p, slot)
	}
	s.overCommitted = s.overCommitted[:0]
}

func (s *Scheduler) preemptTeamExcess(p *plan, t *team) {
	use := t.InUse
	for _, list := range s.onWorker {
		for _, a := range slices.Backward(list) {
			if use.Fits(t.Allotment) {
				return
			}
			if a.bucket.team != t || !a.interruptible() {
				continue
			}
			use = use.Sub(a.size)
			if !a.stopping {
				s.interruptAttempt(p, a, "team "+t.Name+" is over its allotment")
			}
		}
	}
}

func (s *Scheduler) preemptWorkerExcess(p *plan, slot placement.Slot) {
	free := s.fleet.Free(slot)
	for _, a := range slices.Backward(s.onWorker[slot]) {
		if (structs.Resources{}).Fits(free) {
			return
		}
		if !a.interruptible() {
			continue
		}
		free = free.Add(a.size)
		if !a.stopping {
			s.interruptAttempt(p, a, "its worker has more committed than its capacity")
		}
	}
}
