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
	// defaultCallDeadline is the time budget of a call for which neither the call nor
	// the document sets one.
	defaultCallDeadline = 10 * time.Second
	maxCallDeadline     = time.Hour
	// lateAnswerTimeout is how long the entry waits for an answer after the deadline.
	// During that time the call keeps its slot, since the instance may still be
	// working on it.
	lateAnswerTimeout = 30 * time.Second

	reasonDraining  = "this entry is shutting down; try another entry"
	reasonAbandoned = "this entry was stopped before the answer came"
)

// Call sends one request to an instance and returns its answer. A refusal, a failure
// or an unknown outcome is returned as an answer, not as a connect error.
func (s *callerService) Call(ctx context.Context, r *connect.Request[apiv1.CallRequest]) (*connect.Response[apiv1.CallResponse], error) {
	s.events.Record(timeline.Event{Kind: timeline.Submitted, Request: r.Msg.RequestId, Team: r.Msg.Team})
	began := s.clock.Now()
	result := s.call(ctx, r.Msg, bearerKey(r.Header()))
	s.metrics.recordCall(result.Outcome, s.clock.Now()-began)
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
	p := s.activeCalls.begin(m, !d.Spec.Idempotent)
	defer s.activeCalls.end(p)
	// A drain waits for the registered calls. It may have begun since the check
	// above, so check again after the registration.
	if s.draining.Load() {
		return refusedCall(m, routing.Refusal(reasonDraining))
	}
	setDeadline(m, d)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.DeadlineMs)*time.Millisecond)
	defer cancel()
	var result *apiv1.CallResponse
	if d.Spec.Idempotent {
		result = s.callIdempotent(ctx, m, p)
	} else {
		result = s.callNonIdempotent(ctx, m, keyID(key))
	}
	// The record of a request that has not run is granted to a try that arrives later.
	if m.Resend && result.Outcome == apiv1.Outcome_OUTCOME_NOT_RUN {
		return unknownAfterRefusedResend(m, errors.New(result.Detail))
	}
	return result
}

// refusedCall answers a call that was refused before its record was read.
func refusedCall(m *apiv1.CallRequest, err error) *apiv1.CallResponse {
	if m.Resend {
		return unknownAfterRefusedResend(m, err)
	}
	return notRunAnswer(m, err)
}

// unknownAfterRefusedResend answers a resend that has not run itself, although an
// earlier try may have.
func unknownAfterRefusedResend(m *apiv1.CallRequest, err error) *apiv1.CallResponse {
	return unknownAnswer(m, "an earlier try may have run; this one was refused: "+err.Error())
}

// setDeadline sets the time budget of the call: its own, that of the document, or
// the default, limited to maxCallDeadline.
func setDeadline(m *apiv1.CallRequest, d *statev1.Document) {
	if m.DeadlineMs <= 0 {
		m.DeadlineMs = d.Spec.DeadlineMs
	}
	if m.DeadlineMs <= 0 {
		m.DeadlineMs = defaultCallDeadline.Milliseconds()
	}
	m.DeadlineMs = min(m.DeadlineMs, maxCallDeadline.Milliseconds())
}

func serviceID(m *apiv1.CallRequest) routing.ServiceID {
	return routing.ServiceID{Team: m.Team, Service: m.Service}
}

func newAnswer(m *apiv1.CallRequest, outcome apiv1.Outcome, detail string) *apiv1.CallResponse {
	return &apiv1.CallResponse{RequestId: m.RequestId, Outcome: outcome, Detail: detail}
}

const (
	prefixNotRun  = "not run: "
	prefixUnknown = "outcome unknown: "
)

// notRunAnswer returns the answer to a call that was not sent to any instance.
func notRunAnswer(m *apiv1.CallRequest, err error) *apiv1.CallResponse {
	return newAnswer(m, apiv1.Outcome_OUTCOME_NOT_RUN, prefixNotRun+strings.TrimPrefix(err.Error(), prefixNotRun))
}

// unknownAnswer returns the answer to a call that may have run.
func unknownAnswer(m *apiv1.CallRequest, reason string) *apiv1.CallResponse {
	return newAnswer(m, apiv1.Outcome_OUTCOME_UNKNOWN, prefixUnknown+strings.TrimPrefix(reason, prefixUnknown))
}

// contextEndReason returns why the context of a call ended.
func contextEndReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "the deadline has passed"
	}
	return "the connection of the caller has ended"
}
