package scheduler

import (
	"slices"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// preemptProbes bounds the workers looked at to make room for urgent work.
const preemptProbes = 256

// maxUrgentReservations bounds the workers being emptied for urgent work.
const maxUrgentReservations = 64

// interruptAttempt asks for an attempt to be interrupted, once.
func (s *Scheduler) interruptAttempt(p *plan, a *attempt, reason string) {
	a.stopping = true
	p.batch.Preemptions = append(p.batch.Preemptions, Preemption{
		a.key.job, int(a.key.task), s.fleet.Worker(a.slot).ID, a.incarnation, a.means(), reason,
	})
}

// preemptFor empties a worker for a task of urgent work, interrupting what its
// documents allow: the fewest tasks, those that can checkpoint before others.
// The worker is reserved for the task. It reports whether the task has or got
// a reservation.
func (s *Scheduler) preemptFor(p *plan, j *job) bool {
	if j.res != nil {
		return true
	}
	if s.interrupt == 0 || j.bucket.spec.Class == structs.ClassGang || len(s.reservations) >= maxUrgentReservations {
		return false
	}
	slot, victims := s.chooseVictims(j.bucket.spec.Size)
	if len(victims) == 0 {
		return false
	}
	for _, a := range victims {
		s.interruptAttempt(p, a, "urgent job "+j.id+" needs the room")
	}
	s.nextOwner++
	j.res = &reservation{
		owner: s.nextOwner, job: j, start: p.now, renewedAt: p.now, strict: true, slots: []placement.Slot{slot},
	}
	s.reservations = append(s.reservations, j.res)
	s.fleet.SetHold(slot, placement.Hold{Owner: j.res.owner})
	return true
}

func (s *Scheduler) chooseVictims(size structs.Resources) (placement.Slot, []*attempt) {
	best := placement.NoSlot
	var victims []*attempt
	cost := 0
	for range min(preemptProbes, s.fleet.Slots()) {
		s.victimTurn = (s.victimTurn + 1) % s.fleet.Slots()
		slot := placement.Slot(s.victimTurn)
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

// victimsOn returns the attempts on a worker to interrupt for a size, and
// their cost: one for each, and one more for each that cannot checkpoint.
func (s *Scheduler) victimsOn(slot placement.Slot, size structs.Resources) ([]*attempt, int, bool) {
	free := s.fleet.Free(slot)
	var victims []*attempt
	cost := 0
	for _, means := range []PreemptionMethod{PreemptByCheckpoint, PreemptByStop} {
		for _, a := range slices.Backward(s.onWorker[slot]) {
			if size.Fits(free) {
				return victims, cost, true
			}
			if !a.interruptible() || a.means() != means || a.stopping || a.bucket.rank != share.RankBatch {
				continue
			}
			free = free.Add(a.size)
			victims = append(victims, a)
			cost += 1 + int(means)
		}
	}
	return victims, cost, size.Fits(free)
}

// shed asks for interruptions where a team uses more than its allotment or a
// worker has more committed than its capacity, newest attempts first.
func (s *Scheduler) shed(p *plan) {
	for _, t := range s.overTeam {
		s.shedTeam(p, t)
	}
	s.overTeam = s.overTeam[:0]
	for _, slot := range s.overSlot {
		s.shedSlot(p, slot)
	}
	s.overSlot = s.overSlot[:0]
}

func (s *Scheduler) shedTeam(p *plan, t *team) {
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

func (s *Scheduler) shedSlot(p *plan, slot placement.Slot) {
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
