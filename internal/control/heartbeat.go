package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// Heartbeat renews a worker's lease, commits the attempts that have ended, and replies
// with the attempts that the worker has to start and stop. The reply is held back for
// up to the requested wait while there is nothing to start or stop. The lease is
// renewed before the registration is committed, so that a newly registered worker
// always has one in the lease table; this is safe because the worker counts its lease
// from when it sent the heartbeat.
func (d *DataCentreServer) Heartbeat(ctx context.Context, r *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	g, since, err := d.leadingGroup(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if _, err := g.leadershipEpoch(ctx, since); err != nil {
		return nil, err
	}
	if !g.running.completePartial(r) {
		return &apiv1.HeartbeatResponse{SendFull: true, Sequence: r.Sequence}, nil
	}
	if w, known := g.Store.Worker(r.WorkerId); known && r.Incarnation < w.Incarnation {
		return nil, twirp.NewError(twirp.InvalidArgument, "worker "+r.WorkerId+" has a later incarnation")
	}
	if !g.workerLeases.Renew(r.WorkerId, since, d.server.clock.Now()) {
		return nil, twirp.NewError(twirp.Aborted, "the lease of worker "+r.WorkerId+" is being ended; ask again")
	}
	// The report is recorded before the ends are committed, because that commit wakes
	// the heartbeat being held, which reads the latest report. A heartbeat that was
	// overtaken by a later one is not registered: it may list attempts as running
	// that have ended since.
	if g.running.record(r) {
		if err := d.registerWorker(ctx, g, r); err != nil {
			return nil, err
		}
	}
	acknowledged, err := d.commitEnds(ctx, g, r)
	if err != nil {
		return nil, err
	}
	if r.FullSequence == 0 {
		d.commitUsage(ctx, g, since, r)
	}
	reply := d.awaitDirectives(ctx, g, r, len(acknowledged) > 0)
	if len(acknowledged) > 0 && r.WaitMs == 0 {
		// The worker sent this report while another of its heartbeats is held; the
		// reply to that one contains the attempts to start.
		reply.Start = nil
	}
	reply.Acknowledged = acknowledged
	d.server.recordHeartbeat(r, reply)
	reply.LeaseMs = (lease.WorkerDuration - lease.StopMargin).Milliseconds()
	reply.Sequence = r.Sequence
	return reply, g.stillLeads(since)
}

// registerWorker commits the registration of a worker that is new, has changed, or runs
// attempts that are not open in the state.
func (d *DataCentreServer) registerWorker(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest) error {
	if g.Store.RegistrationCurrent(r) {
		return nil
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RegisterWorker{RegisterWorker: &statev1.RegisterWorker{
		WorkerId: r.WorkerId, Incarnation: r.Incarnation, Rack: r.Rack, Capacity: r.Capacity, Leaving: r.Leaving,
		Sequence: r.Sequence, Running: runningAttempts(r),
	}}})
	if err != nil {
		return err
	}
	if result.Refusal != "" {
		return twirp.NewError(twirp.InvalidArgument, result.Refusal)
	}
	return nil
}

// runningAttempts returns the running attempts with the sizes that the worker reports.
// An attempt without a size is charged with the whole worker.
func runningAttempts(r *apiv1.HeartbeatRequest) []*apiv1.RunningAttempt {
	sizes := map[uint64]*apiv1.Resources{}
	for _, a := range r.Attempts {
		sizes[a.AttemptId] = a.Size
	}
	var list []*apiv1.RunningAttempt
	for _, id := range r.Running {
		list = append(list, &apiv1.RunningAttempt{AttemptId: id, Size: sizes[id]})
	}
	return list
}

// commitEnds commits the ended attempts that the worker reports and returns the ids of
// those that are recorded, which the worker need not report again.
func (d *DataCentreServer) commitEnds(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest) ([]uint64, error) {
	if len(r.Ended) == 0 {
		return nil, nil
	}
	c := &statev1.EndAttempts{}
	var open []*apiv1.EndedAttempt
	for _, e := range r.Ended {
		// Only attempts that are still open are passed to the health monitor, so that an
		// end that is reported twice counts once.
		if a, ok := g.Store.Attempt(e.AttemptId); ok && a.WorkerID == r.WorkerId && a.Incarnation == r.Incarnation {
			open = append(open, e)
		}
		c.Ended = append(c.Ended, &statev1.EndAttempt{
			AttemptId: e.AttemptId, WorkerId: r.WorkerId, Incarnation: r.Incarnation,
			Outcome: e.Outcome, Answer: e.Answer, Detail: e.Detail, NeverStarted: e.NeverStarted,
			JobId: e.JobId, Task: e.Task, Checkpointed: e.Checkpointed,
		})
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_EndAttempts{EndAttempts: c}})
	if err != nil {
		return nil, err
	}
	for _, e := range r.Ended {
		d.server.recordEnd(r.WorkerId, e)
	}
	d.server.applyHealthVerdicts(ctx, g, r, open)
	return result.Acknowledged, nil
}

// awaitDirectives compares the attempts that the worker runs with those committed to
// it and returns what to start and stop. If there is nothing, it waits up to the
// requested time, unless immediately is set.
func (d *DataCentreServer) awaitDirectives(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest, immediately bool) *apiv1.HeartbeatResponse {
	timeout := time.After(time.Duration(r.WaitMs) * time.Millisecond)
	for {
		changed := g.changes.subscribe("worker/" + r.WorkerId)
		directives := g.Store.Directives(r.WorkerId, r.Incarnation, g.running.latestRunning(r))
		reply := directivesMessage(&directives)
		if immediately || directives.HasStartOrStop() {
			return reply
		}
		select {
		case <-changed:
		case <-timeout:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

func directivesMessage(d *state.Directives) *apiv1.HeartbeatResponse {
	reply := &apiv1.HeartbeatResponse{Stop: d.Stop, Throttle: d.Throttle, Checkpoint: d.Checkpoint}
	for i := range d.Start {
		reply.Start = append(reply.Start, assignment(&d.Start[i]))
	}
	return reply
}

func assignment(a *state.AssignedAttempt) *apiv1.Assignment {
	return &apiv1.Assignment{
		AttemptId: a.Attempt.ID, JobId: a.Attempt.JobID, Task: int32(a.Attempt.Task), Attempt: int32(a.Attempt.Number),
		Team: a.Spec.Team, Service: a.Spec.Service, Command: a.Spec.Command, Payload: a.Payload, Size: a.Spec.Size.Proto(),
		ServiceInstance: a.Spec.Class == structs.ClassService,
	}
}
