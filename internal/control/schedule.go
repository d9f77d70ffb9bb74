package control

import (
	"context"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// scheduleInterval bounds the time between two plans.
const scheduleInterval = 50 * time.Millisecond

// schedule places waiting tasks while this process leads the group.
func (s *Server) schedule(ctx context.Context, g *DataCentreGroup) {
	for ctx.Err() == nil {
		changed := g.changes.wait(topicQueue)
		if _, valid := g.Log.Lease(); valid {
			s.scheduleOnce(ctx, g)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(scheduleInterval):
		}
	}
}

// scheduleOnce places the waiting tasks first fit, in order of their job ids.
func (s *Server) scheduleOnce(ctx context.Context, g *DataCentreGroup) {
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	plan := &statev1.Plan{}
	free := map[string]structs.Resources{}
	workers := g.Store.WorkerIDs()
	for _, id := range g.Store.OpenJobs() {
		j, ok := g.Store.Job(id)
		if !ok {
			continue
		}
		plan.Placements = append(plan.Placements, firstFit(g, &j, workers, free)...)
	}
	if len(plan.Placements) == 0 {
		return
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_Plan{Plan: plan}})
	if err != nil {
		s.logger.Warn("plan not committed", "step", "plan", "group", g.Name, "error", err)
		return
	}
	s.recordPlan(g, plan, result)
}

func firstFit(g *DataCentreGroup, j *structs.Job, workers []string, free map[string]structs.Resources) []*statev1.Placement {
	var placements []*statev1.Placement
	for i := range j.Tasks {
		if j.Tasks[i].State != structs.TaskWaiting {
			continue
		}
		for _, id := range workers {
			w, ok := g.Store.Worker(id)
			if !ok || !w.Placeable() {
				continue
			}
			if _, seen := free[id]; !seen {
				free[id] = w.Free()
			}
			if j.Spec.Size.Fits(free[id]) {
				free[id] = free[id].Sub(j.Spec.Size)
				placements = append(placements, &statev1.Placement{JobId: j.ID, Task: int32(i), WorkerId: id, Incarnation: w.Incarnation})
				break
			}
		}
	}
	return placements
}
