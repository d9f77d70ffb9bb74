package control

import (
	"context"
	"slices"
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
func (d *DataCentreServer) Heartbeat(ctx context.Context, r *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	g, since, err := d.leading(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if err := d.register(ctx, g, r); err != nil {
		return nil, err
	}
	acknowledged, err := d.recordEnds(ctx, g, r)
	if err != nil {
		return nil, err
	}
	if !g.workers.Renew(r.WorkerId, since, d.server.clock.Now()) {
		return nil, twirp.NewError(twirp.Aborted, "the lease of worker "+r.WorkerId+" is being ended; ask again")
	}
	if _, err := lead(g.Name, g.Log); err != nil {
		return nil, err
	}
	reply := d.awaitWork(ctx, g, r, len(acknowledged) > 0)
	reply.Acknowledged = acknowledged
	d.server.recordHeartbeat(r, reply)
	reply.LeaseMs = lease.Worker.Milliseconds()
	reply.Sequence = r.Sequence
	_, err = lead(g.Name, g.Log)
	return reply, err
}

// register commits a worker that is new or has changed.
func (d *DataCentreServer) register(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest) error {
	w, known := g.Store.Worker(r.WorkerId)
	same := known && w.Incarnation == r.Incarnation && !w.Lost && w.Leaving == r.Leaving &&
		w.Rack == r.Rack && w.Capacity == structs.ResourcesFromProto(r.Capacity)
	if same {
		return nil
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RegisterWorker{RegisterWorker: &statev1.RegisterWorker{
		WorkerId: r.WorkerId, Incarnation: r.Incarnation, Rack: r.Rack, Capacity: r.Capacity, Leaving: r.Leaving,
	}}})
	if err != nil {
		return err
	}
	if result.Refusal != "" {
		return twirp.NewError(twirp.InvalidArgument, result.Refusal)
	}
	return nil
}

func (d *DataCentreServer) recordEnds(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest) ([]uint64, error) {
	if len(r.Ended) == 0 {
		return nil, nil
	}
	c := &statev1.EndAttempts{}
	assigned := map[uint64]state.Assigned{}
	for _, a := range g.Store.Assignments(r.WorkerId, r.Incarnation) {
		assigned[a.Attempt.ID] = a
	}
	for _, e := range r.Ended {
		c.Ended = append(c.Ended, &statev1.EndAttempt{
			AttemptId: e.AttemptId, WorkerId: r.WorkerId, Incarnation: r.Incarnation,
			Outcome: e.Outcome, Answer: e.Answer, Detail: e.Detail, NeverStarted: e.NeverStarted,
		})
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_EndAttempts{EndAttempts: c}})
	if err != nil {
		return nil, err
	}
	for _, e := range r.Ended {
		d.server.recordEnd(r.WorkerId, e, assigned[e.AttemptId])
	}
	return result.Acknowledged, nil
}

// awaitWork compares what the worker runs with what is committed, and waits
// for a difference if there is none.
func (d *DataCentreServer) awaitWork(ctx context.Context, g *DataCentreGroup, r *apiv1.HeartbeatRequest, now bool) *apiv1.HeartbeatResponse {
	timeout := time.After(time.Duration(r.WaitMs) * time.Millisecond)
	for {
		changed := g.changes.wait("worker/" + r.WorkerId)
		reply := compare(r, g.Store.Assignments(r.WorkerId, r.Incarnation))
		if now || len(reply.Start) > 0 || len(reply.Stop) > 0 {
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

// compare returns what the worker is to start and stop.
func compare(r *apiv1.HeartbeatRequest, assigned []state.Assigned) *apiv1.HeartbeatResponse {
	reply := &apiv1.HeartbeatResponse{}
	open := map[uint64]bool{}
	for i := range assigned {
		a := &assigned[i]
		open[a.Attempt.ID] = true
		running := slices.Contains(r.Running, a.Attempt.ID)
		switch {
		case a.Attempt.Stopping:
			reply.Stop = append(reply.Stop, a.Attempt.ID)
		case !running:
			reply.Start = append(reply.Start, assignment(a))
		}
	}
	for _, id := range r.Running {
		if !open[id] {
			reply.Stop = append(reply.Stop, id)
		}
	}
	return reply
}

func assignment(a *state.Assigned) *apiv1.Assignment {
	return &apiv1.Assignment{
		AttemptId: a.Attempt.ID, JobId: a.Attempt.JobID, Task: int32(a.Attempt.Task), Attempt: int32(a.Attempt.Number),
		Team: a.Spec.Team, Service: a.Spec.Service, Command: a.Spec.Command, Payload: a.Payload, Size: a.Spec.Size.Proto(),
	}
}
