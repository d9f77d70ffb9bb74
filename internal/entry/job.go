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

// callerService serves requests of callers.
type callerService struct{ *Server }

const (
	// controlTimeout limits a call to a group's leader. It covers a change of the
	// leader.
	controlTimeout = 5 * time.Second
	// tryTimeout limits one try of a call that may be repeated. It is well above the
	// time of a commit and below that of a change of the leader.
	tryTimeout = time.Second
)

// SubmitJob stores a job durably in its home data centre.
func (s *callerService) SubmitJob(ctx context.Context, r *connect.Request[apiv1.SubmitJobRequest]) (*connect.Response[apiv1.SubmitJobResponse], error) {
	s.events.Record(timeline.Event{Kind: timeline.Submitted, Job: r.Msg.JobId, Team: r.Msg.Team})
	reply, err := s.submitJob(ctx, r)
	s.recordSubmission(r.Msg, err)
	s.metrics.recordSubmission(err)
	return reply, err
}

func (s *callerService) submitJob(ctx context.Context, r *connect.Request[apiv1.SubmitJobRequest]) (*connect.Response[apiv1.SubmitJobResponse], error) {
	m := r.Msg
	if s.draining.Load() {
		return nil, notRunError(refusal("this entry is shutting down; try another entry"))
	}
	d, err := s.admitKey(bearerKey(r.Header()), m.Team, m.Service)
	if err != nil {
		return nil, notRunError(err)
	}
	if d.Spec.Class == statev1.WorkSpec_SERVICE {
		return nil, notRunError(refusal("the instances of service " + m.Service + " are started by its document; send it calls instead of jobs"))
	}
	spec := proto.Clone(d.Spec).(*statev1.WorkSpec)
	if m.Tasks > 0 {
		spec.Tasks = m.Tasks
	}
	deadline := m.DeadlineMs
	if deadline == 0 {
		deadline = spec.DeadlineMs
	}
	dc, group := s.homeGroup(m.JobId)
	command := &peerv1.SubmitJobCommand{DataCentre: dc, KeyId: keyID(bearerKey(r.Header())), Job: &statev1.SubmitJob{
		JobId: m.JobId, Spec: spec, Payload: m.Payload, Urgent: m.Urgent, DeadlineMs: deadline, Digest: jobDigest(m),
	}}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, uncertain, err := peer.CallReportingSent(ctx, group, peer.WithAttemptTimeout(tryTimeout, func(ctx context.Context, c *http.Client, url string) (*peerv1.SubmitJobReply, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).SubmitJob(ctx, command)
	}))
	if err != nil {
		return nil, changeError(err)
	}
	if reply.Refusal != "" && uncertain {
		return nil, refusedAfterLostTry(reply.Refusal)
	}
	if reply.Refusal != "" {
		return nil, notRunError(refusal(reply.Refusal))
	}
	return connect.NewResponse(&apiv1.SubmitJobResponse{JobId: m.JobId, Duplicate: reply.Duplicate, DataCentre: dc}), nil
}

// jobDigest returns the digest by which a resend is distinguished from another job
// with the same id.
func jobDigest(m *apiv1.SubmitJobRequest) uint64 {
	d := xxhash.New()
	for _, field := range []string{m.Team, m.Service, string(m.Payload)} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = d.WriteString(field)
	}
	_, _ = d.Write(binary.BigEndian.AppendUint32(nil, uint32(m.Tasks)))
	return d.Sum64()
}

// GetJob returns the current state of a job.
func (s *callerService) GetJob(ctx context.Context, r *connect.Request[apiv1.GetJobRequest]) (*connect.Response[apiv1.Job], error) {
	return s.waitJob(ctx, r.Header(), &apiv1.WaitJobRequest{JobId: r.Msg.JobId})
}

// WaitJob returns a job once it has ended or the requested time has passed.
func (s *callerService) WaitJob(ctx context.Context, r *connect.Request[apiv1.WaitJobRequest]) (*connect.Response[apiv1.Job], error) {
	return s.waitJob(ctx, r.Header(), r.Msg)
}

