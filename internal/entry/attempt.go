package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/routing"
)

// attempt holds the parameters of one attempt to run a call.
type attempt struct {
	number int32
	// tried holds the ids of instances to which the call must not be sent again.
	tried []string
	// forwarded is set if the call came from another entry.
	forwarded bool
	// deadline is the deadline of the call, by the entry's clock.
	deadline time.Duration
	active   *activeCall
}

// attemptResult is the result of an attempt. The outcome of the answer is "not run"
// only if nothing was sent.
type attemptResult struct {
	answer *apiv1.CallResponse
	// instance is the id of the instance, empty if it is not known.
	instance string
	// refused is set if no slot was granted, or if the call was already answered.
	refused bool
}

// sent reports whether an instance may have received the call.
func (r attemptResult) sent() bool { return r.answer.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN }

// final reports whether an instance answered the call.
func (r attemptResult) final() bool {
	return r.answer.Outcome == apiv1.Outcome_OUTCOME_OK || r.answer.Outcome == apiv1.Outcome_OUTCOME_FAILED
}

// attempt waits for a slot until the context ends, sends the call, and waits for the
// answer until lateAnswerTimeout after the deadline.
func (s *Server) attempt(ctx context.Context, m *apiv1.CallRequest, a attempt) attemptResult {
	g, err := s.acquire(ctx, routing.Call{Service: serviceID(m), Deadline: a.deadline, Forwarded: a.forwarded, Tried: a.tried})
	if err != nil {
		return attemptResult{answer: notRunAnswer(m, err), refused: true}
	}
	if !a.active.beginSend() {
		s.routes.Release(g, routing.Report{}, s.clock.Now())
		return attemptResult{answer: notRunAnswer(m, routing.Refusal("the call was answered already")), refused: true}
	}
	s.recordRouted(m, g, a.number)
	started := s.clock.Now()
	left := a.deadline - started
	sendContext, cancel := context.WithTimeout(context.Background(), left+lateAnswerTimeout)
	defer cancel()
	var result *apiv1.CallResponse
	var report routing.Report
	if g.Local {
		result, report = s.invoke(sendContext, m, g, a.number, left)
	} else {
		result, report = s.forward(sendContext, m, g, a, left)
	}
	now := s.clock.Now()
	report.Took = now - started
	s.routes.Release(g, report, now)
	if result.Outcome == apiv1.Outcome_OUTCOME_NOT_RUN {
		a.active.notSent()
	}
	return attemptResult{answer: result, instance: result.InstanceId}
}

// acquire waits for a grant until the context ends or the entry abandons its calls.
// The error is a routing.Refusal.
func (s *Server) acquire(ctx context.Context, c routing.Call) (routing.Grant, error) {
	ticket, err := s.routes.Submit(c, s.clock.Now())
	if err != nil {
		return routing.Grant{}, err
	}
	reason := "no instance of " + c.Service.Team + "/" + c.Service.Service + " had a free slot within the deadline"
	select {
	case g := <-ticket.Ready():
		return g, nil
	case <-ctx.Done():
	case <-s.abandoned:
		reason = reasonAbandoned
	}
	if !s.routes.Cancel(ticket) {
		s.routes.Release(<-ticket.Ready(), routing.Report{}, s.clock.Now())
	}
	return routing.Grant{}, routing.Refusal(reason)
}

// invoke sends the call to the instance of a local grant.
func (s *Server) invoke(ctx context.Context, m *apiv1.CallRequest, g routing.Grant, number int32, left time.Duration) (*apiv1.CallResponse, routing.Report) {
	ctx, sent := port.TraceSent(ctx)
	reply, err := s.instanceClient(g.Address).Invoke(ctx, connect.NewRequest(&apiv1.InvokeRequest{
		RequestId: m.RequestId, Attempt: number, Body: m.Body, DeadlineMs: max(left.Milliseconds(), 1),
	}))
	if err == nil {
		err = checkAnswer(m, number, reply.Msg)
	}
	if err != nil {
		return s.noValidAnswer(m, number, g.InstanceID, port.AtStep("call instance", g.InstanceID+" at "+g.Address, err), sent())
	}
	return &apiv1.CallResponse{
		RequestId:  m.RequestId,
		Outcome:    reply.Msg.Outcome,
		Body:       reply.Msg.Body,
		Detail:     reply.Msg.Detail,
		Attempt:    number,
		InstanceId: g.InstanceID,
	}, routing.Report{Result: routing.Answered}
}

// noValidAnswer logs that an instance or entry gave no valid answer, and returns
// the answer to the caller: unknown if the call was sent, otherwise not run.
func (s *Server) noValidAnswer(m *apiv1.CallRequest, number int32, instance string, err error, sent bool) (*apiv1.CallResponse, routing.Report) {
	s.logger.Warn("call without a valid answer", "step", "call", "request", m.RequestId, "attempt", number, "sent", sent, "error", err)
	result, report := notRunAnswer(m, err), routing.Report{Result: routing.Unreachable}
	if sent {
		result, report = unknownAnswer(m, err.Error()), routing.Report{Result: routing.NoValidAnswer}
	}
	result.Attempt = number
	result.InstanceId = instance
	return result, report
}

