package dispatch

import (
	"slices"

	"laburnumgrade/internal/cell"
)

// evacuated returns the evacuated data centres, nil if there are none.
func (t *term) evacuated() map[string]bool {
	var evacuated map[string]bool
	t.leader.Store.View(func(v *cell.View) { evacuated = evacuatedIn(v) })
	return evacuated
}

// evacuatedIn returns a copy of the evacuated data centres, nil if there are none.
func evacuatedIn(v *cell.View) map[string]bool {
	names := v.Evacuated()
	if len(names) == 0 {
		return nil
	}
	evacuated := make(map[string]bool, len(names))
	for _, name := range names {
		evacuated[name] = true
	}
	return evacuated
}

// mayStartOn reports whether new attempts may start on a worker as far as evacuations are
// concerned.
func mayStartOn(v *cell.View, worker string) bool {
	w := v.Worker(worker)
	return w == nil || !v.IsEvacuated(w.DataCentre)
}

// dropEvacuated removes from a slice of a plan what an evacuation that was committed since the
// slice was begun no longer allows: placements, those of a gang as a whole, and preemptions for
// a gang that was to start there.
func (t *term) dropEvacuated(p *planner) {
	t.leader.Store.View(func(v *cell.View) {
		if len(v.Evacuated()) == 0 {
			return
		}
		gangs := map[cell.StepKey]bool{}
		for i := range p.placements {
			placement := &p.placements[i]
			if j := v.Job(placement.Task.Job); j != nil && j.Steps[placement.Task.Step].Gang && !mayStartOn(v, placement.Worker) {
				gangs[placement.Task.StepKey] = true
			}
		}
		p.placements = slices.DeleteFunc(p.placements, func(placement cell.Placement) bool {
			return gangs[placement.Task.StepKey] || !mayStartOn(v, placement.Worker)
		})
		for _, q := range p.adviceRequests {
			if slices.ContainsFunc(q.heldPlacements, func(held cell.Placement) bool { return !mayStartOn(v, held.Worker) }) {
				q.stops = nil
			}
		}
		blocked := map[cell.StepKey]bool{}
		for worker, gang := range p.reserved {
			blocked[gang] = blocked[gang] || !mayStartOn(v, worker)
		}
		p.stops = slices.DeleteFunc(p.stops, func(stopped victim) bool { return blocked[p.reserved[stopped.worker]] })
	})
}

// isEvacuationTheCause reports whether a step that has no room lacks it because of
// evacuations: the workers that may get attempts could not hold it even if they were empty,
// but together with those of the evacuated data centres they could.
func (p *planner) isEvacuationTheCause(rs *readyStep) bool {
	if len(p.evacuated) == 0 {
		return false
	}
	need := 1
	switch {
	case rs.step.Gang:
		need = rs.step.Count
	case rs.step.Daemon: // all of them are to run at the same time
		need = len(p.startableTasks(rs))
		for _, c := range p.group(rs) {
			need += p.countTasks(rs.key, c)
		}
	}
	for _, c := range p.group(rs) {
		if need -= p.emptyRoom(rs, c); need <= 0 {
			return false
		}
	}
	for _, c := range p.evacuated {
		if c.service != rs.queue.Service || !c.worker.HasLabel(rs.step.Label) {
			continue
		}
		if need -= p.emptyRoom(rs, c); need <= 0 {
			return true
		}
	}
	return false
}

// emptyRoom returns how many tasks of a step a worker could hold if it were empty, 0 if it is
// known not to be allowed.
func (p *planner) emptyRoom(rs *readyStep, c *candidate) int {
	if rs.advice.isDenied(c) {
		return 0
	}
	return capPerWorker(rs.step, fitCount(rs.step.Claim(), c.worker.Capacity))
}