func (s *callerService) waitJob(ctx context.Context, h http.Header, m *apiv1.WaitJobRequest) (*connect.Response[apiv1.Job], error) {
	_, group := s.homeGroup(m.JobId)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.WaitMs)*time.Millisecond+controlTimeout)
	defer cancel()
	j, err := peer.Call(ctx, group, func(ctx context.Context, c *http.Client, url string) (*apiv1.Job, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).WaitJob(ctx, m)
	})
	if err != nil {
		return nil, controlError(err)
	}
	return s.authorizedJob(h, j)
}

// authorizedJob returns the job as the answer if the key belongs to the job's team.
func (s *callerService) authorizedJob(h http.Header, j *apiv1.Job) (*connect.Response[apiv1.Job], error) {
	if err := s.checkTeamAccess(h, j.Team, j.Service); err != nil {
		return nil, err
	}
	s.recordJobAnswer(j)
	return connect.NewResponse(j), nil
}

// checkTeamAccess returns an error unless the key belongs to the team or the service
// has an open queue.
func (s *callerService) checkTeamAccess(h http.Header, team, service string) error {
	d := s.follower.Store().Document(team, service)
	if (d != nil && d.Spec.OpenQueue) || s.keyAllows(bearerKey(h), team) {
		return nil
	}
	return connect.NewError(connect.CodePermissionDenied, errors.New("the key is not that of the job's team"))
}

// CancelJob cancels a job.
func (s *callerService) CancelJob(ctx context.Context, r *connect.Request[apiv1.CancelJobRequest]) (*connect.Response[apiv1.Job], error) {
	if _, err := s.waitJob(ctx, r.Header(), &apiv1.WaitJobRequest{JobId: r.Msg.JobId}); err != nil {
		return nil, err
	}
	_, group := s.homeGroup(r.Msg.JobId)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	j, err := peer.Call(ctx, group, peer.WithAttemptTimeout(tryTimeout, func(ctx context.Context, c *http.Client, url string) (*apiv1.Job, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).CancelJob(ctx, r.Msg)
	}))
	if err != nil {
		return nil, changeError(err)
	}
	// The key may have been withdrawn since the check above, but the job is cancelled.
	if err := s.checkTeamAccess(r.Header(), j.Team, j.Service); err != nil {
		return nil, connect.NewError(connect.CodeUnknown, errors.Wrap(err, "outcome unknown: the job is cancelled, but its state is not shown"))
	}
	s.recordJobAnswer(j)
	return connect.NewResponse(j), nil
}

// ExplainJob returns the reasons why a job waits.
func (s *callerService) ExplainJob(ctx context.Context, r *connect.Request[apiv1.ExplainJobRequest]) (*connect.Response[apiv1.ExplainJobResponse], error) {
	if _, err := s.waitJob(ctx, r.Header(), &apiv1.WaitJobRequest{JobId: r.Msg.JobId}); err != nil {
		return nil, err
	}
	_, group := s.homeGroup(r.Msg.JobId)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	e, err := peer.Call(ctx, group, peer.WithAttemptTimeout(tryTimeout, func(ctx context.Context, c *http.Client, url string) (*apiv1.ExplainJobResponse, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).ExplainJob(ctx, r.Msg)
	}))
	if err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(e), nil
}

// notRunError returns the connect error for a refused request that has not run.
func notRunError(err error) error { return connect.NewError(connect.CodeFailedPrecondition, err) }

// controlError converts the error of a call to the control processes into a connect
// error that says whether the call may have taken effect.
func controlError(err error) error {
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.NotFound {
		return connect.NewError(connect.CodeNotFound, errors.New(t.Msg()))
	}
	var call *peer.CallError
	if errors.As(err, &call) && !call.Sent {
		return connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "not run"))
	}
	return unknownError(err)
}

// changeError is controlError for a call that changes something: that the last attempt was
// refused does not prove that an earlier one was not carried out.
func changeError(err error) error {
	var call *peer.CallError
	if errors.As(err, &call) && call.SentBefore {
		return unknownError(err)
	}
	return controlError(err)
}

// refusedAfterLostTry returns the connect error for a call whose last try was refused, while
// an earlier one may have been received.
func refusedAfterLostTry(reason string) error {
	return connect.NewError(connect.CodeUnknown, errors.Errorf("outcome unknown: an earlier try may have been accepted; a later one was refused: %s", reason))
}

// unknownError returns the connect error for a call that may have taken effect.
func unknownError(err error) error {
	return connect.NewError(connect.CodeUnknown, errors.Wrap(err, "outcome unknown"))
}
