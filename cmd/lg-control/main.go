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

	"github.com/jessevdk/go-flags"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/control"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/process"
	"laburnumgrade/internal/replica"
)

type options struct {
	Settings string `long:"settings" required:"true" description:"settings file (INI)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	c, err := config.ReadControl(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if o.Check {
		return
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
		Clock: p.Clock, Logger: p.Logger, Timeline: p.Timeline, DataCentres: c.Peers.DataCentres(),
		FleetCalls: peer.NewGroup("fleet", p.Client, addresses),
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
