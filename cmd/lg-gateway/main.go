// Command lg-gateway accepts the requests of clients on an edge VM and forwards
// them to the leader of the cell.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"laburnumgrade/internal/adviser"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/gateway"
	"laburnumgrade/internal/intake"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/pause"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/process"
	"laburnumgrade/platform"
)

// notReadyServingTime is how long a draining gateway still accepts connections after
// its readiness check has begun to fail. The platform checks once a second and stops
// sending clients within two checks.
const notReadyServingTime = 2500 * time.Millisecond

// Shares of the descriptors by use.
const (
	shareForAccepted = 0.8
	shareForPeers    = 0.2
)

// maxLogLinesPerSecond bounds the log. It leaves room for one line for each of 150
// failed requests a second beside the reserve for other lines.
const maxLogLinesPerSecond = 200

func main() {
	c, code, done := config.FromCommandLine("lg-gateway", os.Args[1:], config.ReadGateway, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "lg-gateway:", err)
		os.Exit(1)
	}
}

// run runs the process until a shutdown signal.
func run(c *config.Gateway) error {
	ctx, secondSignal := process.ShutdownSignals()
	telemetry := process.NewTelemetry(c.Process, maxLogLinesPerSecond)
	logger := telemetry.Logger
	process.LimitMemory(c.MemoryBytes)
	descriptors := descriptor.NewBudget(c.Descriptors, c.ReservedDescriptors, logger, telemetry.Scope)
	peers := descriptors.Part("peers", shareForPeers)
	client := cellapi.NewClient(c.Seeds, peers, logger)
	pauses := pause.New(port.NewBootClock())
	g := gateway.New(client, c.PeerAddress.String(), pauses, logger)
	servers, err := process.StartServers(map[string]http.Handler{
		c.PublicAddress.String():        pauses.Handler(platform.ClientHandler(g, logger, telemetry.Scope)),
		c.ReadinessAddress.String():     platform.ReadinessHandler(g.Ready),
		c.Process.AdminAddress.String(): telemetry.Metrics,
		c.PeerAddress.String():          cellapi.Handler(nil, adviser.NewQueue(platform.NewAdviser(c.AdviceAddress.String(), peers), logger, telemetry.Scope)),
	}, process.Intake{
		Public: c.PublicAddress.String(), Limits: c.RequestLimits,
		Budget: intake.NewBudget(c.RequestMemoryBytes, logger, telemetry.Scope),
		Part:   descriptors.Part("accepted", shareForAccepted),
	})
	if err != nil {
		return err
	}
	go process.ReloadOnChange(config.SettingsPath(os.Args[1:]), logger, config.ReadGateway, func(reloaded *config.Gateway) { client.SetSeeds(reloaded.Seeds) })
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go pauses.Run(background)
	go g.Run(background)
	logger.Info("process started", logging.Step("start"), "seeds", c.Seeds)
	<-ctx.Done()
	logger.Info("process draining", logging.Step("drain"))
	g.Drain()
	servers.Drain()
	process.WaitOrSignal(secondSignal, notReadyServingTime)
	err = servers.Shutdown(secondSignal, c.DrainTimeout-notReadyServingTime)
	logger.Info("process stopped", logging.Step("stop"), "error", err)
	return telemetry.Close()
}
