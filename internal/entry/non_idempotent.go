package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/routing"
)

const (
	// recordOutcomeTimeout limits how long the entry tries to record the outcome of a
	// request. It covers several changes of the leader.
	recordOutcomeTimeout = 30 * time.Second
	// endRequestTimeout limits one of these tries.
	endRequestTimeout = 5 * time.Second
	// minPollInterval and maxPollInterval bound the pauses between tries to record an
	// outcome, and between queries for the result of a request that another owner
	// runs. The pause doubles each time, since each of these is a write to the
	// replicated log.
	minPollInterval = 25 * time.Millisecond
	maxPollInterval = 400 * time.Millisecond
)

// record holds the request by which this entry asks to own the record of a
// non-idempotent call.
type record struct {
	dataCentre string
	group      *peer.GroupClient
	keyID      string
	command    *statev1.RecordRequest
}

// callNonIdempotent runs a call at most once: its record is durable before the call
// is sent, and only the owner of the record may send it. If another owner runs the
// call, it polls for the result.
func (s *Server) callNonIdempotent(ctx context.Context, m *apiv1.CallRequest, keyID string) *apiv1.CallResponse {
	dc, group := s.homeGroup(m.RequestId)
	r := &record{dataCentre: dc, group: group, keyID: keyID, command: &statev1.RecordRequest{
		RequestId:  m.RequestId,
		Team:       m.Team,
		Service:    m.Service,
		Digest:     xxhash.Sum64(m.Body),
		Owner:      s.newOwnerID(),
		DeadlineMs: m.DeadlineMs,
	}}
	deadline := s.clock.Now() + time.Duration(m.DeadlineMs)*time.Millisecond
	// earlierTry is set if a try before this one may have run the call.
	earlierTry := m.Resend
	// recordMayArrive is set if a request for the record got no reply.
	recordMayArrive := false
	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		reply, uncertain, err := s.record(ctx, r)
		recordMayArrive = recordMayArrive || uncertain
		if err != nil {
			return s.notRecorded(m, r, err, earlierTry)
		}
		if run := s.activeCalls.findRun(m.RequestId); run != nil && !reply.Granted && reply.Refusal == "" && !hasResult(reply) {
			return s.awaitRun(ctx, m, run, false)
		}
		switch {
		case reply.Refusal != "":
			if recordMayArrive {
				s.goBackground(func() { s.recordNotRun(r) })
			}
			return refusedRecord(m, reply.Refusal, earlierTry)
		case reply.Granted:
			return s.awaitRun(ctx, m, s.startRun(m, r, deadline), true)
		case !reply.Pending:
			return reply.Answer
		}
		earlierTry = true
		if !s.sleep(ctx, poll) {
			return unknownAnswer(m, "an earlier try of this request is in progress; ask again with the same id")
		}
	}
}

// hasResult reports whether the record contains the result of a run.
func hasResult(reply *peerv1.RecordRequestReply) bool {
	o := reply.Answer.GetOutcome()
	return o == apiv1.Outcome_OUTCOME_OK || o == apiv1.Outcome_OUTCOME_FAILED
}

// sleep waits for a duration. It returns false if the context ended first or the
// entry abandoned its calls.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.abandoned:
		return false
	case <-t.C:
		return true
	}
}

// record asks the home group for the ownership of the request's record. uncertain
// reports whether a process may have received this without a reply.
func (s *Server) record(ctx context.Context, r *record) (reply *peerv1.RecordRequestReply, uncertain bool, err error) {
	request := &peerv1.RecordRequestRequest{DataCentre: r.dataCentre, Record: r.command, KeyId: r.keyID}
	return peer.CallReportingSent(ctx, r.group, peer.WithAttemptTimeout(tryTimeout, func(ctx context.Context, c *http.Client, url string) (*peerv1.RecordRequestReply, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).RecordRequest(ctx, request)
	}))
}

// refusedRecord answers a request that the home group refused to record. The record of
// an earlier try may reach the group later and still be granted.
func refusedRecord(m *apiv1.CallRequest, refusal string, earlierTry bool) *apiv1.CallResponse {
	if reason, expired := strings.CutPrefix(refusal, prefixUnknown); expired {
		return unknownAnswer(m, "id expired: "+reason)
	}
	if earlierTry {
		return unknownAfterRefusedResend(m, errors.New(refusal))
	}
	return notRunAnswer(m, errors.New(refusal))
}

// notRecorded answers a request whose record may or may not exist. Only this owner
// could send the request and it does not, so this try has not run. If the record
// may exist, the outcome is recorded in the background, so that a resend is not
// blocked by it.
func (s *Server) notRecorded(m *apiv1.CallRequest, r *record, err error, earlierTry bool) *apiv1.CallResponse {
	var call *peer.CallError
	if !errors.As(err, &call) || call.Sent {
		s.goBackground(func() { s.recordNotRun(r) })
	}
	err = errors.Wrap(err, "the request could not be recorded")
	if earlierTry {
		return unknownAfterRefusedResend(m, err)
	}
	return notRunAnswer(m, err)
}

