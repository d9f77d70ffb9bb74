// Command lg-gateway takes clients' requests on an edge VM and passes them to
// the leader of the cell.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/gateway"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/process"
	"laburnumgrade/platform"
)

// leaveTime is how long the gateway takes new connections after it has stopped
// being ready: the platform notices within two checks of a second each.
const leaveTime = 2500 * time.Millisecond

// maxLines bounds the log, in lines a second: one line for each of 200 requests that fail.
const maxLines = 200

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

func run(c *config.Gateway) error {
	ctx, second := process.Signals()
	base := process.Open(c.Process, maxLines)
	logger := base.Logger
	client := cellapi.NewClient(c.Seeds, logger)
	g := gateway.New(client, c.PeerAddress.String(), logger)
	servers, err := process.Serve(map[string]http.Handler{
		c.PublicAddress.String():        platform.ClientHandler(g, logger, base.Scope),
		c.ReadinessAddress.String():     platform.ReadinessHandler(g.Ready),
		c.Process.AdminAddress.String(): base.Metrics,
		c.PeerAddress.String():          cellapi.Handler(nil, platform.NewAdviser(c.AdviceAddress.String())),
	})
	if err != nil {
		return err
	}
	go process.Reload(config.SettingsPath(os.Args[1:]), logger, config.ReadGateway, func(fresh *config.Gateway) { client.SetSeeds(fresh.Seeds) })
	working, stop := context.WithCancel(context.Background())
	defer stop()
	go g.Run(working)
	logger.Info("process started", logging.Step("start"), "seeds", c.Seeds)
	<-ctx.Done()
	logger.Info("process draining", logging.Step("drain"))
	g.Drain()
	servers.Drain()
	process.Wait(second, leaveTime)
	err = servers.Shutdown(second, c.DrainTimeout-leaveTime)
	logger.Info("process stopped", logging.Step("stop"), "error", err)
	return base.Close()
}
