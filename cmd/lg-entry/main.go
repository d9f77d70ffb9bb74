// Command lg-entry is where callers, operators and targets connect.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/entry"
	"laburnumgrade/internal/port"
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
	c, err := config.ReadEntry(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if o.Check {
		return
	}
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "lg-entry:", err)
		os.Exit(1)
	}
}

func run(c *config.Entry) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("process", c.Process.Name, "data_centre", c.Process.DataCentre)
	controls := map[string][]string{}
	for _, p := range c.Peers {
		controls[p.DataCentre] = append(controls[p.DataCentre], p.Address.String())
	}
	s := entry.New(entry.Config{
		Name: fmt.Sprintf("%s#%d", c.Process.Name, time.Now().UnixNano()), DataCentre: c.Process.DataCentre,
		PeerAddress: c.Peer.String(), Clock: port.NewSystemClock(), Logger: logger, Controls: controls,
		OperatorKeyHash: c.OperatorKeyHash, MaxBody: c.Limits.MaxBody, Client: peer.NewHTTPClient(c.AddressMap),
	})
	public, err := httpserver.Start(c.Public.String(), s.Public())
	if err != nil {
		return err
	}
	peers, err := httpserver.Start(c.Peer.String(), s.Peer())
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go s.Run(background)
	<-ctx.Done()
	s.Drain()
	stop, cancelStop := context.WithTimeout(context.Background(), c.Limits.Drain)
	defer cancelStop()
	if err := public.Shutdown(stop); err != nil {
		return err
	}
	return peers.Shutdown(stop)
}
