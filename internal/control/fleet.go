package control

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/structs"
)

// FleetServer serves FleetService.
type FleetServer struct{ server *Server }

// Propose commits a command of the fleet group, which is an operator's change or the
// return of an allotment by the leader of a data centre group.
func (f *FleetServer) Propose(ctx context.Context, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	g, err := f.group()
	if err != nil {
		return nil, err
	}
	if _, err := leadershipSince("fleet", g.Log); err != nil {
		return nil, err
	}
	result, err := g.propose(ctx, r.Command)
	if err != nil {
		return nil, err
	}
	return &peerv1.ProposeResponse{Result: result}, nil
}

// RenewConfig renews the configuration lease of a process, the holder, and returns the
// changes since the index that the holder has applied. It records the holder before it
// reads the changes, so a change that is missing from the reply counts as outstanding
// until the holder applies it.
func (f *FleetServer) RenewConfig(_ context.Context, r *peerv1.RenewConfigRequest) (*peerv1.RenewConfigResponse, error) {
	g, err := f.group()
	if err != nil {
		return nil, err
	}
	if _, err := leadershipSince("fleet", g.Log); err != nil {
		return nil, err
	}
	g.configLeases.Renew(r.Holder, r.DataCentre, r.AppliedIndex, f.server.clock.Now())
	g.demand.set(r.DataCentre, r.Demand)
	g.members.record(r.Member, f.server.clock.Now())
	index, changes, full := g.Store.ChangesSince(r.AppliedIndex)
	if _, err := leadershipSince("fleet", g.Log); err != nil {
		return nil, err
	}
	return &peerv1.RenewConfigResponse{
		LeaseMs: lease.ConfigDuration.Milliseconds(), Index: index, Changes: changes, Full: full,
		Controls: g.members.liveControls(f.server.clock.Now()),
	}, nil
}

// GetChange reports whether a change is in force in all processes, which means that
// no process may still serve under an earlier configuration.
func (f *FleetServer) GetChange(_ context.Context, r *apiv1.GetChangeRequest) (*apiv1.Change, error) {
	g, err := f.group()
	if err != nil {
		return nil, err
	}
	since, err := leadershipSince("fleet", g.Log)
	if err != nil {
		return nil, err
	}
	if r.Index > g.Store.Index() {
		return nil, twirp.NotFoundError("no change has this index")
	}
	grace := func(from uint64) time.Duration { return g.Store.Grace(r.Index, from) }
	outstanding := g.configLeases.Outstanding(r.Index, grace, since, f.server.clock.Now())
	if _, err := leadershipSince("fleet", g.Log); err != nil {
		return nil, err
	}
	return &apiv1.Change{Index: r.Index, InForce: len(outstanding) == 0, Outstanding: outstanding}, nil
}

func (f *FleetServer) group() (*FleetGroup, error) {
	if f.server.fleet == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this process holds no replica of the fleet group")
	}
	return f.server.fleet, nil
}

// teamDemand is the resources of a team's running and waiting tasks in a data centre.
type teamDemand struct {
	Running, Waiting, Allotment structs.Resources
	// Grant is the number of the last grant that the data centre has applied.
	Grant uint64
}

// demandTable holds the latest demand that the leader of each data centre group has
// reported. It is not replicated.
type demandTable struct {
	mu sync.Mutex
	// byTeam holds the demand by team and data centre.
	byTeam map[string]map[string]teamDemand
}

func newDemandTable() *demandTable {
	return &demandTable{byTeam: map[string]map[string]teamDemand{}}
}

func (t *demandTable) set(dataCentre string, demand []*peerv1.TeamDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range demand {
		if t.byTeam[d.Team] == nil {
			t.byTeam[d.Team] = map[string]teamDemand{}
		}
		t.byTeam[d.Team][dataCentre] = teamDemand{
			Running:   structs.ResourcesFromProto(d.Running),
			Waiting:   structs.ResourcesFromProto(d.Waiting),
			Allotment: structs.ResourcesFromProto(d.Allotment),
			Grant:     d.Grant,
		}
	}
}

// get returns the latest reported demand, zero if there is none.
func (t *demandTable) get(team, dataCentre string) teamDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byTeam[team][dataCentre]
}

// proposalTimeout bounds each round of proposals of the leaders' periodic work.
const proposalTimeout = 2 * time.Second
