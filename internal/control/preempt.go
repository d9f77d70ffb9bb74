package control

import (
	"context"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/scheduler"
)

// preempt commits the interruptions that the scheduler asks for.
func (s *Server) preempt(ctx context.Context, g *DataCentreGroup, list []scheduler.Preemption) {
	shed := &statev1.ShedAttempts{}
	for _, p := range list {
		j, known := g.Store.Job(p.JobID)
		if !known || p.Task >= len(j.Tasks) || j.Tasks[p.Task].Attempt == 0 {
			continue
		}
		means := statev1.ShedAttempt_STOP
		if p.Means == scheduler.Checkpoint {
			means = statev1.ShedAttempt_CHECKPOINT
		}
		shed.Attempts = append(shed.Attempts, &statev1.ShedAttempt{AttemptId: j.Tasks[p.Task].Attempt, Means: means, Reason: p.Reason})
	}
	if len(shed.Attempts) > 0 {
		s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ShedAttempts{ShedAttempts: shed}})
	}
}
