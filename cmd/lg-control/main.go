// Command lg-control holds replicas of the shared state and schedules for its
// data centre.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/control"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/process"
	"laburnumgrade/internal/replica"
	"laburnumgrade/internal/scheduler"
)

func main() {
	c, code, done := config.Start("lg-control", os.Args[1:], config.ReadControl, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "lg-control:", err)
		os.Exit(1)
	}
}

func run(c *config.Control) error {
	ctx, _ := process.Signals()
	p, err := process.Start(c.Process, c.Limits.Timeline, c.AddressMap, ctx.Err)
	if err != nil {
		return err
	}
	s, err := build(c, p)
	if err != nil {
		return err
	}
	server, err := httpserver.Start(c.Peer.String(), p.Peer(s.Handler()))
	if err != nil {
		return err
	}
	s.Run(ctx)
	stop, cancelStop := context.WithTimeout(context.Background(), c.Limits.Drain)
	defer cancelStop()
	defer p.Close(stop)
	return server.Shutdown(stop)
}

// build opens the replicas that the settings name.
func build(c *config.Control, p *process.Process) (*control.Server, error) {
	var addresses []string
	for _, other := range c.Peers {
		addresses = append(addresses, other.Address.String())
	}
	sc := control.Config{
		Name: fmt.Sprintf("%s#%d", c.Process.Name, time.Now().UnixNano()), DataCentre: c.Process.DataCentre,
		Clock: p.Clock, Logger: p.Logger, Timeline: p.Timeline, Scope: p.Scope, DataCentres: c.Peers.DataCentres(),
		FleetCalls: peer.NewGroup("fleet", p.Client, addresses), Scheduler: policy(&c.Scheduler),
	}
	open := func(group string, m port.StateMachine) (port.Log, error) {
		return replica.OpenSolo(filepath.Join(c.DataFolder, group+".log"), c.Process.Name, c.Peer.String(), m, p.Clock)
	}
	var err error
	for dc, voters := range c.Groups.DataCentres {
		if !slices.Contains(voters, c.Process.Name) {
			continue
		}
		g := control.NewDataCentreGroup(dc)
		if g.Log, err = open("dc-"+dc, g.Store); err != nil {
			return nil, err
		}
		sc.Groups = append(sc.Groups, g)
	}
	if slices.Contains(c.Groups.Fleet, c.Process.Name) {
		sc.Fleet = control.NewFleetGroup()
		if sc.Fleet.Log, err = open("fleet", sc.Fleet.Store); err != nil {
			return nil, err
		}
	}
	return control.New(sc), nil
}

// policy returns the scheduler's options that the settings choose.
func policy(c *config.Scheduler) scheduler.Options {
	o := scheduler.DefaultOptions()
	o.Policy.FairnessWeight = c.FairnessWeight
	o.Policy.MaxBypass = c.MaxBypass
	o.HalfLife = c.HalfLife
	return o
}
