package entry

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/timeline"
)

// callerService serves callers.
type callerService struct{ *Server }

const (
	// controlTimeout bounds a call to a group's leader; it covers a failover.
	controlTimeout = 5 * time.Second
	// tryLimit bounds one try of a call that may be repeated. It is well above
	// the time of a commit and below that of a failover.
	tryLimit = time.Second
)

// SubmitJob makes a job durable in its home data centre.
func (s *callerService) SubmitJob(ctx context.Context, r *connect.Request[apiv1.SubmitJobRequest]) (*connect.Response[apiv1.SubmitJobResponse], error) {
	s.events.Record(timeline.Event{Kind: timeline.Submitted, Job: r.Msg.JobId, Team: r.Msg.Team})
	reply, err := s.submitJob(ctx, r)
	s.recordSubmission(r.Msg, err)
	s.meter.submitted(err)
	return reply, err
}

func (s *callerService) submitJob(ctx context.Context, r *connect.Request[apiv1.SubmitJobRequest]) (*connect.Response[apiv1.SubmitJobResponse], error) {
	m := r.Msg
	if s.draining.Load() {
		return nil, notRun(refusal("this entry is shutting down; try another entry"))
	}
	d, err := s.admitKey(bearer(r.Header()), m.Team, m.Service)
	if err != nil {
		return nil, notRun(err)
	}
	if d.Spec.Class == statev1.WorkSpec_SERVICE {
		return nil, notRun(refusal("the instances of service " + m.Service + " are started by its document; send it calls instead of jobs"))
	}
	spec := proto.Clone(d.Spec).(*statev1.WorkSpec)
	if m.Tasks > 0 {
		spec.Tasks = m.Tasks
	}
	deadline := m.DeadlineMs
	if deadline == 0 {
		deadline = spec.DeadlineMs
	}
	dc, group := s.home(m.JobId)
	command := &peerv1.SubmitJobCommand{DataCentre: dc, KeyId: keyID(bearer(r.Header())), Job: &statev1.SubmitJob{
		JobId: m.JobId, Spec: spec, Payload: m.Payload, Urgent: m.Urgent, DeadlineMs: deadline, Digest: jobDigest(m),
	}}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, uncertain, err := peer.CallReportingSent(ctx, group, peer.WithAttemptTimeout(tryLimit, func(ctx context.Context, c *http.Client, url string) (*peerv1.SubmitJobReply, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).SubmitJob(ctx, command)
	}))
	if err != nil {
		return nil, controlError(err)
	}
	if reply.Refusal != "" && uncertain {
		return nil, connect.NewError(connect.CodeUnknown, errors.Errorf("outcome unknown: an earlier try may have been accepted; a later one was refused: %s", reply.Refusal))
	}
	if reply.Refusal != "" {
		return nil, notRun(refusal(reply.Refusal))
	}
	return connect.NewResponse(&apiv1.SubmitJobResponse{JobId: m.JobId, Duplicate: reply.Duplicate, DataCentre: dc}), nil
}

func jobDigest(m *apiv1.SubmitJobRequest) uint64 {
	d := xxhash.New()
	for _, part := range []string{m.Team, m.Service, string(m.Payload)} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(binary.BigEndian.AppendUint32(nil, uint32(m.Tasks)))
	return d.Sum64()
}

// GetJob returns a job.
func (s *callerService) GetJob(ctx context.Context, r *connect.Request[apiv1.GetJobRequest]) (*connect.Response[apiv1.Job], error) {
	return s.waitJob(ctx, r.Header(), &apiv1.WaitJobRequest{JobId: r.Msg.JobId})
}

// WaitJob returns a job when it has ended or the time has passed.
func (s *callerService) WaitJob(ctx context.Context, r *connect.Request[apiv1.WaitJobRequest]) (*connect.Response[apiv1.Job], error) {
	return s.waitJob(ctx, r.Header(), r.Msg)
}

func (s *callerService) waitJob(ctx context.Context, h http.Header, m *apiv1.WaitJobRequest) (*connect.Response[apiv1.Job], error) {
	_, group := s.home(m.JobId)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.WaitMs)*time.Millisecond+controlTimeout)
	defer cancel()
	j, err := peer.Call(ctx, group, func(ctx context.Context, c *http.Client, url string) (*apiv1.Job, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).WaitJob(ctx, m)
	})
	if err != nil {
		return nil, controlError(err)
	}
	return s.ownJob(h, j)
}

// ownJob answers with the job if the key is that of the job's team.
func (s *callerService) ownJob(h http.Header, j *apiv1.Job) (*connect.Response[apiv1.Job], error) {
	if err := s.checkReader(h, j.Team, j.Service); err != nil {
		return nil, err
	}
	s.recordJobAnswer(j)
	return connect.NewResponse(j), nil
}

// checkReader refuses to show or cancel another team's work.
func (s *callerService) checkReader(h http.Header, team, service string) error {
	d := s.follower.Store().Document(team, service)
	if (d != nil && d.Spec.OpenQueue) || s.keyAllows(bearer(h), team) {
		return nil
	}
	return connect.NewError(connect.CodePermissionDenied, errors.New("the key is not that of the job's team"))
}

// CancelJob cancels a job.
func (s *callerService) CancelJob(ctx context.Context, r *connect.Request[apiv1.CancelJobRequest]) (*connect.Response[apiv1.Job], error) {
	if _, err := s.waitJob(ctx, r.Header(), &apiv1.WaitJobRequest{JobId: r.Msg.JobId}); err != nil {
		return nil, err
	}
	_, group := s.home(r.Msg.JobId)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	j, err := peer.Call(ctx, group, peer.WithAttemptTimeout(tryLimit, func(ctx context.Context, c *http.Client, url string) (*apiv1.Job, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).CancelJob(ctx, r.Msg)
	}))
	if err != nil {
		return nil, controlError(err)
	}
	return s.ownJob(r.Header(), j)
}

// ExplainJob says why a job waits.
func (s *callerService) ExplainJob(ctx context.Context, r *connect.Request[apiv1.ExplainJobRequest]) (*connect.Response[apiv1.ExplainJobResponse], error) {
	if _, err := s.waitJob(ctx, r.Header(), &apiv1.WaitJobRequest{JobId: r.Msg.JobId}); err != nil {
		return nil, err
	}
	_, group := s.home(r.Msg.JobId)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	e, err := peer.Call(ctx, group, peer.WithAttemptTimeout(tryLimit, func(ctx context.Context, c *http.Client, url string) (*apiv1.ExplainJobResponse, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).ExplainJob(ctx, r.Msg)
	}))
	if err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(e), nil
}

// notRun returns the connect error for work that was refused and has not run.
func notRun(err error) error { return connect.NewError(connect.CodeFailedPrecondition, err) }

// controlError tells a call that no process received from one that may have
// taken effect.
func controlError(err error) error {
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.NotFound {
		return connect.NewError(connect.CodeNotFound, errors.New(t.Msg()))
	}
	var call *peer.CallError
	if errors.As(err, &call) && !call.Sent {
		return connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "not run"))
	}
	return connect.NewError(connect.CodeUnknown, errors.Wrap(err, "outcome unknown"))
}
