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

// Heartbeat renews a worker's lease, records what has ended, and answers what
// the worker is to start and stop. It is held while there is nothing to tell.
// The lease is renewed before anything is committed, so that a worker just
// taken on is not found without a lease; the worker counts from earlier still.
func (d *DataCentreServer) Heartbeat(ctx context.Context, r *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	g, since, err := d.leading(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if _, err := g.epoch(ctx, since); err != nil {
		return nil, err
	}
	if !g.running.complete(r) {
		return &apiv1.HeartbeatResponse{SendFull: true, Sequence: r.Sequence}, nil
	}
	if w, known := g.Store.Worker(r.WorkerId); known && r.Incarnation < w.Incarnation {
		return nil, twirp.NewError(twirp.InvalidArgument, "worker "+r.WorkerId+" has a later incarnation")
	}
	if !g.workers.Renew(r.WorkerId, since, d.server.clock.Now()) {
		return nil, twirp.NewError(twirp.Aborted, "the lease of worker "+r.WorkerId+" is being ended; ask again")
	}
	// The ends wake the heartbeat that is being held, which then needs the list.
	// An overtaken heartbeat may state attempts as running that have ended since.
	if g.running.report(r) {
		if err := d.register(ctx, g, r); err != nil {
			return nil, err
		}
	}
	acknowledged, err := d.recordEnds(ctx, g, r)
	if err != nil {
		return nil, err
	}
	if r.FullSequence == 0 {
		d.followUsage(ctx, g, since, r)
	}
	reply := d.awaitWork(ctx, g, r, len(acknowledged) > 0)
	if len(acknowledged) > 0 && r.WaitMs == 0 {
		// The report came beside a heartbeat that is held and is answered with what
		// is to be started.
		reply.Start = nil
	}
	reply.Acknowledged = acknowledged
	d.server.recordHeartbeat(r, reply)
	reply.LeaseMs = (lease.WorkerDuration - lease.StopMargin).Milliseconds()
	reply.Sequence = r.Sequence
	return reply, g.stillLeads(since)
}

// register commits a worker that is new, has changed, or runs attempts that are
// not open.
func (d *DataCentreServer) register(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest) error {
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

// runningAttempts returns the running attempts with the sizes that the worker
// states; an attempt without a size counts as the whole worker.
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

func (d *DataCentreServer) recordEnds(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest) ([]uint64, error) {
	if len(r.Ended) == 0 {
		return nil, nil
	}
	c := &statev1.EndAttempts{}
	var open []*apiv1.EndedAttempt
	for _, e := range r.Ended {
		// An end that is reported again is not judged again.
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
	d.server.judge(ctx, g, r, open)
	return result.Acknowledged, nil
}

// awaitWork compares what the worker runs with what is committed, and waits
// for a difference if there is none.
func (d *DataCentreServer) awaitWork(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest, now bool) *apiv1.HeartbeatResponse {
	timeout := time.After(time.Duration(r.WaitMs) * time.Millisecond)
	for {
		changed := g.changes.wait("worker/" + r.WorkerId)
		directives := g.Store.Directives(r.WorkerId, r.Incarnation, g.running.latest(r))
		reply := directivesMessage(&directives)
		if now || directives.HasStartOrStop() {
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
