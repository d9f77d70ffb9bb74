package entry

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/routing"
	"laburnumgrade/internal/timeline"
)

const (
	// defaultCallDeadline is the time budget of a call that names none.
	defaultCallDeadline = 10 * time.Second
	maxCallDeadline     = time.Hour
	// lateLimit is how long an answer is awaited after the deadline. Until then
	// the call keeps its slot, since the instance may still be working on it.
	lateLimit = 30 * time.Second

	reasonDraining  = "this entry is shutting down; try another entry"
	reasonAbandoned = "this entry was stopped before the answer came"
)

// Call routes one request to an instance and returns its answer. Refusals,
// failures and unknown outcomes are answers, not connect errors.
func (s *callerService) Call(ctx context.Context, r *connect.Request[apiv1.CallRequest]) (*connect.Response[apiv1.CallResponse], error) {
	s.events.Record(timeline.Event{Kind: timeline.Submitted, Request: r.Msg.RequestId, Team: r.Msg.Team})
	began := s.clock.Now()
	result := s.call(ctx, r.Msg, bearer(r.Header()))
	s.meter.called(result.Outcome, s.clock.Now()-began)
	s.recordAnswer(r.Msg, result)
	return connect.NewResponse(result), nil
}

func (s *callerService) call(ctx context.Context, m *apiv1.CallRequest, key string) *apiv1.CallResponse {
	if s.draining.Load() {
		return refusedCall(m, routing.Refusal(reasonDraining))
	}
	if m.RequestId == "" {
		return notRunAnswer(m, routing.Refusal("the request has no id; answers are matched by it"))
	}
	d, err := s.admitKey(key, m.Team, m.Service)
	if err != nil {
		return refusedCall(m, err)
	}
	if err := s.admission.Enter(m.Team, d.Share); err != nil {
		return refusedCall(m, err)
	}
	defer s.admission.Leave(m.Team)
	p := s.progress.begin(m, !d.Spec.Idempotent)
	defer s.progress.end(p)
	// A drain waits for the calls that have begun; one that begins later is
	// refused.
	if s.draining.Load() {
		return refusedCall(m, routing.Refusal(reasonDraining))
	}
	setDeadline(m, d)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.DeadlineMs)*time.Millisecond)
	defer cancel()
	if !d.Spec.Idempotent {
		return s.callOnce(ctx, m, keyID(key))
	}
	result := s.callIdempotent(ctx, m, p)
	if m.Resend && result.Outcome == apiv1.Outcome_OUTCOME_NOT_RUN {
		return earlierTry(m, errors.New(result.Detail))
	}
	return result
}

// refusedCall answers a call that was refused before its record was looked up.
func refusedCall(m *apiv1.CallRequest, err error) *apiv1.CallResponse {
	if m.Resend {
		return earlierTry(m, err)
	}
	return notRunAnswer(m, err)
}

// earlierTry answers a resend that was not run itself.
func earlierTry(m *apiv1.CallRequest, err error) *apiv1.CallResponse {
	return unknownAnswer(m, "an earlier try may have run; this one was refused: "+err.Error())
}

// setDeadline takes the deadline of the call, of the document or the default.
func setDeadline(m *apiv1.CallRequest, d *statev1.Document) {
	if m.DeadlineMs <= 0 {
		m.DeadlineMs = d.Spec.DeadlineMs
	}
	if m.DeadlineMs <= 0 {
		m.DeadlineMs = defaultCallDeadline.Milliseconds()
	}
	m.DeadlineMs = min(m.DeadlineMs, maxCallDeadline.Milliseconds())
}

func serviceOf(m *apiv1.CallRequest) routing.ServiceID {
	return routing.ServiceID{Team: m.Team, Service: m.Service}
}

func answer(m *apiv1.CallRequest, outcome apiv1.Outcome, detail string) *apiv1.CallResponse {
	return &apiv1.CallResponse{RequestId: m.RequestId, Outcome: outcome, Detail: detail}
}

const (
	prefixNotRun  = "not run: "
	prefixUnknown = "outcome unknown: "
)

// notRunAnswer states that the call was not sent to any instance.
func notRunAnswer(m *apiv1.CallRequest, err error) *apiv1.CallResponse {
	return answer(m, apiv1.Outcome_OUTCOME_NOT_RUN, prefixNotRun+strings.TrimPrefix(err.Error(), prefixNotRun))
}

// unknownAnswer states that the call may have run.
func unknownAnswer(m *apiv1.CallRequest, reason string) *apiv1.CallResponse {
	return answer(m, apiv1.Outcome_OUTCOME_UNKNOWN, prefixUnknown+strings.TrimPrefix(reason, prefixUnknown))
}

// reasonOf says why a context ended.
func reasonOf(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "the deadline has passed"
	}
	return "the connection of the caller has ended"
}
