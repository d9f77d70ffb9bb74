package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/follower"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/routing"
	"laburnumgrade/internal/state"
)

// Server is the service of one lg-entry process.
type Server struct {
	name        string
	dataCentre  string
	peerAddress string
	clock       port.Clock
	logger      *slog.Logger
	client      *http.Client
	groups      map[string]*peer.Group
	fleet       *peer.Group
	dataCentres []string
	follower    *follower.Follower
	routes      *routing.Table
	operator    [32]byte
	maxBody     int64
	// tries numbers the process's attempts to own a request record.
	tries    atomic.Uint64
	draining atomic.Bool
}

// Config configures a Server.
type Config struct {
	// Name of the process with its incarnation.
	Name       string
	DataCentre string
	// PeerAddress is where other entries reach this one.
	PeerAddress string
	Clock       port.Clock
	Logger      *slog.Logger
	// Controls holds the addresses of the control processes by data centre.
	Controls        map[string][]string
	OperatorKeyHash [32]byte
	// Client calls the system's own processes and the instances.
	Client *http.Client
	// MaxBody bounds one request or answer, in bytes.
	MaxBody int64
}

// New returns a server.
func New(c Config) *Server {
	s := &Server{
		name: c.Name, dataCentre: c.DataCentre, peerAddress: c.PeerAddress, clock: c.Clock, logger: c.Logger,
		client: c.Client, groups: map[string]*peer.Group{}, operator: c.OperatorKeyHash, maxBody: c.MaxBody,
	}
	var all []string
	for _, dc := range sortedKeys(c.Controls) {
		s.dataCentres = append(s.dataCentres, dc)
		all = append(all, c.Controls[dc]...)
	}
	for _, dc := range s.dataCentres {
		s.groups[dc] = peer.NewGroup(dc, s.client, ownFirst(c.Controls[dc], all))
	}
	s.fleet = peer.NewGroup("fleet", s.client, ownFirst(c.Controls[c.DataCentre], all))
	s.follower = follower.New(follower.Config{Holder: c.Name, DataCentre: c.DataCentre, Fleet: s.fleet, Clock: c.Clock, Logger: c.Logger})
	s.routes = routing.NewTable(c.Name)
	return s
}

// Public returns the handler for callers, operators and targets.
func (s *Server) Public() http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(int(s.maxBody))
	mux.Handle(apiv1connect.NewCallerServiceHandler(&callerService{s}, limit))
	mux.Handle(apiv1connect.NewOperatorServiceHandler(&operatorService{s}, limit))
	mux.Handle(apiv1connect.NewTargetServiceHandler(&targetService{s}, limit))
	return mux
}

// Peer returns the handler for the system's own processes.
func (s *Server) Peer() http.Handler {
	forward := peerv1.NewEntryServiceServer(&forwardService{s})
	mux := http.NewServeMux()
	mux.Handle(forward.PathPrefix(), forward)
	return mux
}

// Run keeps the configuration and the instances current until the context ends.
func (s *Server) Run(ctx context.Context) {
	go s.follower.Run(ctx)
	for _, dc := range s.dataCentres {
		go s.followInstances(ctx, dc)
	}
	<-ctx.Done()
}

// Drain stops the acceptance of new work.
func (s *Server) Drain() { s.draining.Store(true) }

// owner returns a new name for an attempt to own a request record.
func (s *Server) owner() string { return fmt.Sprintf("%s/%d", s.name, s.tries.Add(1)) }

// home returns the group that keeps the records of an id.
func (s *Server) home(id string) (string, *peer.Group) {
	dc := state.Home(id, s.dataCentres)
	return dc, s.groups[dc]
}

const (
	instancesInterval = 400 * time.Millisecond
	instancesTimeout  = time.Second
)

// followInstances keeps the instances of one data centre current, and renews
// this entry's slot leases if it is the entry's own data centre.
func (s *Server) followInstances(ctx context.Context, dataCentre string) {
	ticker := time.NewTicker(instancesInterval)
	defer ticker.Stop()
	for {
		s.listInstances(ctx, dataCentre)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) listInstances(ctx context.Context, dataCentre string) {
	ctx, cancel := context.WithTimeout(ctx, instancesTimeout)
	defer cancel()
	request := &peerv1.ListInstancesRequest{DataCentre: dataCentre, Entry: s.name}
	if dataCentre == s.dataCentre && !s.draining.Load() {
		request.EntryAddress = s.peerAddress
	}
	var asked time.Duration
	reply, err := peer.Call(ctx, s.groups[dataCentre], func(ctx context.Context, c *http.Client, url string) (*peerv1.ListInstancesResponse, error) {
		asked = s.clock.Now()
		return peerv1.NewDataCentreServiceProtobufClient(url, c).ListInstances(ctx, request)
	})
	if err != nil {
		s.logger.Warn("instances not listed", "step", "list instances", "peer", dataCentre, "error", err)
		return
	}
	s.routes.Update(dataCentre, reply.Instances, asked, time.Duration(reply.LeaseMs)*time.Millisecond)
}