// checkAnswer returns an error if the answer belongs to another request or attempt,
// is truncated or corrupt, or has no final outcome.
func checkAnswer(m *apiv1.CallRequest, number int32, reply *apiv1.InvokeResponse) error {
	if reply.RequestId != m.RequestId || reply.Attempt != number {
		return errors.Errorf("the answer belongs to request %s, attempt %d", reply.RequestId, reply.Attempt)
	}
	if reply.Length != int64(len(reply.Body)) || reply.Digest != xxhash.Sum64(reply.Body) {
		return errors.Errorf("the answer of %d bytes does not match its length %d or its digest", len(reply.Body), reply.Length)
	}
	if reply.Outcome != apiv1.Outcome_OUTCOME_OK && reply.Outcome != apiv1.Outcome_OUTCOME_FAILED {
		return errors.Errorf("the instance answered with outcome %v", reply.Outcome)
	}
	return nil
}

// maxInstanceClients limits the cached clients. It is far above the number of
// instances of a cell.
const maxInstanceClients = 4096

// instanceClient returns the client for the address of an instance. A full cache is
// emptied before a client is added.
func (s *Server) instanceClient(address string) apiv1connect.InstanceServiceClient {
	if c, ok := s.instanceClients.Load(address); ok {
		return c.(apiv1connect.InstanceServiceClient)
	}
	c := apiv1connect.NewInstanceServiceClient(s.targetClient, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(int(s.maxBodyBytes)))
	if s.cachedClients.Add(1) > maxInstanceClients {
		s.instanceClients.Clear()
		s.cachedClients.Store(1)
	}
	s.instanceClients.Store(address, c)
	return c
}

// forward sends the call to the entry that grants the slots of the instances.
func (s *Server) forward(ctx context.Context, m *apiv1.CallRequest, g routing.Grant, a attempt, left time.Duration) (*apiv1.CallResponse, routing.Report) {
	ctx, sent := port.TraceSent(ctx)
	client := peerv1.NewEntryServiceProtobufClient("http://"+g.EntryAddress, s.client)
	call := &apiv1.CallRequest{RequestId: m.RequestId, Team: m.Team, Service: m.Service, Body: m.Body, DeadlineMs: max(left.Milliseconds(), 1)}
	reply, err := client.Forward(ctx, &peerv1.ForwardRequest{Call: call, Attempt: a.number, Tried: a.tried})
	if err == nil && (reply.RequestId != m.RequestId || reply.Outcome == apiv1.Outcome_OUTCOME_UNSPECIFIED) {
		err = errors.Errorf("the answer belongs to request %s and has outcome %v", reply.RequestId, reply.Outcome)
	}
	if err != nil {
		return s.noValidAnswer(m, a.number, "", port.AtStep("forward", g.Entry+" at "+g.EntryAddress, err), sent())
	}
	report := routing.Report{Result: routing.Answered, Load: routingLoad(reply.Load)}
	if reply.Load == nil {
		report.Result = routing.Unreachable
	}
	reply.Load = nil
	return reply, report
}

// routingLoad converts a load as another entry sends it; nil stays nil.
func routingLoad(m *apiv1.EntryLoad) *routing.Load {
	if m == nil {
		return nil
	}
	return &routing.Load{
		FreeSlots: int(m.FreeSlots), WaitingCalls: int(m.Waiting),
		ExpectedWait: time.Duration(m.WaitUs) * time.Microsecond, MeanServiceTime: time.Duration(m.ServiceUs) * time.Microsecond,
	}
}

// forwardService serves requests of other entries.
type forwardService struct{ *Server }

// Forward runs a call on an instance whose slots this entry grants. During a drain
// the answer contains no load, so that the other entry forwards no more calls.
func (s *forwardService) Forward(ctx context.Context, r *peerv1.ForwardRequest) (*apiv1.CallResponse, error) {
	m := r.Call
	p := s.activeCalls.begin(m, false)
	defer s.activeCalls.end(p)
	if s.draining.Load() {
		return notRunAnswer(m, routing.Refusal(reasonDraining)), nil
	}
	left := time.Duration(m.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	result := s.attempt(ctx, m, attempt{number: r.Attempt, tried: r.Tried, forwarded: true, deadline: s.clock.Now() + left, active: p})
	l := s.routes.Load(serviceID(m), s.clock.Now())
	result.answer.Load = &apiv1.EntryLoad{
		FreeSlots: int32(l.FreeSlots), Waiting: int32(l.WaitingCalls), WaitUs: l.ExpectedWait.Microseconds(), ServiceUs: l.MeanServiceTime.Microseconds(),
	}
	return result.answer, nil
}
