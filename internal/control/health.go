package control

import (
	"context"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/health"
	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
	"laburnumgrade/internal/timeline"
)

// applyHealthVerdicts passes the ended attempts that a worker reports to the health
// monitor, and sets the probation of the worker or stops the job as its verdicts
// require.
func (s *Server) applyHealthVerdicts(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest, ended []*apiv1.EndedAttempt) {
	for _, e := range ended {
		v := g.mirror.healthVerdict(r.WorkerId, r.Incarnation, e)
		if v.Probation || v.Restored {
			s.setProbation(ctx, g, r, v)
		}
		// Failed instances of a service are restarted: only its document sets how many
		// instances run.
		if j, known := g.Store.Job(e.JobId); v.StopJob && known && !state.IsServiceJob(&j) {
			s.logger.Warn("job stopped", "step", "judge", "job", e.JobId, "reason", v.Reason)
			s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_CancelJob{CancelJob: &statev1.CancelJob{
				JobId: e.JobId, Reason: "stopped: it " + v.Reason,
			}}})
		}
	}
}

// setProbation commits that a worker is put on probation or taken off it.
func (s *Server) setProbation(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest, v health.Verdict) {
	w, _ := g.Store.Worker(r.WorkerId)
	s.logger.Warn("probation changed", "step", "judge", "peer", r.WorkerId, "probation", v.Probation, "reason", v.Reason)
	s.events.Record(timeline.Event{Kind: timeline.WorkerProbation, Worker: r.WorkerId, Detail: v.Reason})
	if !s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SetWorkerState{SetWorkerState: &statev1.SetWorkerState{
		WorkerId: r.WorkerId, Incarnation: r.Incarnation, Leaving: w.Draining, Probation: v.Probation,
	}}}) && v.Probation {
		// The probation is not known to be committed, but the monitor already records it
		// and would ignore further failures of the worker. The record is reset, so that
		// further failures lead to probation again.
		g.mirror.resetHealth(r.WorkerId)
	}
}

// resetHealth deletes the health record of the worker, so that its next failures are
// counted from zero.
func (m *mirror) resetHealth(worker string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.RemoveWorker(worker)
}

// healthVerdict passes one ended attempt to the monitor and returns its verdict.
// Outcomes other than success and failure are no evidence of the worker's health and
// are ignored, and so are ends on an incarnation that was replaced while they were being
// committed: the state would refuse the probation, and the monitor would ignore the failures
// of the later incarnation.
func (m *mirror) healthVerdict(worker string, incarnation uint64, e *apiv1.EndedAttempt) health.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.health == nil {
		return health.Verdict{}
	}
	if mirrored, seen := m.incarnations[worker]; seen && mirrored > incarnation {
		return health.Verdict{}
	}
	switch e.Outcome {
	case apiv1.Outcome_OUTCOME_OK:
		return m.health.Succeeded(worker, e.JobId)
	case apiv1.Outcome_OUTCOME_FAILED:
		return m.health.Failed(worker, e.JobId, m.clock())
	}
	return health.Verdict{}
}

// grantTrials allows each worker on probation to run one trial task when one is due.
func (m *mirror) grantTrials(now time.Duration) {
	for id := range m.probation {
		w, known := m.group.Store.Worker(id)
		if !known || !w.Probation {
			delete(m.probation, id)
			m.health.RemoveWorker(id)
			continue
		}
		if !m.health.IsOnProbation(id) {
			// The probation was set by an earlier leader or by an earlier monitor.
			m.health.ResumeProbation(id, now)
		}
		if m.health.TrialDue(id, now) {
			m.scheduler.UpsertWorker(placementWorker(&w, true))
		}
	}
}

// placementWorker returns the worker as an input for placement. trial allows it one task
// while it is on probation.
func placementWorker(w *structs.Worker, trial bool) placement.Worker {
	return placement.Worker{
		ID: w.ID, Incarnation: w.Incarnation, Rack: w.Rack, Capacity: w.Capacity,
		Leaving: w.Leaving || w.Draining, Lost: w.Lost, Probation: w.Probation, TrialDue: trial,
	}
}
