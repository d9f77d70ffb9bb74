package entry

import (
	"context"
	"strings"
	"testing"

	"connectrpc.com/connect"
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
