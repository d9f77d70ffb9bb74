package entry

import (
	"context"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
)

// SubmitJob applies the submission to the state of the fake.
func (c *fakeControl) SubmitJob(_ context.Context, r *peerv1.SubmitJobCommand) (*peerv1.SubmitJobReply, error) {
	if err := c.checkLeader(); err != nil {
		return nil, err
	}
	result := c.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SubmitJob{SubmitJob: r.Job}})
	return &peerv1.SubmitJobReply{Duplicate: result.Duplicate, Refusal: result.Refusal}, nil
}

// WaitJob returns the job without waiting.
func (c *fakeControl) WaitJob(_ context.Context, r *apiv1.WaitJobRequest) (*apiv1.Job, error) {
	return c.jobState(r.JobId)
}

// CancelJob cancels the job in the state of the fake, and then calls cancelled.
func (c *fakeControl) CancelJob(_ context.Context, r *apiv1.CancelJobRequest) (*apiv1.Job, error) {
	j, err := c.jobState(r.JobId)
	if err != nil {
		return nil, err
	}
	c.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_CancelJob{CancelJob: &statev1.CancelJob{JobId: r.JobId}}})
	c.mu.Lock()
	cancelled := c.cancelled
	c.mu.Unlock()
	if cancelled != nil {
		cancelled()
	}
	j.State = apiv1.JobState_JOB_STATE_ENDED
	return j, nil
}

// jobState returns the job, or the error of a leader that does not know it.
func (c *fakeControl) jobState(id string) (*apiv1.Job, error) {
	c.mu.Lock()
	forgotten := c.jobsForgotten
	c.mu.Unlock()
	j, known := c.store.Job(id)
	if !known || forgotten {
		return nil, twirp.NotFoundError("job " + id + " is not known")
	}
	return &apiv1.Job{JobId: id, Team: j.Spec.Team, Service: j.Spec.Service}, nil
}

// startJob submits a job of the batch service and returns its id.
func (c *cell) startJob(t *testing.T) string {
	t.Helper()
	c.control.putDocument("batch", func(s *statev1.WorkSpec) { s.Class = statev1.WorkSpec_BATCH })
	waitFor(t, func() bool { return c.entries[0].follower.Store().Document("t", "batch") != nil })
	id := newID()
	r := connect.NewRequest(&apiv1.SubmitJobRequest{JobId: id, Team: "t", Service: "batch", Tasks: 1})
	r.Header().Set("Authorization", "Bearer "+testKey)
	_, err := c.entries[0].caller.SubmitJob(context.Background(), r)
	assert.NilError(t, err)
	return id
}

// cancelJob cancels a job through the first entry.
func (c *cell) cancelJob(id string) error {
	r := connect.NewRequest(&apiv1.CancelJobRequest{JobId: id})
	r.Header().Set("Authorization", "Bearer "+testKey)
	_, err := c.entries[0].caller.CancelJob(context.Background(), r)
	return err
}

// Guards against a cancellation that is answered as refused although it was carried out,
// because the key was withdrawn between the two.
func TestCancellationUnderWithdrawnKey(t *testing.T) {
	c := newCell(t, idempotent, "a")
	id := c.startJob(t)
	c.control.mu.Lock()
	c.control.cancelled = func() {
		c.control.withdrawKey()
		waitFor(t, func() bool { return c.entries[0].follower.Store().Key("0011").Withdrawn })
	}
	c.control.mu.Unlock()
	err := c.cancelJob(id)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnknown, "%v", err)
	assert.Assert(t, strings.Contains(err.Error(), "outcome unknown"), err)
	j, _ := c.control.store.Job(id)
	assert.Assert(t, j.Cancelled)
	assert.Equal(t, connect.CodeOf(c.cancelJob(id)), connect.CodePermissionDenied)
}

func (c *cell) submit(service string) error {
	r := connect.NewRequest(&apiv1.SubmitJobRequest{JobId: newID(), Team: "t", Service: service, Tasks: 1})
	r.Header().Set("Authorization", "Bearer "+testKey)
	_, err := c.entries[0].caller.SubmitJob(context.Background(), r)
	return err
}

// Guards against the outcome "not run" for a job whose first try was lost and may have
// been accepted, against a job that is lost because its answer was, and against jobs
// for services, whose instances their document starts.
func TestSubmissionUnderFaults(t *testing.T) {
	c := newCell(t, idempotent, "a")
	c.control.putDocument("batch", func(s *statev1.WorkSpec) {
		s.Class = statev1.WorkSpec_BATCH
		s.QueueLimit = 2
	})
	c.control.putDocument("instances", func(s *statev1.WorkSpec) { s.Class = statev1.WorkSpec_SERVICE })
	waitFor(t, func() bool { return c.entries[0].follower.Store().Document("t", "instances") != nil })

	assert.NilError(t, c.submit("batch"))
	c.control.setFaults("SubmitJob", replyLost, delivered)
	assert.NilError(t, c.submit("batch"), "a resend after a lost answer")
	err := c.submit("batch")
	assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
	assert.Assert(t, strings.Contains(err.Error(), "not run: the queue of team t is full"), err)
	c.control.setFaults("SubmitJob", requestLost, delivered)
	err = c.submit("batch")
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnknown)
	assert.Assert(t, strings.Contains(err.Error(), "outcome unknown"), err)
	err = c.submit("instances")
	assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
	assert.Assert(t, strings.Contains(err.Error(), "started by its document"), err)
}

// Guards against "not found" for a cancellation that a try before the last one carried out.
func TestCancellationOfForgottenJob(t *testing.T) {
	c := newCell(t, idempotent, "a")
	id := c.startJob(t)
	c.control.mu.Lock()
	c.control.cancelled = func() {
		c.control.mu.Lock()
		defer c.control.mu.Unlock()
		c.control.jobsForgotten = true
	}
	c.control.mu.Unlock()
	c.control.setFaults("CancelJob", replyLost, delivered)
	err := c.cancelJob(id)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnknown, "%v", err)
	j, _ := c.control.store.Job(id)
	assert.Assert(t, j.Cancelled)
	assert.Equal(t, connect.CodeOf(c.cancelJob(id)), connect.CodeNotFound)
	c.control.setFaults("WaitJob", replyLost, delivered)
	assert.Equal(t, connect.CodeOf(c.cancelJob(id)), connect.CodeNotFound, "a read does not change anything")
}
