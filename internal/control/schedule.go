package control

import (
	"context"
	"slices"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/scheduler"
)

const (
	// scheduleInterval bounds the time between two plans.
	scheduleInterval = 50 * time.Millisecond
	// maxPlan bounds the placements of one plan, and so the size of a log entry.
	maxPlan = 1000
)

// schedule places waiting tasks while this process leads the group.
func (s *Server) schedule(ctx context.Context, g *DataCentreGroup) {
	for ctx.Err() == nil {
		changed := g.changes.wait(topicQueue)
		more := false
		if since, valid := g.Log.Lease(); valid {
			more = s.scheduleOnce(ctx, g, since)
		}
		if more {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(scheduleInterval):
		}
	}
}

// scheduleOnce mirrors changes, plans and commits the plan. It reports whether
// there may be more to place at once.
func (s *Server) scheduleOnce(ctx context.Context, g *DataCentreGroup, since time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	began := time.Now()
	g.mirror.mu.Lock()
	g.mirror.sync(since, s.shares)
	batch := g.mirror.scheduler.Plan(s.clock.Now(), maxPlan)
	g.mirror.mu.Unlock()
	s.meter.plan.RecordDuration(time.Since(began))
	s.meter.jobRejections.Inc(int64(len(batch.Rejections)))
	s.reject(ctx, g, batch.Rejections)
	s.preempt(ctx, g, batch.Preemptions)
	if len(batch.Placements) > 0 {
		s.commitPlan(ctx, g, batch.Placements)
	}
	return len(batch.Placements) >= maxPlan
}

// reject ends jobs as not run, many in one command: the deadlines of a burst
// pass together, and each command takes a sync.
func (s *Server) reject(ctx context.Context, g *DataCentreGroup, list []scheduler.Rejection) {
	for chunk := range slices.Chunk(list, maxPlan) {
		c := &statev1.RejectJobs{}
		for _, r := range chunk {
			c.Jobs = append(c.Jobs, &statev1.RejectJob{JobId: r.JobID, Reason: r.Reason})
		}
		if s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RejectJobs{RejectJobs: c}}) {
			continue
		}
		// The scheduler has dropped the jobs; they are mirrored and rejected again.
		for _, r := range chunk {
			g.dirty.job(r.JobID)
		}
	}
}

func (s *Server) commitPlan(ctx context.Context, g *DataCentreGroup, placements []scheduler.Placement) {
	plan := &statev1.Plan{Placements: make([]*statev1.Placement, len(placements))}
	for i, p := range placements {
		plan.Placements[i] = &statev1.Placement{JobId: p.JobID, Task: int32(p.Task), WorkerId: p.WorkerID, Incarnation: p.Incarnation}
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_Plan{Plan: plan}})
	if err != nil {
		s.logger.Warn("plan not committed", "step", "plan", "group", g.Name, "error", err)
	} else {
		s.meter.placements.Inc(int64(len(placements)))
		s.recordRejected(plan, result)
	}
	// Placements that were rejected, or whose outcome is not known, are
	// mirrored again from the state.
	for i, p := range placements {
		if err != nil || result.Placements[i].Refusal != "" {
			s.meter.placeRejections.Inc(1)
			g.dirty.job(p.JobID)
		}
	}
}
