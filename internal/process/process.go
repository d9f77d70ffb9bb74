package process

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/adapter/admin"
	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/metrics"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/hlc"
	"laburnumgrade/internal/intake"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/timeline"
)

// Process holds the parts that lg-control and lg-entry have in common.
type Process struct {
	Clock    port.Clock
	Logger   *slog.Logger
	Timeline *timeline.Ring
	Scope    tally.Scope
	// Client calls other processes. It sends and accepts the stamps of the hybrid
	// logical clock.
	Client *http.Client
	// Intake bounds what the servers of the process receive, Outgoing the connections that it opens.
	Intake   httpserver.Options
	Outgoing *descriptor.Part

	settings config.Process
	stamps   *hlc.Clock
	admin    *admin.Server
	closer   io.Closer
}

// Shares of the descriptors by use.
const (
	shareForAccepted = 0.6
	shareForOutgoing = 0.4
)

// newIntake returns the bounds of the servers. Idle connections are kept without a time limit, since
// other processes send on them whenever they have something to say.
func newIntake(limits *config.Limits, accepted *descriptor.Part, logger *slog.Logger, scope tally.Scope) httpserver.Options {
	o := httpserver.Options{
		Limits: intake.DefaultLimits, HTTP2: limits.HTTP2, Part: accepted,
		Budget: intake.NewBudget(limits.RequestMemoryBytes, logger, scope),
	}
	o.IdleTimeout = 0
	return o
}

// Start builds the common parts and starts the admin server. The function ready returns nil if the process accepts
// new work, and otherwise the reason why not.
func Start(p config.Process, limits *config.Limits, addresses config.AddressMap, ready func() error) (*Process, error) {
	stamps := hlc.New(time.Now)
	scope, handler, closer := metrics.New(p.Name, p.DataCentre, metrics.ReportInterval)
	logger := logging.New(os.Stderr, p.Name, p.DataCentre, slog.LevelInfo)
	descriptors := descriptor.NewBudget(limits.Descriptors, limits.ReservedDescriptors, logger, scope)
	outgoing := descriptors.Part("outgoing", shareForOutgoing)
	accepted := descriptors.Part("accepted", shareForAccepted)
	client := peer.NewHTTPClient(addresses)
	peer.Bound(client, outgoing)
	client.Transport = hlc.Transport(stamps, client.Transport)
	result := &Process{
		Clock:    port.NewSystemClock(),
		Logger:   logger,
		Timeline: timeline.NewRing(stamps, p.Name, p.DataCentre, limits.MaxTimelineEvents),
		Scope:    scope,
		Client:   client,
		Intake:   newIntake(limits, accepted, logger, scope),
		Outgoing: outgoing,
		stamps:   stamps,
		closer:   closer,
		settings: p,
	}
	server, err := admin.Listen(p.AdminAddress, admin.Options{Metrics: handler, Timeline: result.Timeline, Ready: ready, Logger: result.Logger, Intake: result.Intake})
	if err != nil {
		return nil, err
	}
	accepted.OnFull(func() {
		if accepted.Open() >= accepted.Size() { // the servers had no idle connections
			result.Intake.Budget.CloseStalled()
		}
	})
	result.admin = server
	go server.Serve()
	result.Timeline.Record(timeline.Event{Kind: timeline.ProcessStarted})
	result.Logger.Info("process started", logging.Step("start"))
	return result, nil
}

// Member returns the description of this process that it sends to others: its
// name, role and addresses, and an incarnation number that must grow with each
// start.
func (p *Process) Member(role, address string, incarnation uint64) *apiv1.Member {
	return &apiv1.Member{
		Process: p.settings.Name, Vm: p.settings.VM, DataCentre: p.settings.DataCentre, Role: role,
		Address: address, AdminAddress: p.admin.Address(), Incarnation: incarnation,
	}
}

// PeerHandler wraps a handler for requests of other processes. It accepts the
// hybrid logical stamp of each request and stamps the answer.
func (p *Process) PeerHandler(h http.Handler) http.Handler { return hlc.Handler(p.stamps, h) }

// ShutdownSignals returns a context that is cancelled at the first SIGTERM or
// SIGINT, and a channel that is closed at the second.
func ShutdownSignals() (context.Context, <-chan struct{}) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	secondSignal := make(chan struct{})
	go func() {
		<-received
		cancel()
		<-received
		close(secondSignal)
	}()
	return ctx, secondSignal
}

// Close records the end of the process and stops the admin server and the
// metrics.
func (p *Process) Close(ctx context.Context) {
	p.Timeline.Record(timeline.Event{Kind: timeline.ProcessStopped})
	p.Logger.Info("process stopped", logging.Step("stop"))
	_ = p.admin.Close(ctx)
	_ = p.closer.Close()
}
