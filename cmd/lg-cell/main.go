// Command lg-cell is a control process of a cell: it holds a replica of the cell's
// state on a core VM, and schedules the cell's jobs while it is the leader.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"laburnumgrade/internal/adviser"
	"laburnumgrade/internal/cellnode"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/intake"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/pause"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/process"
	"laburnumgrade/platform"
)

// shutdownTimeout is how long calls in flight may take once the process has resigned
// its leadership.
const shutdownTimeout = time.Second

// Shares of the descriptors by use. Workers are called by the leader alone, often several
// times at once; they and the gateways keep a connection to it for their reports. The
// replicated log has a share of its own: a leader that cannot send heartbeats because calls
// to other processes use all descriptors loses its leadership.
const (
	shareForWorkers   = 0.55
	shareForAccepted  = 0.33
	shareForPeers     = 0.10
	shareForConsensus = 0.02
)

// maxLogLinesPerSecond bounds the log. It leaves room for three lines for each of
// 250 task starts a second beside the reserve for other lines.
const maxLogLinesPerSecond = 1000

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

// newMachines returns the client of the service that takes machines down for
// upkeep, nil if none is configured.
func newMachines(c *config.Cell, part *descriptor.Part) dispatch.Machines {
	if !c.MachinesAddress.IsValid() {
		return nil
	}
	return platform.NewMachines(c.MachinesAddress.String(), part)
}

// run runs the process until a shutdown signal or the failure of its replica.
func run(c *config.Cell) error {
	ctx, secondSignal := process.ShutdownSignals()
	telemetry := process.NewTelemetry(c.Process, maxLogLinesPerSecond)
	logger := telemetry.Logger
	process.LimitMemory(c.MemoryBytes)
	process.PaceCollector(c.MemoryBytes)
	descriptors := descriptor.NewBudget(c.Descriptors, c.ReservedDescriptors, logger, telemetry.Scope)
	peers := descriptors.Part("peers", shareForPeers)
	nodeCtx, stopNode := context.WithCancel(context.Background())
	defer stopNode()
	clock := port.NewBootClock()
	pauses := pause.New(clock)
	go pauses.Run(nodeCtx)
	// A signal ends the start, which waits while the disk is full.
	stopAfterFunc := context.AfterFunc(ctx, stopNode)
	node, err := cellnode.Start(nodeCtx, cellnode.Config{
		Name:          c.Process.Name,
		DataCentre:    c.Process.DataCentre,
		Tolerance:     cellnode.Tolerance{VMs: c.ToleratedVMs, DataCentres: c.ToleratedDataCentres},
		PeerAddress:   c.PeerAddress.String(),
		PublicAddress: c.PublicAddress.String(),
		Seeds:         c.Seeds,
		Folder:        c.DataFolder,
		MaxLogBytes:   c.MaxLogBytes,
		Bootstrap:     c.Bootstrap,
		Clock:         clock,
		Workers:       platform.NewWorkers(descriptors.Part("workers", shareForWorkers)),
		Adviser:       adviser.NewQueue(platform.NewAdviser(c.AdviceAddress.String(), peers), logger, telemetry.Scope),
		Machines:      newMachines(c, peers),
		Peers:         peers,
		Consensus:     descriptors.Part("consensus", shareForConsensus),
		Pauses:        pauses,
		AdmitAll:      !c.Admission,
		Bounds: dispatch.Bounds{
			MaxLease:          c.MaxLease,
			EndedJobRetention: c.EndedJobRetention,
			RemoteFactor:      c.RemoteFactor,
			HolderLease:       c.HolderLease,
			MinServingTime:    c.MinServingTime,
		},
		Logger: logger,
		Scope:  telemetry.Scope,
	})
	stopAfterFunc()
	if err != nil {
		return err
	}
	servers, err := process.StartServers(map[string]http.Handler{
		c.PublicAddress.String():        pauses.Handler(platform.ControlHandler(node, logger)),
		c.PeerAddress.String():          node.Handler(),
		c.Process.AdminAddress.String(): telemetry.Metrics,
	}, process.Intake{
		Public: c.PublicAddress.String(), Limits: c.RequestLimits,
		Budget: intake.NewBudget(c.RequestMemoryBytes, logger, telemetry.Scope),
		Part:   descriptors.Part("accepted", shareForAccepted),
	})
	if err != nil {
		return err
	}
	go process.ReloadOnChange(config.SettingsPath(os.Args[1:]), logger, config.ReadCell, func(reloaded *config.Cell) { node.SetSeeds(reloaded.Seeds) })
	logger.Info("process started", logging.Step("start"), "seeds", c.Seeds, "bootstrap", c.Bootstrap)
	select {
	case <-ctx.Done():
	case <-node.Done():
		return node.Err()
	}
	logger.Info("process draining", logging.Step("drain"))
	node.Resign("the process is draining")
	err = servers.Shutdown(secondSignal, shutdownTimeout)
	node.Stop()
	logger.Info("process stopped", logging.Step("stop"), "error", err)
	return telemetry.Close()
}
