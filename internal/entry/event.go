package entry

import (
	"fmt"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/routing"
	"laburnumgrade/internal/timeline"
)

// addControls adds the addresses of control processes that are not in the settings.
func (s *Server) addControls(controls []*apiv1.Member) {
	var hosts []string
	for _, m := range controls {
		hosts = append(hosts, m.Address)
	}
	s.fleetGroup.AddAddresses(hosts)
	for _, g := range s.dataCentreGroups {
		g.AddAddresses(hosts)
	}
}

func (s *Server) recordConfig(index uint64) {
	s.events.Record(timeline.Event{Kind: timeline.ConfigApplied, Detail: fmt.Sprintf("index %d", index)})
}

func (s *Server) recordSubmission(m *apiv1.SubmitJobRequest, err error) {
	e := timeline.Event{Kind: timeline.Admitted, Job: m.JobId, Team: m.Team}
	if err != nil {
		e.Kind = timeline.Refused
		e.Detail = err.Error()
	}
	s.events.Record(e)
}

func (s *Server) recordJobAnswer(j *apiv1.Job) {
	if j.State == apiv1.JobState_JOB_STATE_ENDED {
		s.events.Record(timeline.Event{Kind: timeline.Answered, Job: j.JobId, Team: j.Team, Detail: j.Outcome.String()})
	}
}

func (s *Server) recordRouted(m *apiv1.CallRequest, g routing.Grant, number int32) {
	e := timeline.Event{Kind: timeline.Routed, Request: m.RequestId, Attempt: uint64(number), Team: m.Team, Worker: g.InstanceID}
	if !g.Local {
		s.metrics.forwarded.Inc(1)
		e.Kind = timeline.Forwarded
		e.Peer = g.Entry
	}
	s.events.Record(e)
}

func (s *Server) recordAnswer(m *apiv1.CallRequest, r *apiv1.CallResponse) {
	e := timeline.Event{Kind: timeline.Answered, Request: m.RequestId, Attempt: uint64(r.Attempt), Team: m.Team, Worker: r.InstanceId, Detail: r.Detail}
	switch r.Outcome {
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		e.Kind = timeline.Refused
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		e.Kind = timeline.OutcomeUnknown
	}
	s.events.Record(e)
}
