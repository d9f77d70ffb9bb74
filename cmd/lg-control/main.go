// Command lg-control holds replicas of the shared state and schedules for its
// data centre.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/control"
	"laburnumgrade/internal/port"
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
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	clock := port.NewSystemClock()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("process", c.Process.Name, "data_centre", c.Process.DataCentre)
	var addresses []string
	for _, p := range c.Peers {
		addresses = append(addresses, p.Address.String())
	}
	sc := control.Config{
		Name: fmt.Sprintf("%s#%d", c.Process.Name, time.Now().UnixNano()), DataCentre: c.Process.DataCentre,
		Clock: clock, Logger: logger, DataCentres: c.Peers.DataCentres(),
		FleetCalls: peer.NewGroup("fleet", peer.NewHTTPClient(), addresses),
	}
	open := func(group string, m port.StateMachine) (port.Log, error) {
		return replica.OpenSolo(filepath.Join(c.DataFolder, group+".log"), c.Process.Name, c.Peer.String(), m, clock)
	}
	var err error
	for dc, voters := range c.Groups.DataCentres {
		if !slices.Contains(voters, c.Process.Name) {
			continue
		}
		g := control.NewDataCentreGroup(dc)
		if g.Log, err = open("dc-"+dc, g.Store); err != nil {
			return err
		}
		sc.Groups = append(sc.Groups, g)
	}
	if slices.Contains(c.Groups.Fleet, c.Process.Name) {
		sc.Fleet = control.NewFleetGroup()
		if sc.Fleet.Log, err = open("fleet", sc.Fleet.Store); err != nil {
			return err
		}
	}
	s := control.New(sc)
	server, err := httpserver.Start(c.Peer.String(), s.Handler())
	if err != nil {
		return err
	}
	s.Run(ctx)
	stop, cancelStop := context.WithTimeout(context.Background(), c.Limits.Drain)
	defer cancelStop()
	return server.Shutdown(stop)
}
