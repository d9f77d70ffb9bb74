// Command lg-cell holds a replica of a cell's state on a core VM and schedules
// its jobs while it leads.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"laburnumgrade/internal/cellnode"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/process"
	"laburnumgrade/platform"
)

// finishTime is how long calls in progress may take after leadership was handed
// over.
const finishTime = time.Second

// maxLines bounds the log, in lines a second: three lines for each of 300 starts.
const maxLines = 1000

func main() {
	c, code, done := config.FromCommandLine("lg-cell", os.Args[1:], config.ReadCell, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "lg-cell:", err)
		os.Exit(1)
	}
}

// machines returns the client of the service for machines, nil if there is none.
func machines(c *config.Cell) dispatch.Machines {
	if !c.MachinesAddress.IsValid() {
		return nil
	}
	return platform.NewMachines(c.MachinesAddress.String())
}

func run(c *config.Cell) error {
	ctx, second := process.Signals()
	base := process.Open(c.Process, maxLines)
	logger := base.Logger
	working, stop := context.WithCancel(context.Background())
	defer stop()
	node, err := cellnode.Start(working, cellnode.Config{
		Name: c.Process.Name, PeerAddress: c.PeerAddress.String(), PublicAddress: c.PublicAddress.String(), Seeds: c.Seeds, Folder: c.DataFolder, Bootstrap: c.Bootstrap,
		Clock: port.NewBootClock(), Workers: platform.NewWorkers(), Adviser: platform.NewAdviser(c.AdviceAddress.String()),
		Machines: machines(c),
		Bounds: dispatch.Bounds{
			MaxLease: c.MaxLease, EndedJobRetention: c.EndedJobRetention, RemoteFactor: c.RemoteFactor, HolderLease: c.HolderLease, MinServingTime: c.MinServingTime,
		},
		Logger: logger, Scope: base.Scope,
	})
	if err != nil {
		return err
	}
	servers, err := process.Serve(map[string]http.Handler{
		c.PublicAddress.String():        platform.ControlHandler(node, logger),
		c.PeerAddress.String():          node.Handler(),
		c.Process.AdminAddress.String(): base.Metrics,
	})
	if err != nil {
		return err
	}
	go process.Reload(config.SettingsPath(os.Args[1:]), logger, config.ReadCell, func(fresh *config.Cell) { node.SetSeeds(fresh.Seeds) })
	logger.Info("process started", logging.Step("start"), "seeds", c.Seeds, "bootstrap", c.Bootstrap)
	select {
	case <-ctx.Done():
	case <-node.Done():
		return node.Err()
	}
	logger.Info("process draining", logging.Step("drain"))
	node.Resign()
	err = servers.Shutdown(second, finishTime)
	node.Stop()
	logger.Info("process stopped", logging.Step("stop"), "error", err)
	return base.Close()
}
