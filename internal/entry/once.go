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
	// endLimit bounds the time in which the end of a request is recorded; it
	// covers several changes of the leader.
	endLimit = 30 * time.Second
	// endCallLimit bounds one round of that.
	endCallLimit = 5 * time.Second
	// firstPoll and maxPoll bound the pauses between questions for the result of
	// a request that another entry runs. Each question is a write to the log.
	firstPoll = 25 * time.Millisecond
	maxPoll   = 400 * time.Millisecond
)

// record is the record of one try to run a non-idempotent call.
type record struct {
	dataCentre string
	group      *peer.GroupClient
	keyID      string
	command    *statev1.RecordRequest
}

// callOnce runs a non-idempotent call: its record is durable before a target
// hears of it, only the record's owner may send it, and it does so once.
func (s *Server) callOnce(ctx context.Context, m *apiv1.CallRequest, keyID string) *apiv1.CallResponse {
	dc, group := s.home(m.RequestId)
	r := &record{dataCentre: dc, group: group, keyID: keyID, command: &statev1.RecordRequest{
		RequestId: m.RequestId, Team: m.Team, Service: m.Service, Digest: xxhash.Sum64(m.Body), Owner: s.owner(), DeadlineMs: m.DeadlineMs,
	}}
	deadline := s.clock.Now() + time.Duration(m.DeadlineMs)*time.Millisecond
	earlier := m.Resend
	for poll := firstPoll; ; poll = min(2*poll, maxPoll) {
		reply, err := s.record(ctx, r)
		if err != nil {
			return s.notRecorded(m, r, err, earlier)
		}
		if run := s.progress.findRun(m.RequestId); run != nil && !reply.Granted && reply.Refusal == "" && !ended(reply) {
			return s.awaitRun(ctx, m, run, false)
		}
		switch {
		case reply.Refusal != "":
			return refusedRecord(m, reply.Refusal)
		case reply.Granted:
			return s.awaitRun(ctx, m, s.startRun(m, r, deadline), true)
		case !reply.Pending:
			return reply.Answer
		}
		earlier = true
		if !s.pause(ctx, poll) {
			return unknownAnswer(m, "an earlier try of this request is in progress; ask again with the same id")
		}
	}
}

// ended reports whether the record holds the result of a run.
func ended(reply *peerv1.RecordRequestReply) bool {
	o := reply.Answer.GetOutcome()
	return o == apiv1.Outcome_OUTCOME_OK || o == apiv1.Outcome_OUTCOME_FAILED
}

// pause waits and reports whether neither the context nor the entry ended.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
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

func (s *Server) record(ctx context.Context, r *record) (*peerv1.RecordRequestReply, error) {
	request := &peerv1.RecordRequestRequest{DataCentre: r.dataCentre, Record: r.command, KeyId: r.keyID}
	return peer.Call(ctx, r.group, peer.WithAttemptTimeout(tryLimit, func(ctx context.Context, c *http.Client, url string) (*peerv1.RecordRequestReply, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).RecordRequest(ctx, request)
	}))
}

// refusedRecord answers a request that the home group refused to record.
func refusedRecord(m *apiv1.CallRequest, refusal string) *apiv1.CallResponse {
	if reason, expired := strings.CutPrefix(refusal, prefixUnknown); expired {
		return unknownAnswer(m, "id expired: "+reason)
	}
	return notRunAnswer(m, errors.New(refusal))
}

// notRecorded answers a request whose record may or may not exist. Only this
// owner could send it, and it does not, so this try has not run; a record that
// exists is settled in the background. An earlier try may have run.
func (s *Server) notRecorded(m *apiv1.CallRequest, r *record, err error, earlier bool) *apiv1.CallResponse {
	var call *peer.CallError
	if !errors.As(err, &call) || call.Sent {
		s.goBackground(func() { s.settle(r) })
	}
	err = errors.Wrap(err, "the request could not be recorded")
	if earlier {
		return earlierTry(m, err)
	}
	return notRunAnswer(m, err)
}

