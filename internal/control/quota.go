package control

import (
	"context"
	"net/http"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/quota"
	"laburnumgrade/internal/structs"
)

// quotaInterval is how often the fleet group's leader divides the limits of the teams,
// and how often the leader of a data centre group reconciles its allotments with them.
const quotaInterval = 300 * time.Millisecond

// demand returns the resources that each team uses and waits for in the process's own
// data centre, or nil if the process does not lead the group of that data centre. The
// follower sends it to the fleet group's leader with each renewal of the configuration
// lease.
func (s *Server) demand() []*peerv1.TeamDemand {
	g := s.groups[s.dataCentre]
	if g == nil {
		return nil
	}
	if _, valid := g.Log.Lease(); !valid {
		return nil
	}
	var list []*peerv1.TeamDemand
	for _, t := range g.Store.Teams() {
		list = append(list, &peerv1.TeamDemand{Team: t.Name, Running: t.Running.Proto(), Waiting: t.Waiting.Proto(), Allotment: t.Allotment.Proto(), Grant: t.Grant})
	}
	return list
}

// reconcileAllotments brings the allotments in the data centre group in line with those
// in the fleet group while this process leads the data centre group: it applies the fleet
// group's grants and return requests, and returns to it what attempts have released. It
// also frees workers that have more committed to them than their capacity.
func (s *Server) reconcileAllotments(ctx context.Context, g *DataCentreGroup) {
	whileLeading(ctx, g.Log, quotaInterval, func(time.Duration) {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		for _, team := range teamsOf(s.follower.Store().Documents()) {
			s.reconcileTeamAllotment(ctx, g, team)
		}
		s.shedOverload(ctx, g)
	})
}

// reconcileTeamAllotment reconciles the allotment of one team with the process's copy of
// the fleet group's state, which may be out of date. Grants and returns are numbered, so
// that a repeated or delayed command has no further effect.
func (s *Server) reconcileTeamAllotment(ctx context.Context, g *DataCentreGroup, team string) {
	allotment := s.follower.Store().Allotment(team, g.Name)
	for _, c := range quota.Reconcile(g.Store, team, allotment) {
		s.proposeAndLog(ctx, g, c)
	}
	for _, t := range g.Store.ReturnableTransfers(team) {
		if t.Number <= allotment.Transfer {
			continue
		}
		s.sendFleetCommand(ctx, "return allotment", &statev1.FleetCommand{Command: &statev1.FleetCommand_ReturnAllotment{ReturnAllotment: &statev1.ReturnAllotment{
			DataCentre: g.Name, Team: team, Transfer: t.Number, Amount: t.Amount.Proto(),
		}}})
	}
}

// shedOverload reduces the work on workers whose capacity has fallen below what is
// committed to them, until the rest fits. It first throttles attempts whose documents
// allow it; if that frees too little, it also preempts attempts.
func (s *Server) shedOverload(ctx context.Context, g *DataCentreGroup) {
	for _, id := range g.Store.WorkerIDs() {
		w, ok := g.Store.Worker(id)
		if !ok || w.Lost || w.Committed.Fits(w.Capacity) {
			continue
		}
		reason := "worker " + id + " has less capacity than is committed"
		excess := w.Committed.Sub(w.Capacity).Max(structs.Resources{})
		candidates := g.Store.WorkerAttempts(id)
		attempts, rest := quota.SelectForThrottling(candidates, excess, reason)
		attempts = append(attempts, quota.SelectForShedding(quota.NotThrottleable(candidates), rest, reason)...)
		if len(attempts) > 0 {
			s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ShedAttempts{ShedAttempts: &statev1.ShedAttempts{Attempts: attempts}}})
		}
	}
}

// sendFleetCommand sends a command to the fleet group's leader, which is usually another
// process. An error is logged; the caller sends the command again at its next interval.
func (s *Server) sendFleetCommand(ctx context.Context, step string, c *statev1.FleetCommand) {
	_, err := peer.Call(ctx, s.fleetPeers, func(ctx context.Context, hc *http.Client, url string) (*peerv1.ProposeResponse, error) {
		return peerv1.NewFleetServiceProtobufClient(url, hc).Propose(ctx, &peerv1.ProposeRequest{Command: c})
	})
	if err != nil {
		s.logger.Warn("fleet command failed", "step", step, "error", err)
	}
}

