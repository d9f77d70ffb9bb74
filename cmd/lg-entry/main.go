// Command lg-entry is where callers, operators and targets connect.
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
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/entry"
	"laburnumgrade/internal/process"
)

// instanceConnections is the number of connections that an instance accepts.
const instanceConnections = 64

// gcPercent lets the heap grow to five times the live data, which is a few MB,
// between collections; at the default the collector ran several times a second
// under load and delayed the calls that had to assist it.
const gcPercent = 400

// memoryLimit makes the collector run more often before the process reaches the
// 256 MB that it may use. With gcPercent alone, 700 workers at 280 starts/s took
// 282 MB.
const memoryLimit = 160 << 20

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

func run(c *config.Entry) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	first, second := process.Signals()
	var serving atomic.Pointer[entry.Server]
	p, err := process.Start(c.Process, c.Limits.TimelineEvents, c.AddressMap, func() error {
		if s := serving.Load(); s != nil {
			return s.Ready()
		}
		return errors.New("the process is starting")
	})
	if err != nil {
		return err
	}
	s := build(c, p)
	public, err := httpserver.Start(c.PublicAddress.String(), s.Public())
	if err != nil {
		return err
	}
	peers, err := httpserver.Start(c.PeerAddress.String(), p.Peer(s.Peer()))
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go s.Run(background)
	serving.Store(s)
	select {
	case <-first.Done():
	case err := <-public.Failed():
		return err
	case err := <-peers.Failed():
		return err
	}
	limit, cancel := context.WithTimeout(context.Background(), c.Limits.DrainTimeout)
	defer cancel()
	go func() {
		<-second
		cancel()
	}()
	defer p.Close(limit)
	return s.Shutdown(limit, public, peers)
}

// build returns the server that the settings describe.
func build(c *config.Entry, p *process.Process) *entry.Server {
	controls := map[string][]string{}
	for _, other := range c.Peers {
		controls[other.DataCentre] = append(controls[other.DataCentre], other.Address.String())
	}
	incarnation := time.Now().UnixNano()
	return entry.New(entry.Config{
		Name: fmt.Sprintf("%s#%d", c.Process.Name, incarnation), Timeline: p.Timeline, Scope: p.Scope,
		Member:      p.Member("entry", c.PublicAddress.String(), uint64(incarnation)),
		DataCentre:  c.Process.DataCentre,
		PeerAddress: c.PeerAddress.String(), Clock: p.Clock, Logger: p.Logger, Controls: controls,
		OperatorKeyHash: c.OperatorKeyHash, MaxBody: c.Limits.MaxBodyBytes, Client: p.Client,
		Targets:  peer.NewInstanceClient(c.AddressMap, instanceConnections),
		MaxCalls: c.Limits.MaxCalls, TeamQueue: c.Limits.TeamQueue,
	})
}
