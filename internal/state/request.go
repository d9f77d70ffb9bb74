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
	// IDRetention is how long the record of a job's or request's id is kept,
	// counted in log time from the time embedded in the id. Older ids are refused.
	IDRetention = 24 * time.Hour
	// maxIDAhead is how far an id's embedded time may lie ahead of the log time.
	maxIDAhead = 5 * time.Minute
	// answerGrace is the time after a request's deadline before a record
	// without an answer becomes "outcome unknown".
	answerGrace = 5 * time.Second
)

// RefusalIDExpired is the refusal of an id that is older than IDRetention. Its
// record may have been removed, so it is not known whether it ran.
const RefusalIDExpired = "outcome unknown: the id is older than the records"

// uuidLength is the length of a UUID in its canonical text form.
const uuidLength = 36

// idTime returns the time embedded in a UUIDv7, in ms since the Unix epoch. The
// UUID may be followed by a dot and the name of a data centre. Only the canonical
// text form is accepted, because records are found by the text of the id: two
// spellings of one UUID would be two requests.
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

// checkID returns the reason to refuse a new id, empty if it is valid. An id whose
// record may have been removed is refused, and stays refused because the log time
// never goes back.
func (s *Store) checkID(id string) string {
	ms, err := idTime(id)
	if err != nil {
		return fmt.Sprintf("id %q is not a UUIDv7: %v", id, err)
	}
	if ms < s.data.LogTime-IDRetention.Milliseconds() {
		return RefusalIDExpired
	}
	if ms > s.data.LogTime+maxIDAhead.Milliseconds() {
		return fmt.Sprintf("id %s lies more than %v ahead of the clock of the data centre", id, maxIDAhead)
	}
	return ""
}

// recordRequest records a request before it is sent and grants its single run to
// the owner. The owner may send the request only if the result says so.
func (s *Store) recordRequest(c *statev1.RecordRequest) *Result {
	if r := s.data.Requests[c.RequestId]; r != nil {
		return s.repeatRequest(r, c)
	}
	if refusal := s.checkID(c.RequestId); refusal != "" {
		return &Result{Refusal: refusal}
	}
	r := &structs.Request{
		ID: c.RequestId, Team: c.Team, Service: c.Service, Digest: c.Digest, Owner: c.Owner,
		RecordedAt: s.data.LogTime, Deadline: time.Duration(c.DeadlineMs) * time.Millisecond,
	}
	s.data.Requests[r.ID] = r
	s.scheduleRequest(r)
	return &Result{Granted: true}
}

// repeatRequest returns the result for a request whose id is already recorded. A
// request that ended as "not run" is granted to a different owner. It is not
// granted again to the owner that reported "not run", because that owner has
// already answered its caller.
func (s *Store) repeatRequest(r *structs.Request, c *statev1.RecordRequest) *Result {
	if !r.Withdrawn && (r.Digest != c.Digest || r.Team != c.Team || r.Service != c.Service) {
		return &Result{Refusal: fmt.Sprintf("request %s was sent before with different content", r.ID)}
	}
	if r.Outcome == structs.OutcomeNotRun && r.Owner != c.Owner {
		r.Team, r.Service, r.Digest, r.Owner, r.Withdrawn = c.Team, c.Service, c.Digest, c.Owner, false
		r.Deadline = time.Duration(c.DeadlineMs) * time.Millisecond
		r.Outcome, r.Detail = structs.OutcomeNone, ""
		r.RecordedAt = s.data.LogTime
		s.scheduleRequest(r)
		return &Result{Granted: true}
	}
	if r.Outcome == structs.OutcomeNone && r.Owner == c.Owner {
		return &Result{Granted: true, Duplicate: true}
	}
	copied := *r
	return &Result{Duplicate: true, Request: &copied}
}

// endRequest records the outcome of a request, which only its owner may do. A late
// answer replaces the outcome "outcome unknown".
func (s *Store) endRequest(c *statev1.EndRequest) *Result {
	outcome := structs.Outcome(c.Outcome)
	r := s.data.Requests[c.RequestId]
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

// withdrawRequest records "not run" for a request that has no record yet. The owner
// does this when it stops waiting for the commit of its record, so that the record
// grants nothing if it is committed later.
func (s *Store) withdrawRequest(c *statev1.EndRequest) *Result {
	if refusal := s.checkID(c.RequestId); refusal != "" {
		return &Result{Refusal: refusal}
	}
	r := &structs.Request{
		ID: c.RequestId, Owner: c.Owner, Withdrawn: true, RecordedAt: s.data.LogTime,
		Outcome: structs.OutcomeNotRun, Detail: c.Detail,
	}
	s.data.Requests[r.ID] = r
	s.scheduleRequest(r)
	return &Result{}
}
