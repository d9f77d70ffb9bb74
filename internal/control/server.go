package control

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/follower"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/timeline"
)

// Server is the service of one lg-control process.
type Server struct {
	name       string
	dataCentre string
	clock      port.Clock
	// wall is the wall clock, which moves the log time.
	wall       func() time.Time
	logger     *slog.Logger
	groups     map[string]*DataCentreGroup
	fleet      *FleetGroup
	follower   *follower.Follower
	documents  documentCache
	fleetCalls *peer.Group
	events     *timeline.Ring
	meter      *meter
	// members holds the process's replicas by group.
	members map[string]*HostedGroup
	// dataCentres lists all data centres of the cell.
	dataCentres []string
}

// Config configures a Server.
type Config struct {
	// Name of the process with its incarnation.
	Name       string
	DataCentre string
	Clock      port.Clock
	Logger     *slog.Logger
	// Timeline receives events; may be nil.
	Timeline *timeline.Ring
	// Scope receives metrics; may be nil.
	Scope tally.Scope
	// Member is what the process states of itself.
	Member *apiv1.Member
	// OnControls is called with the live control processes; may be nil.
	OnControls func([]*apiv1.Member)
	// Groups holds the data centre groups the process has replicas of.
	Groups []*DataCentreGroup
	// Fleet is nil if the process has no replica of the fleet group.
	Fleet *FleetGroup
	// HostedGroups are the replicas of all groups of the process.
	HostedGroups []*HostedGroup
	// FleetPeers reaches the fleet group's leader.
	FleetPeers  *peer.Group
	DataCentres []string
	// Scheduler is the policy of the data centre groups.
	Scheduler scheduler.Options
}

// New returns a server.
func New(c Config) *Server {
	s := &Server{
		name: c.Name, dataCentre: c.DataCentre, clock: c.Clock, wall: time.Now, logger: c.Logger,
		groups: map[string]*DataCentreGroup{}, members: map[string]*HostedGroup{}, fleet: c.Fleet, fleetCalls: c.FleetPeers,
		events: c.Timeline, meter: newMeter(c.Scope), dataCentres: c.DataCentres,
	}
	for _, g := range c.Groups {
		s.groups[g.Name] = g
		g.meter = s.meter
		g.observer.committed = s.recordCommitted(g)
		g.mirror = newMirror(g, c.Scheduler, c.Clock.Now)
	}
	for _, m := range c.HostedGroups {
		s.members[m.Group] = m
	}
	s.follower = follower.New(follower.Config{
		Holder: c.Name, DataCentre: c.DataCentre, FleetPeers: c.FleetPeers, Clock: c.Clock, Logger: c.Logger, Demand: s.demand,
		Member: c.Member, OnControls: c.OnControls,
		OnApplied: func(index uint64) {
			s.events.Record(timeline.Event{Kind: timeline.ConfigApplied, Detail: fmt.Sprintf("index %d", index)})
		},
	})
	return s
}

// Handler returns the HTTP handler of the twirp services.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	fleetServer := peerv1.NewFleetServiceServer(&FleetServer{s})
	mux.Handle(fleetServer.PathPrefix(), fleetServer)
	dataCentreServer := peerv1.NewDataCentreServiceServer(&DataCentreServer{s})
	mux.Handle(dataCentreServer.PathPrefix(), dataCentreServer)
	groupServer := peerv1.NewGroupServiceServer(&GroupServer{s})
	mux.Handle(groupServer.PathPrefix(), groupServer)
	return mux
}

// Run does the leaders' periodic work until the context ends.
func (s *Server) Run(ctx context.Context) {
	go s.follower.Run(ctx)
	go s.gauges(ctx)
	for _, g := range s.groups {
		go s.schedule(ctx, g)
		go s.expire(ctx, g)
		go s.exchangeAllotments(ctx, g)
		go s.runServices(ctx, g)
		go s.watchLeader(ctx, g.Name, g.Log.Leader)
	}
	for _, m := range s.members {
		go s.announce(ctx, m)
		go s.repair(ctx, m)
	}
	if s.fleet != nil {
		go s.divideLimits(ctx)
		go s.watchLeader(ctx, "fleet", s.fleet.Log.Leader)
	}
	<-ctx.Done()
}

// group returns the replica of a data centre's group.
func (s *Server) group(dataCentre string) (*DataCentreGroup, error) {
	g := s.groups[dataCentre]
	if g == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this process holds no replica of the group of data centre "+dataCentre)
	}
	return g, nil
}

// Status returns the state of the groups as this process sees it.
func (s *Server) status() *apiv1.StatusResponse {
	r := &apiv1.StatusResponse{ConfigIndex: s.follower.Store().Index()}
	for _, m := range s.members {
		r.Groups = append(r.Groups, m.status())
	}
	for _, g := range s.groups {
		if _, valid := g.Log.Lease(); valid {
			s.addTeams(r, g)
			r.Workers += int64(len(g.Store.WorkerIDs()))
			r.Instances += int64(len(g.Store.Instances()))
		}
	}
	return r
}

func (s *Server) addTeams(r *apiv1.StatusResponse, g *DataCentreGroup) {
	for _, t := range g.Store.Teams() {
		r.Teams = append(r.Teams, &apiv1.TeamStatus{
			Team: t.Name, Running: t.Running.Proto(), Limit: t.Allotment.Proto(),
			WaitingTasks: int64(t.WaitingTasks), RunningTasks: int64(t.RunningTasks),
		})
	}
}
