// Command lg-control holds replicas of the replicated groups and schedules the work
// of its data centre.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/rpcbody"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/process"
)

// closeTimeout bounds the time for stopping the admin server at shutdown.
const closeTimeout = time.Second

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

// run runs the process until a shutdown signal or the failure of a replica.
func run(c *config.Control) error {
	ctx, secondSignal := process.ShutdownSignals()
	process.LimitCallMemory(c.Limits.MemoryBytes)
	p, err := process.Start(c.Process, &c.Limits, c.AddressMap, ctx.Err)
	if err != nil {
		return err
	}
	n := newNode(c, p)
	mux := http.NewServeMux()
	mux.Handle("/", n.server.Handler())
	mux.Handle(raftPath, n.host.Handler())
	server, err := httpserver.StartWithin(c.PeerAddress.String(), rpcbody.Twirp(p.PeerHandler(mux), snapshots(&c.Limits)), p.Intake)
	if err != nil {
		return err
	}
	failed := n.start(ctx)
	go n.server.Run(ctx)
	select {
	case <-ctx.Done():
	case err = <-failed:
		p.Logger.Error("a replica failed; the process stops so that its groups elect other leaders", logging.Step("run"), logging.Error(err))
	}
	n.host.Stop()
	drain(server, c.Limits.DrainTimeout, secondSignal)
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.Close(closeCtx)
	return err
}

// Shares of the memory for snapshots: a snapshot takes its length three to four times while it is
// received and decoded.
const (
	snapshotAboveDivisor = 4 // of request_memory
	snapshotMostDivisor  = 8 // of memory
)

// snapshots returns the bounds of snapshots from other replicas.
func snapshots(l *config.Limits) rpcbody.Snapshots {
	return rpcbody.Snapshots{Path: raftPath, Above: l.RequestMemoryBytes / snapshotAboveDivisor, Most: l.MemoryBytes / snapshotMostDivisor}
}

// drain shuts the server down. It waits for the requests in flight until the timeout
// or the second shutdown signal.
func drain(server *httpserver.Server, timeout time.Duration, secondSignal <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-secondSignal:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = server.Shutdown(ctx)
}
