package state

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

const (
	// Retention is how long ids of jobs and requests are remembered, counted
	// in log time from the time embedded in the id.
	Retention = 24 * time.Hour
	// maxAhead is how far an id's embedded time may be ahead of the log time.
	maxAhead = 5 * time.Minute
	// answerGrace is the time after a request's deadline at which a record
	// without an answer becomes "outcome unknown".
	answerGrace = 5 * time.Second
)

// Refusals that tell an id that is too old from other refusals.
const refusalExpired = "outcome unknown: the id is older than the records"

// idTime returns the time embedded in a UUIDv7, in ms since the Unix epoch. An
// id may carry a data centre after a dot.
func idTime(id string) (int64, error) {
	u, err := uuid.Parse(id[:min(36, len(id))])
	if err != nil {
		return 0, err
	}
	if u.Version() != 7 {
		return 0, fmt.Errorf("id has version %d", u.Version())
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
	if ms < s.d.LogTime-Retention.Milliseconds() {
		return refusalExpired
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
	return &Result{Granted: true}
}

func (s *Store) repeatRequest(r *structs.Request, c *statev1.RecordRequest) *Result {
	if r.Digest != c.Digest {
		return &Result{Refusal: fmt.Sprintf("request %s was sent before with different content", r.ID)}
	}
	if r.Outcome == structs.OutcomeNotRun {
		r.Owner = c.Owner
		r.Outcome = structs.OutcomeNone
		r.RecordedAt = s.d.LogTime
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
	r := s.d.Requests[c.RequestId]
	if r == nil {
		return &Result{Refusal: fmt.Sprintf("request %s is not recorded", c.RequestId)}
	}
	if r.Owner != c.Owner {
		return &Result{Refusal: fmt.Sprintf("request %s is owned by %s", r.ID, r.Owner)}
	}
	final := r.Outcome == structs.OutcomeOK || r.Outcome == structs.OutcomeFailed || r.Outcome == structs.OutcomeNotRun
	if final {
		return &Result{Duplicate: true}
	}
	r.Outcome = structs.Outcome(c.Outcome)
	r.Body = c.Body
	r.Detail = c.Detail
	return &Result{}
}

// advanceTime moves the log time, ends records without an answer and forgets
// records that are older than the retention.
func (s *Store) advanceTime(c *statev1.AdvanceTime) *Result {
	if c.UnixMs <= s.d.LogTime {
		return &Result{Duplicate: true}
	}
	s.d.LogTime = c.UnixMs
	for id, r := range s.d.Requests {
		s.ageRequest(id, r)
	}
	for id, j := range s.d.Jobs {
		if !j.Ended() {
			continue
		}
		if ms, err := idTime(id); err == nil && ms < s.d.LogTime-Retention.Milliseconds() {
			delete(s.d.Jobs, id)
		}
	}
	return &Result{}
}

func (s *Store) ageRequest(id string, r *structs.Request) {
	waited := time.Duration(s.d.LogTime-r.RecordedAt) * time.Millisecond
	if r.Outcome == structs.OutcomeNone && waited > r.Deadline+answerGrace {
		r.Outcome = structs.OutcomeUnknown
		r.Detail = "no answer was recorded within the deadline"
	}
	ms, err := idTime(id)
	if err == nil && ms < s.d.LogTime-Retention.Milliseconds() && r.Outcome != structs.OutcomeNone {
		delete(s.d.Requests, id)
	}
}
