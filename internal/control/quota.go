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

// quotaInterval is how often limits are divided and allotments transferred.
const quotaInterval = 300 * time.Millisecond

// demand reports what each team runs and waits for in the groups led here.
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

// exchangeAllotments follows the teams' allotments in the fleet group, and
// returns what was given up, while this process leads the group.
func (s *Server) exchangeAllotments(ctx context.Context, g *DataCentreGroup) {
	whileLeading(ctx, g.Log, quotaInterval, func(time.Duration) {
		ctx, cancel := context.WithTimeout(ctx, opTimeout)
		defer cancel()
		for _, team := range teams(s.follower.Store().Documents()) {
			s.exchangeOnce(ctx, g, team)
		}
		s.shedOverload(ctx, g)
	})
}

func (s *Server) exchangeOnce(ctx context.Context, g *DataCentreGroup, team string) {
	seen := s.follower.Store().Allotment(team, g.Name)
	for _, c := range quota.Reconcile(g.Store, team, seen) {
		s.try(ctx, g, c)
	}
	for _, t := range g.Store.ReturnableTransfers(team) {
		if t.Number <= seen.Transfer {
			continue
		}
		s.proposeFleet(ctx, "return allotment", &statev1.FleetCommand{Command: &statev1.FleetCommand_ReturnAllotment{ReturnAllotment: &statev1.ReturnAllotment{
			DataCentre: g.Name, Team: team, Transfer: t.Number, Amount: t.Amount.Proto(),
		}}})
	}
}

// shedOverload asks workers whose capacity fell below what is committed to give
// the difference back, first by throttling where documents allow it.
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
			s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ShedAttempts{ShedAttempts: &statev1.ShedAttempts{Attempts: attempts}}})
		}
	}
}

// proposeFleet sends a command of the system's own to the fleet group's leader.
func (s *Server) proposeFleet(ctx context.Context, step string, c *statev1.FleetCommand) {
	_, err := peer.Call(ctx, s.fleetCalls, func(ctx context.Context, hc *http.Client, url string) (*peerv1.ProposeResponse, error) {
		return peerv1.NewFleetServiceProtobufClient(url, hc).Propose(ctx, &peerv1.ProposeRequest{Command: c})
	})
	if err != nil {
		s.logger.Warn("fleet command failed", "step", step, "error", err)
	}
}

// divideLimits divides each team's limit by demand while this process leads the
// fleet group.
func (s *Server) divideLimits(ctx context.Context) {
	whileLeading(ctx, s.fleet.Log, quotaInterval, func(time.Duration) {
		ctx, cancel := context.WithTimeout(ctx, opTimeout)
		defer cancel()
		for _, team := range teams(s.fleet.Store.Documents()) {
			s.divideOnce(ctx, team)
		}
	})
}

func (s *Server) divideOnce(ctx context.Context, team string) {
	limit, _ := s.fleet.Store.Limit(team)
	var sites []quota.Usage
	for _, dc := range s.dataCentres {
		d := s.fleet.demand.get(team, dc)
		a := s.fleet.Store.Allotment(team, dc)
		sites = append(sites, quota.Usage{DataCentre: dc, Running: d.Running, Waiting: d.Waiting, Granted: structs.ResourcesFromProto(a.Granted)})
		if a.Grant > 0 && len(a.Grants) > 0 {
			s.confirmGrants(ctx, a, d.Grant)
		}
	}
	for _, share := range quota.Divide(limit, sites) {
		s.applyShare(ctx, team, &share)
	}
}

// applyShare asks for a return only if it changes what was asked for, since each
// command is a log entry and a change that every process follows.
func (s *Server) applyShare(ctx context.Context, team string, share *quota.Adjustment) {
	a := s.fleet.Store.Allotment(team, share.DataCentre)
	asked := a.Wanted != nil && structs.ResourcesFromProto(a.Wanted) == share.Wanted && a.Shed == share.Shed
	if (share.Return || share.Shed) && !asked {
		s.proposeOwn(ctx, "ask for allotment", &statev1.FleetCommand{Command: &statev1.FleetCommand_WantAllotment{WantAllotment: &statev1.WantAllotment{
			DataCentre: share.DataCentre, Team: team, Amount: share.Wanted.Proto(), Shed: share.Shed,
		}}})
	}
	if share.Grant.IsZero() {
		return
	}
	s.proposeOwn(ctx, "grant allotment", &statev1.FleetCommand{Command: &statev1.FleetCommand_GrantAllotment{GrantAllotment: &statev1.GrantAllotment{
		DataCentre: share.DataCentre, Team: team, Amount: share.Grant.Proto(), Grant: a.Grant + 1,
	}}})
}

func (s *Server) confirmGrants(ctx context.Context, a *statev1.Allotment, taken uint64) {
	if kept := a.Grant - uint64(len(a.Grants)); taken <= kept {
		return
	}
	s.proposeOwn(ctx, "confirm grants", &statev1.FleetCommand{Command: &statev1.FleetCommand_ConfirmGrants{ConfirmGrants: &statev1.ConfirmGrants{
		DataCentre: a.DataCentre, Team: a.Team, Taken: taken,
	}}})
}

// proposeOwn commits a command in the fleet group that this process leads.
func (s *Server) proposeOwn(ctx context.Context, step string, c *statev1.FleetCommand) {
	result, err := s.fleet.propose(ctx, c)
	if err != nil {
		s.logger.Warn("fleet command failed", "step", step, "error", err)
		return
	}
	if result.Refusal != "" {
		s.logger.Warn("fleet command refused", "step", step, "reason", result.Refusal)
	}
}

// teams returns the teams of the documents, which are ordered by team.
func teams(documents []*statev1.Document) []string {
	var list []string
	for _, d := range documents {
		if len(list) == 0 || list[len(list)-1] != d.Team {
			list = append(list, d.Team)
		}
	}
	return list
}
