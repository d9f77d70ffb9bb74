package control

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/twitchtv/twirp"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/follower"
	"laburnumgrade/internal/port"
)

// Server is the service of one lg-control process.
type Server struct {
	name       string
	dataCentre string
	clock      port.Clock
	logger     *slog.Logger
	groups     map[string]*DataCentreGroup
	fleet      *FleetGroup
	follower   *follower.Follower
	fleetCalls *peer.Group
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
	// Groups holds the data centre groups the process has replicas of.
	Groups []*DataCentreGroup
	// Fleet is nil if the process has no replica of the fleet group.
	Fleet *FleetGroup
	// FleetCalls reaches the fleet group's leader.
	FleetCalls  *peer.Group
	DataCentres []string
}

// New returns a server.
func New(c Config) *Server {
	s := &Server{
		name: c.Name, dataCentre: c.DataCentre, clock: c.Clock, logger: c.Logger,
		groups: map[string]*DataCentreGroup{}, fleet: c.Fleet, fleetCalls: c.FleetCalls, dataCentres: c.DataCentres,
	}
	for _, g := range c.Groups {
		s.groups[g.Name] = g
	}
	s.follower = follower.New(follower.Config{
		Holder: c.Name, DataCentre: c.DataCentre, Fleet: c.FleetCalls, Clock: c.Clock, Logger: c.Logger, Demand: s.demand,
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
	return mux
}

// Run does the leaders' periodic work until the context ends.
func (s *Server) Run(ctx context.Context) {
	go s.follower.Run(ctx)
	for _, g := range s.groups {
		go s.schedule(ctx, g)
		go s.expire(ctx, g)
		go s.exchangeAllotments(ctx, g)
	}
	if s.fleet != nil {
		go s.divideLimits(ctx)
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
	for _, g := range s.groups {
		id, _ := g.Log.Leader()
		r.Groups = append(r.Groups, &apiv1.GroupStatus{Group: g.Name, Leader: id})
		if _, valid := g.Log.Lease(); valid {
			s.addTeams(r, g)
			r.Workers += int64(len(g.Store.WorkerIDs()))
			r.Instances += int64(len(g.Store.Instances()))
		}
	}
	if s.fleet != nil {
		id, _ := s.fleet.Log.Leader()
		r.Groups = append(r.Groups, &apiv1.GroupStatus{Group: "fleet", Leader: id})
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
