package control

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
	"laburnumgrade/internal/timeline"
)

// recordSubmitted records the result of a submission in the time line.
func (s *Server) recordSubmitted(job *statev1.SubmitJob, result *state.Result) {
	e := timeline.Event{Kind: timeline.Recorded, Job: job.JobId, Team: job.Spec.GetTeam()}
	if result.Refusal != "" {
		e.Kind = timeline.Refused
		e.Detail = result.Refusal
	}
	if result.Duplicate {
		e.Detail = "resent"
	}
	s.events.Record(e)
}

// attemptRecorder returns the function that records committed attempts in the time
// line. Every replica applies them, but only the leader records them.
func (s *Server) attemptRecorder(g *DataCentreGroup) func(*structs.Attempt) {
	return func(a *structs.Attempt) {
		if _, leads := g.Log.Lease(); !leads {
			return
		}
		s.events.Record(timeline.Event{
			Kind: timeline.AttemptCommitted, Job: a.JobID, Task: strconv.Itoa(a.Task), Attempt: a.ID, Team: a.Team, Worker: a.WorkerID,
		})
	}
}

// recordRejectedPlacements records the placements of a plan that the state refused.
func (s *Server) recordRejectedPlacements(plan *statev1.Plan, result *state.Result) {
	for i, p := range plan.Placements {
		if r := result.Placements[i]; r.Refusal != "" {
			s.events.Record(timeline.Event{
				Kind: timeline.Planned, Job: p.JobId, Task: strconv.Itoa(int(p.Task)), Worker: p.WorkerId, Detail: "rejected: " + r.Refusal,
			})
		}
	}
}

// recordHeartbeat records the attempts that the reply starts and stops.
func (s *Server) recordHeartbeat(r *apiv1.HeartbeatRequest, reply *apiv1.HeartbeatResponse) {
	for _, a := range reply.Start {
		s.events.Record(timeline.Event{
			Kind: timeline.LeaseGranted, Job: a.JobId, Task: strconv.Itoa(int(a.Task)), Attempt: a.AttemptId, Team: a.Team, Worker: r.WorkerId,
		})
	}
	for _, id := range reply.Stop {
		s.events.Record(timeline.Event{Kind: timeline.Stopped, Attempt: id, Worker: r.WorkerId})
	}
}

// recordEnd records the end of an attempt as reported by its worker.
func (s *Server) recordEnd(worker string, e *apiv1.EndedAttempt) {
	s.events.Record(timeline.Event{
		Kind: timeline.Ended, Job: e.JobId, Task: strconv.Itoa(int(e.Task)), Attempt: e.AttemptId,
		Worker: worker, Detail: e.Outcome.String(),
	})
}

// leaderCheckInterval is how often the process checks whether the leader of a group
// has changed.
const leaderCheckInterval = 100 * time.Millisecond

// watchLeader records changes of a group's leader in the time line until the context
// ends. leader returns the id and address of the leader, empty if it is not known.
func (s *Server) watchLeader(ctx context.Context, group string, leader func() (string, string)) {
	last := ""
	every(ctx, leaderCheckInterval, func() {
		id, _ := leader()
		if id == last {
			return
		}
		last = id
		s.events.Record(timeline.Event{Kind: timeline.LeaderChanged, Peer: id, Detail: fmt.Sprintf("group %s", group)})
		s.logger.Info("leader changed", "step", "watch leader", "group", group, "peer", id)
	})
}
