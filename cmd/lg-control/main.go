// Command lg-control holds replicas of the shared state and schedules for its
// data centre.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/process"
)

func main() {
	c, code, done := config.FromCommandLine("lg-control", os.Args[1:], config.ReadControl, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "lg-control:", err)
		os.Exit(1)
	}
}

func run(c *config.Control) error {
	ctx, second := process.Signals()
	p, err := process.Start(c.Process, c.Limits.TimelineEvents, c.AddressMap, ctx.Err)
	if err != nil {
		return err
	}
	n := newNode(c, p)
	mux := http.NewServeMux()
	mux.Handle("/", n.server.Handler())
	mux.Handle(raftPath, n.host.Handler())
	server, err := httpserver.Start(c.PeerAddress.String(), p.Peer(mux))
	if err != nil {
		return err
	}
	failed := n.start(ctx)
	go n.server.Run(ctx)
	select {
	case <-ctx.Done():
	case err = <-failed:
		p.Logger.Error("a replica failed; the process stops so that its groups elect others", logging.Step("run"), logging.Error(err))
	}
	n.host.Stop()
	drain(server, c.Limits.DrainTimeout, second)
	closing, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p.Close(closing)
	return err
}

// drain finishes the requests in progress until the limit or a second signal.
func drain(server *httpserver.Server, limit time.Duration, second <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-second:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = server.Shutdown(ctx)
}
