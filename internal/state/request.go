package state

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

const (
	// IDRetention is how long ids of jobs and requests are remembered, counted
	// in log time from the time embedded in the id.
	IDRetention = 24 * time.Hour
	// maxAhead is how far an id's embedded time may be ahead of the log time.
	maxAhead = 5 * time.Minute
	// answerGrace is the time after a request's deadline at which a record
	// without an answer becomes "outcome unknown".
	answerGrace = 5 * time.Second
)

// RefusalIDExpired is the refusal of an id that may have been forgotten: whether it
// ran is not known.
const RefusalIDExpired = "outcome unknown: the id is older than the records"

const uuidLength = 36

// idTime returns the time embedded in a UUIDv7, in ms since the Unix epoch. An
// id may carry a data centre after a dot. Only the canonical form is accepted,
// since two spellings would be two requests.
func idTime(id string) (int64, error) {
	text := id[:min(uuidLength, len(id))]
	u, err := uuid.Parse(text)
	if err != nil {
		return 0, err
	}
	if u.String() != text || (len(id) > uuidLength && id[uuidLength] != '.') {
		return 0, errors.New("the id is not in canonical form")
	}
	if u.Version() != 7 {
		return 0, errors.Errorf("the id has version %d", u.Version())
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, nil
}

// checkID refuses an id whose record may have been forgotten. Log time never
// goes back, so an id that was forgotten is refused for ever.
func (s *Store) checkID(id string) string {
	ms, err := idTime(id)
	if err != nil {
		return fmt.Sprintf("id %q is not a UUIDv7: %v", id, err)
	}
	if ms < s.d.LogTime-IDRetention.Milliseconds() {
		return RefusalIDExpired
	}
	if ms > s.d.LogTime+maxAhead.Milliseconds() {
		return fmt.Sprintf("id %s lies more than %v ahead of the clock of the data centre", id, maxAhead)
	}
	return ""
}

// recordRequest makes a request durable and grants its only run to the owner.
func (s *Store) recordRequest(c *statev1.RecordRequest) *Result {
	if r := s.d.Requests[c.RequestId]; r != nil {
		return s.repeatRequest(r, c)
	}
	if refusal := s.checkID(c.RequestId); refusal != "" {
		return &Result{Refusal: refusal}
	}
	r := &structs.Request{
		ID: c.RequestId, Team: c.Team, Service: c.Service, Digest: c.Digest, Owner: c.Owner,
		RecordedAt: s.d.LogTime, Deadline: time.Duration(c.DeadlineMs) * time.Millisecond,
	}
	s.d.Requests[r.ID] = r
	s.watchRequest(r)
	return &Result{Granted: true}
}

// repeatRequest answers a resend. A request that was not run is granted to
// another owner; the owner that stated it has answered its caller.
func (s *Store) repeatRequest(r *structs.Request, c *statev1.RecordRequest) *Result {
	if !r.Withdrawn && (r.Digest != c.Digest || r.Team != c.Team || r.Service != c.Service) {
		return &Result{Refusal: fmt.Sprintf("request %s was sent before with different content", r.ID)}
	}
	if r.Outcome == structs.OutcomeNotRun && r.Owner != c.Owner {
		r.Team, r.Service, r.Digest, r.Owner, r.Withdrawn = c.Team, c.Service, c.Digest, c.Owner, false
		r.Deadline = time.Duration(c.DeadlineMs) * time.Millisecond
		r.Outcome, r.Detail = structs.OutcomeNone, ""
		r.RecordedAt = s.d.LogTime
		s.watchRequest(r)
		return &Result{Granted: true}
	}
	if r.Outcome == structs.OutcomeNone && r.Owner == c.Owner {
		return &Result{Granted: true, Duplicate: true}
	}
	copied := *r
	return &Result{Duplicate: true, Request: &copied}
}

// endRequest records the outcome. Only the owner may state "not run"; a late
// answer replaces "outcome unknown".
func (s *Store) endRequest(c *statev1.EndRequest) *Result {
	outcome := structs.Outcome(c.Outcome)
	r := s.d.Requests[c.RequestId]
	switch {
	case outcome == structs.OutcomeNone:
		return &Result{Refusal: fmt.Sprintf("request %s: the end states no outcome", c.RequestId)}
	case r == nil && outcome == structs.OutcomeNotRun:
		return s.withdrawRequest(c)
	case r == nil:
		return &Result{Refusal: fmt.Sprintf("request %s is not recorded", c.RequestId)}
	case r.Owner != c.Owner:
		return &Result{Refusal: fmt.Sprintf("request %s is owned by %s", r.ID, r.Owner)}
	case r.Outcome != structs.OutcomeNone && r.Outcome != structs.OutcomeUnknown:
		return &Result{Duplicate: true}
	}
	r.Outcome = outcome
	r.Body = c.Body
	r.Detail = c.Detail
	return &Result{}
}

// withdrawRequest records that the owner gave up before its record was known to
// be committed, so that a late commit of the record grants nothing.
func (s *Store) withdrawRequest(c *statev1.EndRequest) *Result {
	if refusal := s.checkID(c.RequestId); refusal != "" {
		return &Result{Refusal: refusal}
	}
	r := &structs.Request{
		ID: c.RequestId, Owner: c.Owner, Withdrawn: true, RecordedAt: s.d.LogTime,
		Outcome: structs.OutcomeNotRun, Detail: c.Detail,
	}
	s.d.Requests[r.ID] = r
	s.watchRequest(r)
	return &Result{}
}