// recordNotRun records that this owner has not run the request.
func (s *Server) recordNotRun(r *record) {
	end := &statev1.EndRequest{
		RequestId: r.command.RequestId, Owner: r.command.Owner, Outcome: apiv1.Outcome_OUTCOME_NOT_RUN,
		Detail: prefixNotRun + "the record was made, but its confirmation was lost",
	}
	s.endRequest(r, end, true)
}

// startRun sends the request in the background, so that an answer after the
// deadline of the caller is still recorded.
func (s *Server) startRun(m *apiv1.CallRequest, r *record, deadline time.Duration) *run {
	p := s.activeCalls.begin(m, true)
	result := s.activeCalls.addRun(m.RequestId, p)
	s.goBackground(func() {
		defer s.activeCalls.end(p)
		defer s.activeCalls.removeRun(m.RequestId, result)
		result.result = s.runOnce(m, p, deadline)
		close(result.resultReady)
		s.endRequest(r, &statev1.EndRequest{
			RequestId: m.RequestId,
			Owner:     r.command.Owner,
			Outcome:   result.result.Outcome,
			Body:      result.result.Body,
			Detail:    result.result.Detail,
		}, false)
		close(result.recordingDone)
	})
	return result
}

// runOnce tries instances until one may have received the call, the deadline passes
// or the reroutes are used up.
func (s *Server) runOnce(m *apiv1.CallRequest, p *activeCall, deadline time.Duration) *apiv1.CallResponse {
	ctx, cancel := context.WithTimeout(context.Background(), deadline-s.clock.Now())
	defer cancel()
	var tried []string
	var last *apiv1.CallResponse
	for number := int32(1); ; number++ {
		r := s.attempt(ctx, m, attempt{number: number, tried: tried, deadline: deadline, active: p})
		if r.refused && last != nil {
			return last
		}
		last = r.answer
		if r.sent() || r.refused || number > maxReroutes || !s.sleep(ctx, reroutePause) {
			return r.answer
		}
		if r.instance != "" {
			tried = append(tried, r.instance)
		}
	}
}

// awaitRun returns the result of the run once it is recorded. If the context ends
// first, it returns the result if there is one, and otherwise "unknown". For the
// call that started the run, set by owner, it then also prevents a run that has
// sent nothing from sending, and returns "not run".
func (s *Server) awaitRun(ctx context.Context, m *apiv1.CallRequest, r *run, owner bool) *apiv1.CallResponse {
	var reason string
	select {
	case <-r.recordingDone:
		return r.result
	case <-ctx.Done():
		reason = contextEndReason(ctx) + "; ask again with the same id"
	case <-s.abandoned:
		reason = reasonAbandoned
	}
	select {
	case <-r.resultReady:
		return r.result
	default:
	}
	if owner && r.active.preventSend() {
		return notRunAnswer(m, routing.Refusal("the call waited for a slot until its time was over"))
	}
	return unknownAnswer(m, reason)
}

// endRequest records the outcome and repeats this through changes of the leader. If
// recordMayArriveLater is set, the request for the record may still be in flight, so
// a refusal because there is no record is tried again, except during a drain.
func (s *Server) endRequest(r *record, end *statev1.EndRequest, recordMayArriveLater bool) {
	ctx, cancel := context.WithTimeout(s.baseContext, recordOutcomeTimeout)
	defer cancel()
	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		refusal, err := s.sendEndRequest(ctx, r, end)
		if err == nil && refusal == "" {
			return
		}
		if err == nil && (!recordMayArriveLater || s.draining.Load()) {
			err = errors.New(refusal)
		} else if s.sleep(ctx, poll) {
			continue
		}
		s.logger.Error("outcome not recorded", "step", "end request", "peer", r.dataCentre, "request", end.RequestId,
			"outcome", end.Outcome.String(), "refusal", refusal, "error", err)
		return
	}
}

// sendEndRequest sends the outcome to the home group once.
func (s *Server) sendEndRequest(ctx context.Context, r *record, end *statev1.EndRequest) (refusal string, err error) {
	ctx, cancel := context.WithTimeout(ctx, endRequestTimeout)
	defer cancel()
	request := &peerv1.EndRequestRequest{DataCentre: r.dataCentre, End: end}
	reply, err := peer.Call(ctx, r.group, peer.WithAttemptTimeout(tryTimeout, func(ctx context.Context, c *http.Client, url string) (*peerv1.RecordRequestReply, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).EndRequest(ctx, request)
	}))
	if err != nil {
		return "", err
	}
	return reply.Refusal, nil
}
