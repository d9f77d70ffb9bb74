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
	"laburnumgrade/internal/adapter/metrics"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/hlc"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/timeline"
)

// Process is the common part of a running process.
type Process struct {
	Clock    port.Clock
	Logger   *slog.Logger
	Timeline *timeline.Ring
	Scope    tally.Scope
	// Client calls other processes; it carries causality stamps.
	Client *http.Client

	settings config.Process
	stamps   *hlc.Clock
	admin    *admin.Server
	closer   io.Closer
}

// Start starts the admin server. The function ready returns why the process
// takes no new work, nil if it does.
func Start(p config.Process, events int, addresses config.AddressMap, ready func() error) (*Process, error) {
	stamps := hlc.New(time.Now)
	scope, handler, closer := metrics.New(p.Name, p.DataCentre, metrics.ReportInterval)
	client := peer.NewHTTPClient(addresses)
	client.Transport = hlc.Transport(stamps, client.Transport)
	result := &Process{
		Clock: port.NewSystemClock(), Logger: logging.New(os.Stderr, p.Name, p.DataCentre, slog.LevelInfo),
		Timeline: timeline.New(stamps, p.Name, p.DataCentre, events), Scope: scope, Client: client,
		stamps: stamps, closer: closer, settings: p,
	}
	server, err := admin.Listen(p.AdminAddress, admin.Options{Metrics: handler, Timeline: result.Timeline, Ready: ready, Logger: result.Logger})
	if err != nil {
		return nil, err
	}
	result.admin = server
	go server.Serve()
	result.Timeline.Record(timeline.Event{Kind: timeline.ProcessStarted})
	result.Logger.Info("process started", logging.Step("start"))
	return result, nil
}

// Member returns what the process states of itself to others: its role, where
// it is reached, and an incarnation that grows with each start.
func (p *Process) Member(role, address string, incarnation uint64) *apiv1.Member {
	return &apiv1.Member{
		Process: p.settings.Name, Vm: p.settings.VM, DataCentre: p.settings.DataCentre, Role: role,
		Address: address, AdminAddress: p.admin.Address(), Incarnation: incarnation,
	}
}

// Peer wraps a handler for other processes so that their causality stamps are
// accepted.
func (p *Process) Peer(h http.Handler) http.Handler { return hlc.Handler(p.stamps, h) }

// Signals returns a context that ends at the first shutdown signal, and a
// channel that is closed at the second.
func Signals() (context.Context, <-chan struct{}) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	second := make(chan struct{})
	go func() {
		<-received
		cancel()
		<-received
		close(second)
	}()
	return ctx, second
}

// Close stops the admin server and the metrics.
func (p *Process) Close(ctx context.Context) {
	p.Timeline.Record(timeline.Event{Kind: timeline.ProcessStopped})
	p.Logger.Info("process stopped", logging.Step("stop"))
	_ = p.admin.Close(ctx)
	_ = p.closer.Close()
}
