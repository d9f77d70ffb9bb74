package control

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// DataCentreServer serves DataCentreService.
type DataCentreServer struct{ server *Server }

// SubmitJob makes a job durable.
func (d *DataCentreServer) SubmitJob(ctx context.Context, r *peerv1.SubmitJobCommand) (*peerv1.SubmitJobReply, error) {
	g, _, err := d.leadingGroup(r.DataCentre)
	if err != nil {
		return nil, err
	}
	// A resent submission of an accepted job must not be refused for lack of capacity.
	if _, known := g.Store.Job(r.Job.JobId); !known {
		refusal, err := g.admissionRefusal(ctx, r.Job, d.server.checkKey(r.KeyId, r.Job.Spec.GetTeam(), r.Job.Spec.GetService()))
		if err != nil || refusal != "" {
			return &peerv1.SubmitJobReply{Refusal: refusal}, err
		}
	}
	g.submissions.begin(r.Job.JobId)
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SubmitJob{SubmitJob: r.Job}})
	if err != nil {
		return nil, err
	}
	g.submissions.end(r.Job.JobId)
	d.server.recordSubmitted(r.Job, result)
	return &peerv1.SubmitJobReply{Duplicate: result.Duplicate, Refusal: result.Refusal}, nil
}

// WaitJob returns the job once it has ended or the wait time has passed.
func (d *DataCentreServer) WaitJob(ctx context.Context, r *apiv1.WaitJobRequest) (*apiv1.Job, error) {
	g, err := d.groupOfJob(r.JobId)
	if err != nil {
		return nil, err
	}
	timeout := time.After(time.Duration(r.WaitMs) * time.Millisecond)
	for {
		changed := g.changes.subscribe("job/" + r.JobId)
		j, ok := g.Store.Job(r.JobId)
		if _, err := leadershipSince(g.Name, g.Log); err != nil {
			return nil, err
		}
		if !ok {
			return nil, twirp.NotFoundError("job " + r.JobId + " is not known")
		}
		if j.Ended() {
			return jobMessage(&j, g.Name), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return jobMessage(&j, g.Name), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// CancelJob cancels a job. Its running tasks are stopped by their workers.
func (d *DataCentreServer) CancelJob(ctx context.Context, r *apiv1.CancelJobRequest) (*apiv1.Job, error) {
	g, err := d.groupOfJob(r.JobId)
	if err != nil {
		return nil, err
	}
	if j, known := g.Store.Job(r.JobId); known && state.IsServiceJob(&j) {
		return nil, twirp.NewError(twirp.InvalidArgument, "the number of instances of a service is set by its document")
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_CancelJob{CancelJob: &statev1.CancelJob{JobId: r.JobId}}})
	if err != nil {
		return nil, err
	}
	if result.Refusal != "" {
		return nil, twirp.NotFoundError(result.Refusal)
	}
	j, _ := g.Store.Job(r.JobId)
	return jobMessage(&j, g.Name), nil
}

// RecordRequest makes a non-idempotent request durable before it is sent.
func (d *DataCentreServer) RecordRequest(ctx context.Context, r *peerv1.RecordRequestRequest) (*peerv1.RecordRequestReply, error) {
	g, _, err := d.leadingGroup(r.DataCentre)
	if err != nil {
		return nil, err
	}
	// A recorded request is answered from its record even if the key was withdrawn.
	if _, known := g.Store.Request(r.Record.RequestId); !known {
		if refusal := d.server.checkKey(r.KeyId, r.Record.Team, r.Record.Service); refusal != "" {
			return &peerv1.RecordRequestReply{Refusal: refusal}, nil
		}
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RecordRequest{RecordRequest: r.Record}})
	if err != nil {
		return nil, err
	}
	reply := &peerv1.RecordRequestReply{Granted: result.Granted, Refusal: result.Refusal}
	if q := result.Request; q != nil {
		reply.Pending = q.Outcome == structs.OutcomeNone
		reply.Answer = answerMessage(q)
	}
	return reply, nil
}

// EndRequest records the outcome of a request.
func (d *DataCentreServer) EndRequest(ctx context.Context, r *peerv1.EndRequestRequest) (*peerv1.RecordRequestReply, error) {
	g, _, err := d.leadingGroup(r.DataCentre)
	if err != nil {
		return nil, err
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_EndRequest{EndRequest: r.End}})
	if err != nil {
		return nil, err
	}
	return &peerv1.RecordRequestReply{Refusal: result.Refusal}, nil
}

