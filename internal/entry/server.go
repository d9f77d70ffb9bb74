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
	name             string
	dataCentre       string
	peerAddress      string
	clock            port.Clock
	logger           *slog.Logger
	client           *http.Client
	dataCentreGroups map[string]*peer.GroupClient
	fleetGroup       *peer.GroupClient
	dataCentres      []string
	follower         *follower.Follower
	routes           *routing.Table
	admission        *routing.Admission
	activeCalls      *callRegistry
	// targetClient is the HTTP client for instances. instanceClients caches an RPC
	// client for each address, and cachedClients is how many there are.
	targetClient    *http.Client
	instanceClients sync.Map
	cachedClients   atomic.Int64
	operatorKeyHash [32]byte
	maxBodyBytes    int64
	// ownerSequence numbers the owner names that this process has created.
	ownerSequence atomic.Uint64
	draining      atomic.Bool
	// background is how many background tasks of calls are in progress; a drain
	// waits for them.
	background atomic.Int64
	// baseContext is cancelled when the shutdown abandons the calls in progress;
	// abandoned is its Done channel.
	baseContext context.Context
	cancelBase  context.CancelFunc
	abandoned   <-chan struct{}
	events      *timeline.Ring
	metrics     *metrics
	// relistRequested triggers a listing of the instances of the entry's own data
	// centre.
	relistRequested chan struct{}
}

// Config configures a Server.
type Config struct {
	// Name is the name of the process with its incarnation.
	Name       string
	DataCentre string
	// PeerAddress is the address at which other entries reach this one.
	PeerAddress string
	Clock       port.Clock
	Logger      *slog.Logger
	// ControlAddresses holds the addresses of the control processes of each data
	// centre.
	ControlAddresses map[string][]string
	OperatorKeyHash  [32]byte
	// Client calls processes of the system, TargetClient the instances.
	Client, TargetClient *http.Client
	// MaxCallsInFlight limits the calls in progress, and MaxWaitingPerTeam the calls of one
	// team that wait for a slot.
	MaxCallsInFlight, MaxWaitingPerTeam int
	// MaxBodyBytes limits the size of one request or answer.
	MaxBodyBytes int64
	// Member is the description of the process that is sent to the fleet group; it may
	// be nil.
	Member *apiv1.Member
	// Timeline receives events; it may be nil.
	Timeline *timeline.Ring
	// Scope receives metrics; it may be nil.
	Scope tally.Scope
}

// New returns a server. It does nothing in the background before Run is called.
func New(c Config) *Server {
	s := &Server{
		name:             c.Name,
		dataCentre:       c.DataCentre,
		peerAddress:      c.PeerAddress,
		clock:            c.Clock,
		logger:           c.Logger,
		client:           c.Client,
		dataCentreGroups: map[string]*peer.GroupClient{},
		operatorKeyHash:  c.OperatorKeyHash,
		maxBodyBytes:     c.MaxBodyBytes,
		targetClient:     c.TargetClient,
		admission:        routing.NewAdmission(c.MaxCallsInFlight),
		activeCalls:      newCallRegistry(),
		relistRequested:  make(chan struct{}, 1),
		events:           c.Timeline,
		metrics:          newMetrics(c.Scope),
	}
	s.baseContext, s.cancelBase = context.WithCancel(context.Background())
	s.abandoned = s.baseContext.Done()
	var all []string
	for _, dc := range sortedKeys(c.ControlAddresses) {
		s.dataCentres = append(s.dataCentres, dc)
		all = append(all, c.ControlAddresses[dc]...)
	}
	for _, dc := range s.dataCentres {
		s.dataCentreGroups[dc] = peer.NewGroupClient(dc, s.client, ownFirst(c.ControlAddresses[dc], all))
	}
	s.fleetGroup = peer.NewGroupClient("fleet", s.client, ownFirst(c.ControlAddresses[c.DataCentre], all))
	s.follower = follower.New(follower.Config{
		Holder:     c.Name,
		DataCentre: c.DataCentre,
		FleetPeers: s.fleetGroup,
		Clock:      c.Clock,
		Logger:     c.Logger,
		Member:     c.Member,
		OnControls: s.addControls,
		OnApplied:  s.recordConfig,
	})
	s.routes = routing.NewTable(routing.Config{Self: c.Name, DataCentre: c.DataCentre, MaxWaitingPerTeam: c.MaxWaitingPerTeam})
	return s
}

// compressMinBytes is the size from which answers are compressed. For smaller
// answers the compression costs more time than it saves on the network.
const compressMinBytes = 16 << 10

// PublicHandler returns the handler for requests of callers, operators and targets.
func (s *Server) PublicHandler() http.Handler {
	mux := http.NewServeMux()
	options := connect.WithHandlerOptions(connect.WithReadMaxBytes(int(s.maxBodyBytes)), connect.WithCompressMinBytes(compressMinBytes))
	mux.Handle(apiv1connect.NewCallerServiceHandler(&callerService{s}, options))
	mux.Handle(apiv1connect.NewOperatorServiceHandler(&operatorService{s}, options))
	mux.Handle(apiv1connect.NewTargetServiceHandler(&targetService{s}, options))
	return mux
}

// PeerHandler returns the handler for requests of other entries.
func (s *Server) PeerHandler() http.Handler {
	forward := peerv1.NewEntryServiceServer(&forwardService{s})
	mux := http.NewServeMux()
	mux.Handle(forward.PathPrefix(), forward)
	return mux
}

// Run keeps the configuration and the lists of instances current, and grants slots
// to waiting calls, until the context ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.follower.Run(ctx) })
	wg.Go(func() { s.grantWaitingCalls(ctx) })
	for _, dc := range s.dataCentres {
		wg.Go(func() { s.pollInstances(ctx, dc) })
	}
	wg.Wait()
}

// grantInterval is how often slots are granted to waiting calls, in addition to
// when a slot becomes free and when the instances were listed.
const grantInterval = 50 * time.Millisecond

func (s *Server) grantWaitingCalls(ctx context.Context) {
	for sleep(ctx, grantInterval) {
		s.routes.GrantWaiting(s.clock.Now())
	}
}

// Ready returns nil if the entry accepts new work, and otherwise the reason why not.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return errors.New(reasonDraining)
	}
	if s.follower.Store().Index() == 0 && !s.follower.LeaseValid(0) {
		return errors.New("no configuration has been received yet")
	}
	return nil
}

// newOwnerID returns a unique name under which this process may own one request
// record.
func (s *Server) newOwnerID() string { return fmt.Sprintf("%s/%d", s.name, s.ownerSequence.Add(1)) }

// homeGroup returns the data centre that keeps the records of a job or request, and
// the control processes of its group.
func (s *Server) homeGroup(id string) (string, *peer.GroupClient) {
	dc := state.HomeDataCentre(id, s.dataCentres)
	return dc, s.dataCentreGroups[dc]
}
