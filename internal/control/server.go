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
	// wallClock returns the time to which the leader advances the log time.
	wallClock  func() time.Time
	logger     *slog.Logger
	groups     map[string]*DataCentreGroup
	fleet      *FleetGroup
	follower   *follower.Follower
	documents  documentCache
	fleetPeers *peer.GroupClient
	events     *timeline.Ring
	metrics    *metrics
	// hostedGroups holds the groups of which the process hosts replicas, by name.
	hostedGroups map[string]*HostedGroup
	// dataCentres lists all data centres of the cell.
	dataCentres []string
}

// Config configures a Server.
type Config struct {
	// Name is the name of the process with its incarnation.
	Name       string
	DataCentre string
	Clock      port.Clock
	Logger     *slog.Logger
	// Timeline receives events; may be nil.
	Timeline *timeline.Ring
	// Scope receives metrics; may be nil.
	Scope tally.Scope
	// Member is the entry of the process in the list of members.
	Member *apiv1.Member
	// OnControls is called with the control processes that are not dead, at each renewal of
	// the configuration lease; may be nil.
	OnControls func([]*apiv1.Member)
	// Groups holds the data centre groups of which the process hosts replicas.
	Groups []*DataCentreGroup
	// Fleet is nil if the process hosts no replica of the fleet group.
	Fleet *FleetGroup
	// HostedGroups are the groups of all kinds of which the process hosts replicas.
	HostedGroups []*HostedGroup
	// FleetPeers sends calls to the fleet group's leader.
	FleetPeers *peer.GroupClient
	// DataCentres lists all data centres of the cell.
	DataCentres []string
	// Scheduler holds the options of the data centre groups' schedulers.
	Scheduler scheduler.Options
}

// New returns a server.
func New(c Config) *Server {
	s := &Server{
		name: c.Name, dataCentre: c.DataCentre, clock: c.Clock, wallClock: time.Now, logger: c.Logger,
		groups: map[string]*DataCentreGroup{}, hostedGroups: map[string]*HostedGroup{}, fleet: c.Fleet, fleetPeers: c.FleetPeers,
		events: c.Timeline, metrics: newMetrics(c.Scope), dataCentres: c.DataCentres,
	}
	for _, g := range c.Groups {
		s.groups[g.Name] = g
		g.metrics = s.metrics
		g.observer.onCommitted = s.attemptRecorder(g)
		g.mirror = newMirror(g, c.Scheduler, c.Clock.Now)
	}
	for _, m := range c.HostedGroups {
		s.hostedGroups[m.Group] = m
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

// Run renews the configuration lease and runs the periodic work of the groups until the
// context ends.
func (s *Server) Run(ctx context.Context) {
	go s.follower.Run(ctx)
	go s.updateGauges(ctx)
	for _, g := range s.groups {
		go s.schedule(ctx, g)
		go s.expire(ctx, g)
		go s.reconcileAllotments(ctx, g)
		go s.runServices(ctx, g)
		go s.watchLeader(ctx, g.Name, g.Log.Leader)
	}
	for _, m := range s.hostedGroups {
		go s.announceReplica(ctx, m)
		go s.repairMembership(ctx, m)
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

// status returns the state of the groups of which this process hosts replicas; the teams,
// workers and instances only of those that it leads.
func (s *Server) status() *apiv1.StatusResponse {
	r := &apiv1.StatusResponse{ConfigIndex: s.follower.Store().Index()}
	for _, m := range s.hostedGroups {
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

// addTeams adds the teams of the group to the status.
func (s *Server) addTeams(r *apiv1.StatusResponse, g *DataCentreGroup) {
	for _, t := range g.Store.Teams() {
		r.Teams = append(r.Teams, &apiv1.TeamStatus{
			Team: t.Name, Running: t.Running.Proto(), Limit: t.Allotment.Proto(),
			WaitingTasks: int64(t.WaitingTasks), RunningTasks: int64(t.RunningTasks),
		})
	}
}
