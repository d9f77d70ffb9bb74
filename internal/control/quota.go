package control

import (
	"context"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/fleet"
	"laburnumgrade/internal/structs"
)

// quotaInterval is how often limits are divided and grants are taken.
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
		list = append(list, &peerv1.TeamDemand{Team: t.Name, Running: t.Running.Proto(), Waiting: t.Waiting.Proto(), Allotment: t.Allotment.Proto()})
	}
	return list
}

// takeGrants commits the grants of the fleet group that the data centre group
// has not taken, while this process leads the group.
func (s *Server) takeGrants(ctx context.Context, g *DataCentreGroup) {
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, valid := g.Log.Lease(); valid {
			s.takeGrantsOnce(ctx, g)
		}
	}
}

func (s *Server) takeGrantsOnce(ctx context.Context, g *DataCentreGroup) {
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	seen := map[string]bool{}
	for _, d := range s.follower.Store().Documents() {
		if seen[d.Team] {
			continue
		}
		seen[d.Team] = true
		a := s.follower.Store().Allotment(d.Team, g.Name)
		for n := g.Store.Team(d.Team).Grant; n < a.Grant; n++ {
			s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_TakeAllotment{TakeAllotment: &statev1.TakeAllotment{
				Team: d.Team, Grant: n + 1, Amount: fleet.GrantAmount(a, n+1),
			}}})
		}
	}
}

// divideLimits grants each team's limit to the data centres in equal parts,
// while this process leads the fleet group.
func (s *Server) divideLimits(ctx context.Context) {
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, valid := s.fleet.Log.Lease(); valid {
			s.divideOnce(ctx)
		}
	}
}

func (s *Server) divideOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	seen := map[string]bool{}
	for _, d := range s.fleet.Store.Documents() {
		if seen[d.Team] {
			continue
		}
		seen[d.Team] = true
		limit, _ := s.fleet.Store.Limit(d.Team)
		n := int64(len(s.dataCentres))
		part := structs.Resources{MilliCPU: limit.MilliCPU / n, MemoryBytes: limit.MemoryBytes / n, Accelerators: limit.Accelerators / n}
		for _, dc := range s.dataCentres {
			s.grant(ctx, d.Team, dc, part)
		}
	}
}

func (s *Server) grant(ctx context.Context, team, dataCentre string, part structs.Resources) {
	a := s.fleet.Store.Allotment(team, dataCentre)
	missing := part.Sub(structs.ResourcesFromProto(a.Granted)).Max(structs.Resources{})
	if missing.IsZero() {
		return
	}
	command := &statev1.FleetCommand{
		Command: &statev1.FleetCommand_GrantAllotment{GrantAllotment: &statev1.GrantAllotment{
			Team: team, DataCentre: dataCentre, Amount: missing.Proto(), Grant: a.Grant + 1,
		}},
	}
	if _, err := s.fleet.propose(ctx, command); err != nil {
		s.logger.Warn("grant of allotment failed", "step", "divide limits", "peer", dataCentre, "team", team, "error", err)
	}
}
