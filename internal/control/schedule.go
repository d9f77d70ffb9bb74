package control

import (
	"context"
	"slices"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/scheduler"
)

const (
	// scheduleInterval is the longest time between two plans.
	scheduleInterval = 50 * time.Millisecond
	// maxPerCommand bounds the placements or rejections in one command, and so the size of
	// a log entry.
	maxPerCommand = 1000
)

// schedule places waiting tasks while this process leads the group.
func (s *Server) schedule(ctx context.Context, g *DataCentreGroup) {
	for ctx.Err() == nil {
		changed := g.changes.subscribe(topicQueue)
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

// scheduleOnce mirrors changes into the scheduler, plans, and commits the plan. It returns
// true if the plan was full, so that more tasks may be placed at once.
func (s *Server) scheduleOnce(ctx context.Context, g *DataCentreGroup, since time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	began := time.Now()
	g.mirror.mu.Lock()
	g.mirror.sync(since, s.shares)
	batch := g.mirror.scheduler.Plan(s.clock.Now(), maxPerCommand)
	g.mirror.mu.Unlock()
	s.metrics.plan.RecordDuration(time.Since(began))
	s.metrics.jobRejections.Inc(int64(len(batch.Rejections)))
	s.rejectJobs(ctx, g, batch.Rejections)
	s.preempt(ctx, g, batch.Preemptions)
	if len(batch.Placements) > 0 {
		s.commitPlan(ctx, g, batch.Placements)
	}
	return len(batch.Placements) >= maxPerCommand
}

// rejectJobs ends jobs as not run, many in one command: the deadlines of a burst of jobs
// pass together, and each command costs a disk sync.
func (s *Server) rejectJobs(ctx context.Context, g *DataCentreGroup, list []scheduler.Rejection) {
	for chunk := range slices.Chunk(list, maxPerCommand) {
		c := &statev1.RejectJobs{}
		for _, r := range chunk {
			c.Jobs = append(c.Jobs, &statev1.RejectJob{JobId: r.JobID, Reason: r.Reason})
		}
		if s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RejectJobs{RejectJobs: c}}) {
			continue
		}
		// The scheduler has removed the jobs. Mark them as changed, so that they are
		// mirrored and rejected again.
		for _, r := range chunk {
			g.dirty.addJob(r.JobID)
		}
	}
}

// commitPlan proposes the placements in one command.
func (s *Server) commitPlan(ctx context.Context, g *DataCentreGroup, placements []scheduler.Placement) {
	plan := &statev1.Plan{Placements: make([]*statev1.Placement, len(placements))}
	for i, p := range placements {
		plan.Placements[i] = &statev1.Placement{JobId: p.JobID, Task: int32(p.Task), WorkerId: p.WorkerID, Incarnation: p.Incarnation}
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_Plan{Plan: plan}})
	if err != nil {
		s.logger.Warn("plan not committed", "step", "plan", "group", g.Name, "error", err)
	} else {
		s.metrics.placements.Inc(int64(len(placements)))
		s.recordRejectedPlacements(plan, result)
	}
	// The jobs of placements that were refused, or whose outcome is unknown, are
	// mirrored again from the state.
	for i, p := range placements {
		if err != nil || result.Placements[i].Refusal != "" {
			s.metrics.placementRejections.Inc(1)
			g.dirty.addJob(p.JobID)
		}
	}
}
