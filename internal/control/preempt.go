package control

import (
	"context"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/scheduler"
)

// preempt commits the preemptions of a plan, together with earlier ones that are not known
// to be committed. These are kept because the scheduler returns each preemption only once.
// A preemption whose attempt has ended or moved in the meantime is dropped.
func (s *Server) preempt(ctx context.Context, g *DataCentreGroup, list []scheduler.Preemption) {
	shed := &statev1.ShedAttempts{Attempts: g.mirror.unconfirmedPreemptions}
	for _, p := range list {
		j, known := g.Store.Job(p.JobID)
		if !known || p.Task >= len(j.Tasks) {
			continue
		}
		a, open := g.Store.Attempt(j.Tasks[p.Task].Attempt)
		if !open || a.WorkerID != p.WorkerID || a.Incarnation != p.Incarnation {
			continue
		}
		means := statev1.ShedAttempt_STOP
		if p.Method == scheduler.PreemptByCheckpoint {
			means = statev1.ShedAttempt_CHECKPOINT
		}
		shed.Attempts = append(shed.Attempts, &statev1.ShedAttempt{AttemptId: a.ID, Means: means, Reason: p.Reason})
	}
	g.mirror.unconfirmedPreemptions = shed.Attempts
	if len(shed.Attempts) > 0 && s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ShedAttempts{ShedAttempts: shed}}) {
		g.mirror.unconfirmedPreemptions = nil
	}
}