// settle records that the request was not run by this owner.
func (s *Server) settle(r *record) {
	end := &statev1.EndRequest{
		RequestId: r.command.RequestId, Owner: r.command.Owner, Outcome: apiv1.Outcome_OUTCOME_NOT_RUN,
		Detail: prefixNotRun + "the record was made, but its confirmation was lost",
	}
	s.endRequest(r, end, true)
}

// startRun sends the granted request in the background, so that a late answer is
// recorded although the caller's time has passed.
func (s *Server) startRun(m *apiv1.CallRequest, r *record, deadline time.Duration) *run {
	own := s.progress.begin(m, true)
	result := s.progress.addRun(m.RequestId, own)
	s.goBackground(func() {
		defer s.progress.end(own)
		defer s.progress.removeRun(m.RequestId, result)
		result.result = s.runOnce(m, own, deadline)
		close(result.known)
		s.endRequest(r, &statev1.EndRequest{
			RequestId: m.RequestId, Owner: r.command.Owner, Outcome: result.result.Outcome, Body: result.result.Body, Detail: result.result.Detail,
		}, false)
		close(result.ended)
	})
	return result
}

// runOnce sends the call to instances until one may have received it.
func (s *Server) runOnce(m *apiv1.CallRequest, p *progress, deadline time.Duration) *apiv1.CallResponse {
	ctx, cancel := context.WithTimeout(context.Background(), deadline-s.clock.Now())
	defer cancel()
	var tried []string
	var last *apiv1.CallResponse
	for number := int32(1); ; number++ {
		r := s.attempt(ctx, m, attempt{number: number, tried: tried, deadline: deadline, progress: p})
		if r.refused && last != nil {
			return last
		}
		last = r.answer
		if r.sent() || r.refused || number > maxReroutes || !s.pause(ctx, reroutePause) {
			return r.answer
		}
		if r.instance != "" {
			tried = append(tried, r.instance)
		}
	}
}

// awaitRun returns the recorded result of the run. At the deadline it returns
// what is known by then; the owner's call also ends a run that has sent nothing.
func (s *Server) awaitRun(ctx context.Context, m *apiv1.CallRequest, r *run, owner bool) *apiv1.CallResponse {
	var reason string
	select {
	case <-r.ended:
		return r.result
	case <-ctx.Done():
		reason = reasonOf(ctx) + "; ask again with the same id"
	case <-s.abandoned:
		reason = reasonAbandoned
	}
	select {
	case <-r.known:
		return r.result
	default:
	}
	if owner && r.progress.closeUnsent() {
		return notRunAnswer(m, routing.Refusal("the call waited for a slot until its time was over"))
	}
	return unknownAnswer(m, reason)
}

// endRequest records the outcome, through changes of the leader. If the record
// may still be on its way, a refusal is not final.
func (s *Server) endRequest(r *record, end *statev1.EndRequest, mayFollow bool) {
	limit, cancel := context.WithTimeout(s.base, endLimit)
	defer cancel()
	for poll := firstPoll; ; poll = min(2*poll, maxPoll) {
		refusal, err := s.endOnce(limit, r, end)
		if err == nil && refusal == "" {
			return
		}
		if err == nil && (!mayFollow || s.draining.Load()) {
			err = errors.New(refusal)
		} else if s.pause(limit, poll) {
			continue
		}
		s.logger.Error("outcome not recorded", "step", "end request", "peer", r.dataCentre, "request", end.RequestId,
			"outcome", end.Outcome.String(), "refusal", refusal, "error", err)
		return
	}
}

func (s *Server) endOnce(ctx context.Context, r *record, end *statev1.EndRequest) (refusal string, err error) {
	ctx, cancel := context.WithTimeout(ctx, endCallLimit)
	defer cancel()
	request := &peerv1.EndRequestRequest{DataCentre: r.dataCentre, End: end}
	reply, err := peer.Call(ctx, r.group, peer.WithAttemptTimeout(tryLimit, func(ctx context.Context, c *http.Client, url string) (*peerv1.RecordRequestReply, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).EndRequest(ctx, request)
	}))
	if err != nil {
		return "", err
	}
	return reply.Refusal, nil
}
