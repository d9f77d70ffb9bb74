// Package gateway implements the stateless process between clients and the leader of a
// cell. A Gateway forwards calls to the leader, reports its readiness to the platform, and
// announces itself to the leader as a process that can call the advice service. It
// detects when it is partitioned from most control processes.
package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/pause"
)

const (
	// announceInterval is the interval at which the gateway announces itself to the
	// leader.
	announceInterval = 700 * time.Millisecond
	// readyTimeout is the time after a leader's last reply during which the gateway is
	// ready.
	readyTimeout = 2500 * time.Millisecond
	// watchInterval is the interval at which the gateway checks whether a leader replies.
	watchInterval = 200 * time.Millisecond
	// silenceBeforeProbe is the time without a reply of a leader after which the gateway
	// probes the control processes: longer than announceInterval and a slow reply.
	silenceBeforeProbe = 900 * time.Millisecond
	// probeTimeout is the timeout of a probe; round trips within a site take a few
	// milliseconds.
	probeTimeout = 300 * time.Millisecond
)

// Gateway is a running gateway.
type Gateway struct {
	client   *cellapi.Client
	peer     string
	pauses   *pause.Detector
	logger   *slog.Logger
	draining atomic.Bool
	// isolated is set while a minority of the control processes, but at least one of them,
	// can be reached.
	isolated atomic.Bool
}

// New returns a gateway that calls the leader through client. peer is the address at
// which the process serves the calls of other processes.
func New(client *cellapi.Client, peer string, pauses *pause.Detector, logger *slog.Logger) *Gateway {
	return &Gateway{client: client, peer: peer, pauses: pauses, logger: logger}
}

// Ready reports whether the gateway should get new connections. A gateway that is
// draining, isolated, or without a reply of a leader for readyTimeout is not ready, so that
// clients use gateways in other data centres.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && !g.isolated.Load() && time.Since(g.client.LastReply()) < readyTimeout
}

// Drain makes Ready return false from now on.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Do calls the leader. While the gateway is isolated, it refuses calls immediately, so that
// clients retry soon and reach another data centre. After a pause of the process it refuses
// submissions: they may have waited since before the pause, and their clients may have left and
// cancelled them.
func (g *Gateway) Do(ctx context.Context, c *cellapi.Call) *cellapi.Reply {
	if g.isolated.Load() {
		return &cellapi.Reply{Refused: "cut off from most control processes"}
	}
	if c.Submit != nil && g.pauses.MayHaveWaited(ctx) {
		return &cellapi.Reply{Refused: cellapi.RefusedAfterPause}
	}
	return g.client.Do(ctx, c)
}

// Run announces the gateway to the leader at each announceInterval and checks whether the
// gateway is isolated, until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.watchReach(ctx)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceInterval)
		// The client records the time of the reply; a failure needs no handling.
		_ = g.client.Do(call, &cellapi.Call{AnnounceAdviceCaller: &cellapi.AnnounceAdviceCaller{Peer: g.peer, UnixMS: time.Now().UnixMilli()}})
		cancel()
		if !cellapi.Pause(ctx, announceInterval) {
			return
		}
	}
}

// watchReach updates isolated at each watchInterval until the context ends.
func (g *Gateway) watchReach(ctx context.Context) {
	for cellapi.Pause(ctx, watchInterval) {
		reached, known := 0, 0
		isolated := false
		if sinceReply := time.Since(g.client.LastReply()); sinceReply >= silenceBeforeProbe {
			reached, known = g.client.Probe(ctx, probeTimeout)
			// If no control process can be reached, all of them may be down; the gateway
			// then stays ready to serve as soon as they are up again.
			isolated = reached > 0 && 2*reached < known && time.Since(g.client.LastReply()) >= silenceBeforeProbe
		}
		if g.isolated.Swap(isolated) != isolated {
			g.logger.Warn("reach of the control processes changed", logging.Step("watch"), "isolated", isolated, "reached", reached, "known", known)
		}
	}
}
