// Command lg-entry is the process to which callers, operators and targets connect.
// It forwards their requests to the control processes and calls to instances.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/adapter/rpcbody"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/entry"
	"laburnumgrade/internal/process"
)

// connectionsPerInstance bounds the connections that the process opens to one
// instance.
const connectionsPerInstance = 64

// gcPercent lets the heap grow to five times the live data between collections. The
// live data is only a few MB, so with the default of 100 the collector runs several
// times a second under load and delays the calls that must assist it.
const gcPercent = 400

// memoryLimitBytes is used without a setting for the memory. It makes the collector run more often before the process reaches the
// 256 MB that it may use. With gcPercent alone, 700 workers at 280 task starts a
// second take 282 MB.
const memoryLimitBytes = 160 << 20

func main() {
	c, code, done := config.FromCommandLine("lg-entry", os.Args[1:], config.ReadEntry, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "lg-entry:", err)
		os.Exit(1)
	}
}

// run runs the process until a shutdown signal or the failure of a server.
func run(c *config.Entry) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	process.LimitCallMemory(c.Limits.MemoryBytes)
	firstSignal, secondSignal := process.ShutdownSignals()
	var started atomic.Pointer[entry.Server]
	p, err := process.Start(c.Process, &c.Limits, c.AddressMap, func() error {
		if s := started.Load(); s != nil {
			return s.Ready()
		}
		return errors.New("the process is starting")
	})
	if err != nil {
		return err
	}
	server := newServer(c, p)
	public, err := httpserver.StartWithin(c.PublicAddress.String(), rpcbody.Connect(server.PublicHandler(), c.Limits.MaxBodyBytes), p.Intake)
	if err != nil {
		return err
	}
	peers, err := httpserver.StartWithin(c.PeerAddress.String(), rpcbody.Twirp(p.PeerHandler(server.PeerHandler()), rpcbody.Snapshots{}), p.Intake)
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go server.Run(background)
	started.Store(server)
	select {
	case <-firstSignal.Done():
	case err := <-public.Failed():
		return err
	case err := <-peers.Failed():
		return err
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), c.Limits.DrainTimeout)
	defer cancel()
	go func() {
		<-secondSignal
		cancel()
	}()
	defer p.Close(drainCtx)
	return server.Shutdown(drainCtx, public, peers)
}

// newServer returns the server that the settings describe.
func newServer(c *config.Entry, p *process.Process) *entry.Server {
	controls := map[string][]string{}
	for _, control := range c.Peers {
		controls[control.DataCentre] = append(controls[control.DataCentre], control.Address.String())
	}
	incarnation := time.Now().UnixNano()
	targets := peer.NewInstanceClient(c.AddressMap, connectionsPerInstance)
	peer.Bound(targets, p.Outgoing)
	return entry.New(entry.Config{
		Name:              fmt.Sprintf("%s#%d", c.Process.Name, incarnation),
		Timeline:          p.Timeline,
		Scope:             p.Scope,
		Member:            p.Member("entry", c.PublicAddress.String(), uint64(incarnation)),
		DataCentre:        c.Process.DataCentre,
		PeerAddress:       c.PeerAddress.String(),
		Clock:             p.Clock,
		Logger:            p.Logger,
		ControlAddresses:  controls,
		OperatorKeyHash:   c.OperatorKeyHash,
		MaxBodyBytes:      c.Limits.MaxBodyBytes,
		Client:            p.Client,
		TargetClient:      targets,
		MaxCallsInFlight:  c.Limits.MaxCallsInFlight,
		MaxWaitingPerTeam: c.Limits.MaxWaitingPerTeam,
	})
}
