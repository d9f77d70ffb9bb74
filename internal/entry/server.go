package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/follower"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/routing"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/timeline"
)

// Server is the service of one lg-entry process.
type Server struct {
	name        string
	dataCentre  string
	peerAddress string
	clock       port.Clock
	logger      *slog.Logger
	client      *http.Client
	groups      map[string]*peer.GroupClient
	fleet       *peer.GroupClient
	dataCentres []string
	follower    *follower.Follower
	routes      *routing.Table
	admission   *routing.Admission
	progress    *registry
	// targets calls instances; instances caches a client for each address.
	targets   *http.Client
	instances sync.Map
	cached    atomic.Int64
	operator  [32]byte
	maxBody   int64
	// tries numbers the process's attempts to own a request record.
	tries    atomic.Uint64
	draining atomic.Bool
	// background counts runs and settlements that a drain waits for.
	background atomic.Int64
	// base ends when the process ends without waiting any longer; abandoned is
	// its Done channel.
	base      context.Context
	endBase   context.CancelFunc
	abandoned <-chan struct{}
	events    *timeline.Ring
	meter     *meter
	// relist wakes the listing of the own data centre's instances.
	relist chan struct{}
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
	// Client calls the system's own processes, Targets the instances.
	Client, Targets *http.Client
	// MaxCalls bounds the calls in progress, TeamQueue those of one team that
	// wait for a slot.
	MaxCalls, TeamQueue int
	// MaxBody bounds one request or answer, in bytes.
	MaxBody int64
	// Member is what the process states of itself; may be nil.
	Member *apiv1.Member
	// Timeline receives events; may be nil.
	Timeline *timeline.Ring
	// Scope receives metrics; may be nil.
	Scope tally.Scope
}

// New returns a server.
func New(c Config) *Server {
	s := &Server{
		name: c.Name, dataCentre: c.DataCentre, peerAddress: c.PeerAddress, clock: c.Clock, logger: c.Logger,
		client: c.Client, groups: map[string]*peer.GroupClient{}, operator: c.OperatorKeyHash, maxBody: c.MaxBody,
		targets: c.Targets, admission: routing.NewAdmission(c.MaxCalls), progress: newRegistry(),
		relist: make(chan struct{}, 1), events: c.Timeline, meter: newMeter(c.Scope),
	}
	s.base, s.endBase = context.WithCancel(context.Background())
	s.abandoned = s.base.Done()
	var all []string
	for _, dc := range sortedKeys(c.Controls) {
		s.dataCentres = append(s.dataCentres, dc)
		all = append(all, c.Controls[dc]...)
	}
	for _, dc := range s.dataCentres {
		s.groups[dc] = peer.NewGroupClient(dc, s.client, ownFirst(c.Controls[dc], all))
	}
	s.fleet = peer.NewGroupClient("fleet", s.client, ownFirst(c.Controls[c.DataCentre], all))
	s.follower = follower.New(follower.Config{
		Holder: c.Name, DataCentre: c.DataCentre, FleetPeers: s.fleet, Clock: c.Clock, Logger: c.Logger,
		Member: c.Member, OnControls: s.addControls, OnApplied: s.recordConfig,
	})
	s.routes = routing.NewTable(routing.Config{Self: c.Name, DataCentre: c.DataCentre, TeamQueue: c.TeamQueue})
	return s
}

// compressFrom is the size from which answers are compressed, in bytes. Smaller
// ones gain less on the wire than the compression costs.
const compressFrom = 16 << 10

// Public returns the handler for callers, operators and targets.
func (s *Server) Public() http.Handler {
	mux := http.NewServeMux()
	options := connect.WithHandlerOptions(connect.WithReadMaxBytes(int(s.maxBody)), connect.WithCompressMinBytes(compressFrom))
	mux.Handle(apiv1connect.NewCallerServiceHandler(&callerService{s}, options))
	mux.Handle(apiv1connect.NewOperatorServiceHandler(&operatorService{s}, options))
	mux.Handle(apiv1connect.NewTargetServiceHandler(&targetService{s}, options))
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
	var wg sync.WaitGroup
	wg.Go(func() { s.follower.Run(ctx) })
	wg.Go(func() { s.tick(ctx) })
	for _, dc := range s.dataCentres {
		wg.Go(func() { s.followInstances(ctx, dc) })
	}
	wg.Wait()
}

// tickInterval is how often waiting calls are looked at again, besides when a
// slot comes free or the instances were listed.
const tickInterval = 50 * time.Millisecond

func (s *Server) tick(ctx context.Context) {
	for pause(ctx, tickInterval) {
		s.routes.Tick(s.clock.Now())
	}
}

// Ready returns why the entry takes no new work, nil if it does.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return errors.New(reasonDraining)
	}
	if s.follower.Store().Index() == 0 && !s.follower.LeaseValid(0) {
		return errors.New("no configuration has been received yet")
	}
	return nil
}

// owner returns a new name for an attempt to own a request record.
func (s *Server) owner() string { return fmt.Sprintf("%s/%d", s.name, s.tries.Add(1)) }

// home returns the group that keeps the records of an id.
func (s *Server) home(id string) (string, *peer.GroupClient) {
	dc := state.HomeDataCentre(id, s.dataCentres)
	return dc, s.groups[dc]
}