// divideLimits divides each team's limit over the data centres by demand while this
// process leads the fleet group.
func (s *Server) divideLimits(ctx context.Context) {
	whileLeading(ctx, s.fleet.Log, quotaInterval, func(time.Duration) {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		for _, team := range teamsOf(s.fleet.Store.Documents()) {
			s.divideTeamLimit(ctx, team)
		}
	})
}

// divideTeamLimit divides the limit of one team, and confirms the grants that the data
// centres report as applied.
func (s *Server) divideTeamLimit(ctx context.Context, team string) {
	limit, _ := s.fleet.Store.Limit(team)
	var usages []quota.Usage
	for _, dc := range s.dataCentres {
		d := s.fleet.demand.get(team, dc)
		a := s.fleet.Store.Allotment(team, dc)
		usages = append(usages, quota.Usage{DataCentre: dc, Running: d.Running, Waiting: d.Waiting, Granted: structs.ResourcesFromProto(a.Granted)})
		if a.Grant > 0 && len(a.Grants) > 0 {
			s.confirmGrants(ctx, a, d.Grant)
		}
	}
	for _, adjustment := range quota.Divide(limit, usages) {
		s.applyAdjustment(ctx, team, &adjustment)
	}
}

// applyAdjustment commits the grant in an adjustment, and its request that the data centre
// return part of the allotment. A request equal to the current one is not committed again,
// because each command costs a log entry and a change that every process applies to its
// copy of the configuration.
func (s *Server) applyAdjustment(ctx context.Context, team string, adjustment *quota.Adjustment) {
	a := s.fleet.Store.Allotment(team, adjustment.DataCentre)
	requested := a.Wanted != nil && structs.ResourcesFromProto(a.Wanted) == adjustment.Wanted && a.Shed == adjustment.Shed
	if (adjustment.Return || adjustment.Shed) && !requested {
		s.proposeAsFleetLeader(ctx, "ask for allotment", &statev1.FleetCommand{Command: &statev1.FleetCommand_WantAllotment{WantAllotment: &statev1.WantAllotment{
			DataCentre: adjustment.DataCentre, Team: team, Amount: adjustment.Wanted.Proto(), Shed: adjustment.Shed,
		}}})
	}
	if adjustment.Grant.IsZero() {
		return
	}
	s.proposeAsFleetLeader(ctx, "grant allotment", &statev1.FleetCommand{Command: &statev1.FleetCommand_GrantAllotment{GrantAllotment: &statev1.GrantAllotment{
		DataCentre: adjustment.DataCentre, Team: team, Amount: adjustment.Grant.Proto(), Grant: a.Grant + 1,
	}}})
}

// confirmGrants commits that the data centre has applied all grants up to the number
// applied, so that the state can delete their amounts. It does nothing if these grants are
// already confirmed.
func (s *Server) confirmGrants(ctx context.Context, a *statev1.Allotment, applied uint64) {
	if confirmed := a.Grant - uint64(len(a.Grants)); applied <= confirmed {
		return
	}
	s.proposeAsFleetLeader(ctx, "confirm grants", &statev1.FleetCommand{Command: &statev1.FleetCommand_ConfirmGrants{ConfirmGrants: &statev1.ConfirmGrants{
		DataCentre: a.DataCentre, Team: a.Team, Taken: applied,
	}}})
}

// proposeAsFleetLeader proposes a command in the fleet group that this process leads and
// logs errors and refusals.
func (s *Server) proposeAsFleetLeader(ctx context.Context, step string, c *statev1.FleetCommand) {
	result, err := s.fleet.propose(ctx, c)
	if err != nil {
		s.logger.Warn("fleet command failed", "step", step, "error", err)
		return
	}
	if result.Refusal != "" {
		s.logger.Warn("fleet command refused", "step", step, "reason", result.Refusal)
	}
}

// teamsOf returns the teams of the documents, which are sorted by team.
func teamsOf(documents []*statev1.Document) []string {
	var list []string
	for _, d := range documents {
		if len(list) == 0 || list[len(list)-1] != d.Team {
			list = append(list, d.Team)
		}
	}
	return list
}
