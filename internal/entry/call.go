package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/routing"
)

// defaultCallDeadline is the time budget of a call that names none.
const defaultCallDeadline = 10 * time.Second

// Call routes one request to an instance and returns its answer. Refusals,
// failures and unknown outcomes are answers, not connect errors.
func (s *callerService) Call(ctx context.Context, r *connect.Request[apiv1.CallRequest]) (*connect.Response[apiv1.CallResponse], error) {
	m := r.Msg
	if s.draining.Load() {
		return connect.NewResponse(answer(m, apiv1.Outcome_OUTCOME_NOT_RUN, "this entry is shutting down; try another entry")), nil
	}
	d, err := s.admitKey(r.Header(), m.Team, m.Service)
	if err != nil {
		return connect.NewResponse(answer(m, apiv1.Outcome_OUTCOME_NOT_RUN, err.Error())), nil
	}
	if m.DeadlineMs <= 0 {
		m.DeadlineMs = defaultCallDeadline.Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.DeadlineMs)*time.Millisecond)
	defer cancel()
	if d.Spec.Idempotent {
		return connect.NewResponse(s.route(ctx, m, 1)), nil
	}
	return connect.NewResponse(s.callOnce(ctx, m)), nil
}

func answer(m *apiv1.CallRequest, outcome apiv1.Outcome, detail string) *apiv1.CallResponse {
	return &apiv1.CallResponse{RequestId: m.RequestId, Outcome: outcome, Detail: detail}
}

// callOnce runs a non-idempotent call: its record is durable before a target
// hears of it, and only the record's owner may send it.
func (s *callerService) callOnce(ctx context.Context, m *apiv1.CallRequest) *apiv1.CallResponse {
	dc, group := s.home(m.RequestId)
	owner := s.owner()
	record := &peerv1.RecordRequestRequest{DataCentre: dc, Record: &statev1.RecordRequest{
		RequestId: m.RequestId, Team: m.Team, Service: m.Service, Digest: xxhash.Sum64(m.Body), Owner: owner, DeadlineMs: m.DeadlineMs,
	}}
	reply, err := peer.Call(ctx, group, func(ctx context.Context, c *http.Client, url string) (*peerv1.RecordRequestReply, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).RecordRequest(ctx, record)
	})
	if err != nil {
		// Only this owner may send the request, and it will not.
		return answer(m, apiv1.Outcome_OUTCOME_NOT_RUN, "the request could not be recorded: "+err.Error())
	}
	if reply.Refusal != "" {
		return answer(m, apiv1.Outcome_OUTCOME_NOT_RUN, reply.Refusal)
	}
	if !reply.Granted {
		return repeated(m, reply)
	}
	result := s.route(ctx, m, 1)
	s.endRequest(dc, group, m.RequestId, owner, result)
	return result
}

// repeated answers a resend from the record.
func repeated(m *apiv1.CallRequest, reply *peerv1.RecordRequestReply) *apiv1.CallResponse {
	if reply.Pending {
		return answer(m, apiv1.Outcome_OUTCOME_UNKNOWN, "the request is in progress; ask again with the same id")
	}
	return reply.Answer
}

// endRequest records the outcome, beyond the caller's own deadline.
func (s *callerService) endRequest(dc string, group *peer.Group, id, owner string, result *apiv1.CallResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	request := &peerv1.EndRequestRequest{DataCentre: dc, End: &statev1.EndRequest{
		RequestId: id, Owner: owner, Outcome: result.Outcome, Body: result.Body, Detail: result.Detail,
	}}
	_, err := peer.Call(ctx, group, func(ctx context.Context, c *http.Client, url string) (*peerv1.RecordRequestReply, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).EndRequest(ctx, request)
	})
	if err != nil {
		s.logger.Error("outcome not recorded", "step", "end request", "request", id, "error", err)
	}
}

// route sends the call to an instance, here or through the entry that hands
// out the instance's slots.
func (s *Server) route(ctx context.Context, m *apiv1.CallRequest, attempt int32) *apiv1.CallResponse {
	in, err := s.routes.Acquire(ctx, m.Team, m.Service, s.clock.Now)
	if err != nil {
		return answer(m, apiv1.Outcome_OUTCOME_NOT_RUN, err.Error())
	}
	if in.Local {
		defer s.routes.Release(in)
		return s.invoke(ctx, m, in, attempt)
	}
	return s.forward(ctx, m, in, attempt)
}

func (s *Server) forward(ctx context.Context, m *apiv1.CallRequest, in routing.Choice, attempt int32) *apiv1.CallResponse {
	client := peerv1.NewEntryServiceProtobufClient("http://"+in.EntryAddress, s.client)
	reply, err := client.Forward(ctx, &peerv1.ForwardRequest{Call: m, InstanceId: in.ID, InstanceIncarnation: in.Incarnation, Attempt: attempt})
	if err != nil {
		return answer(m, apiv1.Outcome_OUTCOME_UNKNOWN, "forward to entry "+in.Entry+": "+err.Error())
	}
	return reply
}

// invoke sends the call to an instance whose slot is held here.
func (s *Server) invoke(ctx context.Context, m *apiv1.CallRequest, in routing.Choice, attempt int32) *apiv1.CallResponse {
	client := apiv1connect.NewInstanceServiceClient(s.client, "http://"+in.Address)
	deadline, _ := ctx.Deadline()
	reply, err := client.Invoke(ctx, connect.NewRequest(&apiv1.InvokeRequest{
		RequestId: m.RequestId, Attempt: attempt, Body: m.Body, DeadlineMs: time.Until(deadline).Milliseconds(),
	}))
	if err != nil {
		return answer(m, apiv1.Outcome_OUTCOME_UNKNOWN, "call instance "+in.ID+": "+err.Error())
	}
	if err := checkAnswer(m, attempt, reply.Msg); err != nil {
		return answer(m, apiv1.Outcome_OUTCOME_UNKNOWN, "call instance "+in.ID+": "+err.Error())
	}
	return &apiv1.CallResponse{
		RequestId: m.RequestId, Outcome: reply.Msg.Outcome, Body: reply.Msg.Body, Detail: reply.Msg.Detail, Attempt: attempt, InstanceId: in.ID,
	}
}

// checkAnswer refuses an answer to another request or a truncated one.
func checkAnswer(m *apiv1.CallRequest, attempt int32, reply *apiv1.InvokeResponse) error {
	if reply.RequestId != m.RequestId || reply.Attempt != attempt {
		return errors.Errorf("the answer belongs to request %s, attempt %d", reply.RequestId, reply.Attempt)
	}
	if reply.Length != int64(len(reply.Body)) || reply.Digest != xxhash.Sum64(reply.Body) {
		return errors.Errorf("the answer of %d bytes does not match its length %d or its digest", len(reply.Body), reply.Length)
	}
	return nil
}

// forwardService serves other entries.
type forwardService struct{ *Server }

// Forward runs a call on an instance whose slots this entry hands out.
func (s *forwardService) Forward(ctx context.Context, r *peerv1.ForwardRequest) (*apiv1.CallResponse, error) {
	in, err := s.routes.AcquireLocal(ctx, r.Call.Team, r.Call.Service, s.clock.Now)
	if err != nil {
		return answer(r.Call, apiv1.Outcome_OUTCOME_NOT_RUN, err.Error()), nil
	}
	defer s.routes.Release(in)
	return s.invoke(ctx, r.Call, in, r.Attempt), nil
}
