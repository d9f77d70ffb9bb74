package scheduler

import (
	"fmt"

	"laburnumgrade/internal/admission"
	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/structs"
)

// Explanation is the answer of Explain.
type Explanation struct {
	// Waiting reports whether the job waits. If it is false, the other fields only say
	// that it does not.
	Waiting bool
	// Infeasible is set if the present workers could not hold the job even if they were
	// empty.
	Infeasible bool
	// Reasons are messages for people, the most limiting reason first.
	Reasons []string
}

// Explain returns why a job waits. It examines every worker, so it must not be called
// for each job in a plan.
func (s *Scheduler) Explain(id string) Explanation {
	j, known := s.jobs[id]
	if !known {
		return Explanation{Reasons: []string{"the job is not waiting"}}
	}
	e := Explanation{Waiting: true}
	b := j.bucket
	tasks := 1
	if b.spec.Class == structs.ClassGang {
		tasks = len(j.tasks)
	}
	if reason, never := admission.Infeasible(s.fleet, b.spec.Size, tasks); never {
		e.Infeasible = true
		e.add(reason)
	}
	if b.team.Room(b.spec.Size, tasks) < tasks {
		e.add(b.team.Shortage(b.spec.Size, tasks))
	}
	if b.blockReason != notBlocked || tasks > 1 {
		if text, short := s.roomText(b.spec.Size, tasks); short {
			e.add(text)
		}
	}
	if r := j.reservation; r != nil {
		e.add(fmt.Sprintf("holds a reservation of %d workers from %v", len(r.slots), r.start))
	} else if n := len(s.reservations); n > 0 {
		e.add(fmt.Sprintf("%d other jobs hold reservations", n))
	}
	e.add(s.orderText(j))
	return e
}

func (e *Explanation) add(reason string) { e.Reasons = append(e.Reasons, reason) }

// orderText returns a message on how many jobs are ordered before a job.
func (s *Scheduler) orderText(j *job) string {
	before := 0
	for at := j.prev; at != nil; at = at.prev {
		before++
	}
	ranks := 0
	for _, b := range s.active {
		if b.rank < j.bucket.rank {
			ranks += b.jobs
		}
	}
	return fmt.Sprintf("%d jobs of the same document and %d jobs of a more urgent kind are ordered before it; team %q uses %.2f of its share",
		before, ranks, j.bucket.team.Name, j.bucket.team.shareRatio)
}

// blockText returns a message on why the head of a bucket was not placed.
func (s *Scheduler) blockText(b *bucket, why blockReason) string {
	tasks := 1
	if b.spec.Class == structs.ClassGang {
		tasks = len(b.head.tasks)
	}
	if why == blockedByAllotment {
		return b.team.Shortage(b.spec.Size, tasks)
	}
	return "no worker has room now"
}

// roomText returns a message on how many tasks the usable workers have room for, with
// the resource that the fewest workers have enough of. It returns false if there is
// room for all tasks.
func (s *Scheduler) roomText(size structs.Resources, tasks int) (string, bool) {
	usable, room := 0, 0
	var enough [3]int
	for slot := range placement.Slot(s.fleet.Slots()) {
		if !s.fleet.Usable(slot) {
			continue
		}
		usable++
		room += s.fleet.RoomFor(slot, size)
		free := s.fleet.Free(slot)
		for d, ok := range []bool{
			size.MilliCPU <= free.MilliCPU, size.MemoryBytes <= free.MemoryBytes, size.Accelerators <= free.Accelerators,
		} {
			if ok {
				enough[d]++
			}
		}
	}
	if room >= tasks {
		return "", false
	}
	text := fmt.Sprintf("%d of %d tasks have room now; of %d usable workers ", room, tasks, usable)
	texts := []string{
		fmt.Sprintf("%d have %g cores free", enough[0], float64(size.MilliCPU)/1000),
		fmt.Sprintf("%d have %d MiB of memory free", enough[1], size.MemoryBytes>>20),
		fmt.Sprintf("%d have %d accelerators free", enough[2], size.Accelerators),
	}
	least := 0
	for d := range enough {
		if enough[d] < enough[least] {
			least = d
		}
	}
	return text + texts[least], true
}
