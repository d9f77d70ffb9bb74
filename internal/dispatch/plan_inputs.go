package dispatch

import (
	"math"
	"slices"

	"laburnumgrade/internal/cell"
)

// copyInputs copies the ready steps, the usable workers and the headroom of the teams from
// the replicated state. Commits are applied while a plan is made; the state refuses
// placements that no longer suit it.
func (t *term) copyInputs(p *planner) (readySteps []*readyStep, workers []*cell.Worker) {
	t.leader.Store.View(func(v *cell.View) {
		began := t.leader.Clock.Now()
		readySteps = copyReadySteps(v, allQueues)
		p.mostUrgent = mostUrgentPriority(v.Configuration())
		// A task that starts again later requests new advice, since by then other
		// workers have free capacity.
		t.advice.retainSteps(v.Ready())
		p.moves = t.movesDue(p.now) && len(v.Evacuated()) > 0
		if len(readySteps) > 0 || p.moves {
			workers = t.attemptCopies.copyWorkers(v)
			workers = p.setAsideEvacuated(workers, v)
		}
		p.addHeadroom(v, readySteps)
		t.leader.metrics.planLock.RecordDuration(t.leader.Clock.Now() - began)
	})
	return readySteps, workers
}

// addHeadroom adds the headroom of the teams of ready steps that the plan does not have yet.
func (p *planner) addHeadroom(v *cell.View, readySteps []*readyStep) {
	for _, rs := range readySteps {
		if _, known := p.headroom[rs.team]; !known {
			p.headroom[rs.team] = v.Headroom(rs.team)
		}
	}
}

// mostUrgentPriority returns the priority of the most urgent queues of a configuration.
func mostUrgentPriority(c *cell.Configuration) int {
	most := math.MaxInt
	if c != nil {
		for i := range c.Queues {
			most = min(most, c.Queues[i].Priority)
		}
	}
	return most
}

// urgentSteps returns the steps of the most urgent queues that are ready now, in the order
// of their rank, if the next step of a plan is less urgent: since the plan began such steps
// have become ready or have got advice, and they would wait for all that is left of it.
func (t *term) urgentSteps(p *planner, next *readyStep, use *processorUse) []*readyStep {
	var steps []*readyStep
	t.leader.Store.View(func(v *cell.View) {
		most := mostUrgentPriority(v.Configuration())
		if next.step.Daemon || next.queue.Priority == most && !next.overdue {
			return
		}
		steps = copyReadySteps(v, func(q *cell.Queue) bool { return q.Priority == most })
		p.addHeadroom(v, steps)
	})
	if len(steps) == 0 {
		return nil
	}
	t.completeReadySteps(steps, p.now, use)
	// The isolation of suspects is settled for whole plans, and a gang that has reserved room
	// in this one has it for the next.
	steps = slices.DeleteFunc(steps, func(rs *readyStep) bool {
		earlier, again := p.counted[rs.key]
		return rs.overdue || len(rs.crashed) > 0 || rs.step.Gang && again && (earlier == waitsForRoom || earlier == waitsForEvacuation)
	})
	steps = steps[:min(len(steps), maxJoiningSteps)]
	for _, rs := range steps {
		if rs.queue.Advice != nil {
			rs.advice = p.advice(rs.key)
		}
	}
	return steps
}
