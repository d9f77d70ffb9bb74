package dispatch

import (
	"math"
	"time"

	"laburnumgrade/internal/cell"
)

const (
	// turnsPerJob is how often a job of one step waits for its turn on the leader's processor:
	// submission, its commit, advice, plan, commit of the plan, start order, listing of the end,
	// commit of the end.
	turnsPerJob = 8
	// maxTurnsShare is the part of their time to spare that the most urgent jobs may wait for
	// turns before other work gives way. They also wait for commits, advice and room, and half
	// of the waits exceed the average.
	maxTurnsShare = 0.25
	// turnDelayWeight is the weight of the newest plan in the average of the delay of a turn,
	// which covers some plans, since commits come in bursts.
	turnDelayWeight = 0.2
	// givingWayShare is the part of its time to spare for which a step gives way. The rest is
	// for its own wait, together with what has given way at the same time.
	givingWayShare = 0.5
)

// turnDelay is the average time that the planner waits for its turn on the processor. It shows
// how late all goroutines of the leader are.
type turnDelay struct{ average time.Duration }

// observe adds the delay that a plan has measured.
func (d *turnDelay) observe(measured time.Duration) {
	d.average += time.Duration(turnDelayWeight * float64(measured-d.average))
}

// delaysUrgentWork reports whether jobs with a time to spare would be late by their turns.
func (d *turnDelay) delaysUrgentWork(spare time.Duration) bool {
	return float64(turnsPerJob*d.average) > maxTurnsShare*float64(spare)
}

// withoutGivingWay removes the steps that give way to those of the most urgent queue, and counts
// them. While turns on the processor are so late that urgent jobs cannot be in time, each start of
// other tasks delays them further. A step gives way as long as it keeps enough of its time to
// spare; one with advice would lose its tickets, and a gang needs its time to collect room.
func (t *term) withoutGivingWay(p *planner, steps []*readyStep, inService map[cell.StepKey]time.Duration) []*readyStep {
	most, spare := math.MaxInt, time.Duration(math.MaxInt64)
	for _, rs := range steps {
		if rs.step.Daemon {
			continue
		}
		if rs.queue.Priority < most {
			most, spare = rs.queue.Priority, time.Duration(math.MaxInt64)
		}
		if rs.queue.Priority == most {
			spare = min(spare, rs.spare)
		}
	}
	if !t.turnDelay.delaysUrgentWork(spare) {
		return steps
	}
	kept := make([]*readyStep, 0, len(steps))
	for _, rs := range steps {
		_, served := inService[rs.key]
		left := rs.deadline - p.now - time.Duration(slowMargin*float64(rs.remaining))
		if rs.queue.Priority == most || rs.step.Daemon || rs.step.Gang || served || float64(left) < givingWayShare*float64(rs.spare) {
			kept = append(kept, rs)
			continue
		}
		rs.waitsFor = waitsForTurn
		p.waiting[waitsForTurn]++
	}
	return kept
}