// Status returns the state of the groups of which this process hosts replicas.
func (d *DataCentreServer) Status(context.Context, *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	return d.server.status(), nil
}

// leadingGroup returns the group of the data centre and since when this process has
// led it. The error is a not-leader error if the process does not lead it.
func (d *DataCentreServer) leadingGroup(dataCentre string) (*DataCentreGroup, time.Duration, error) {
	g, err := d.server.group(dataCentre)
	if err != nil {
		return nil, 0, err
	}
	since, err := leadershipSince(g.Name, g.Log)
	return g, since, err
}

// groupOfJob returns the group that stores the job, if this process leads it.
func (d *DataCentreServer) groupOfJob(id string) (*DataCentreGroup, error) {
	g, _, err := d.leadingGroup(state.HomeDataCentre(id, d.server.dataCentres))
	return g, err
}

func jobMessage(j *structs.Job, dataCentre string) *apiv1.Job {
	m := &apiv1.Job{JobId: j.ID, Team: j.Spec.Team, Service: j.Spec.Service, DataCentre: dataCentre, State: apiv1.JobState_JOB_STATE_WAITING}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State != structs.TaskWaiting {
			m.State = apiv1.JobState_JOB_STATE_RUNNING
		}
		m.Results = append(m.Results, &apiv1.TaskResult{
			Task: int32(i), Outcome: apiv1.Outcome(t.Outcome), Answer: t.Answer, Detail: t.Detail, Attempts: int32(t.Attempts),
		})
	}
	if j.Ended() {
		m.State = apiv1.JobState_JOB_STATE_ENDED
		m.Outcome = apiv1.Outcome(j.Outcome())
	}
	return m
}

func answerMessage(r *structs.Request) *apiv1.CallResponse {
	return &apiv1.CallResponse{RequestId: r.ID, Outcome: apiv1.Outcome(r.Outcome), Body: r.Body, Detail: r.Detail}
}

// ExplainJob returns the reasons for which a job is waiting.
func (d *DataCentreServer) ExplainJob(_ context.Context, r *apiv1.ExplainJobRequest) (*apiv1.ExplainJobResponse, error) {
	g, err := d.groupOfJob(r.JobId)
	if err != nil {
		return nil, err
	}
	j, ok := g.Store.Job(r.JobId)
	if !ok {
		return nil, twirp.NotFoundError("job " + r.JobId + " is not known")
	}
	reply := &apiv1.ExplainJobResponse{JobId: j.ID, State: jobMessage(&j, g.Name).State}
	if e, waiting := g.mirror.explain(r.JobId); waiting {
		reply.Reasons = e.Reasons
		reply.Impossible = e.Infeasible
	}
	if left := backoffLeftMs(&j, g.Store.LogTime()); left > 0 {
		reply.Reasons = append(reply.Reasons, fmt.Sprintf("the next attempt follows after a delay of %d ms", left))
	}
	return reply, nil
}

// backoffLeftMs returns the milliseconds until the first of the job's waiting tasks
// may be placed, or 0 if one may be placed now. logTime is in Unix milliseconds.
func backoffLeftMs(j *structs.Job, logTime int64) int64 {
	least := int64(0)
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State != structs.TaskWaiting {
			continue
		}
		left := t.NotBefore - logTime
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
