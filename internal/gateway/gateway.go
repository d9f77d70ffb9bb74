// Package gateway is the process between clients and the leader of a cell. It
// holds no state: it tells the platform whether it can serve, finds the leader
// and lends itself for calls for advice.
package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

const (
	// announceInterval is how often the gateway tells the leader that it lives.
	announceInterval = 700 * time.Millisecond
	// readyFor is how long the gateway counts as ready after a leader answered.
	readyFor = 2500 * time.Millisecond
	// watchInterval is how often the gateway looks whether a leader answers.
	watchInterval = 200 * time.Millisecond
	// silence is how long no leader may have answered before the gateway looks
	// for the reason: longer than announceInterval and a slow answer.
	silence = 900 * time.Millisecond
	// probeTimeout bounds a call to one control process: round trips within a site
	// take a few milliseconds.
	probeTimeout = 300 * time.Millisecond
)

// Gateway is a running gateway.
type Gateway struct {
	client   *cellapi.Client
	peer     string
	logger   *slog.Logger
	draining atomic.Bool
	isolated atomic.Bool
}

// New returns a gateway that serves calls of other processes at the address.
func New(client *cellapi.Client, peer string, logger *slog.Logger) *Gateway {
	return &Gateway{client: client, peer: peer, logger: logger}
}

// Ready reports whether the gateway takes new connections. One that is cut off
// with a minority of the control processes is not ready, so that clients go to
// other data centres.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && !g.isolated.Load() && time.Since(g.client.LastReply()) < readyFor
}

// Drain makes the gateway report that it is not ready.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Do calls the leader. While the gateway is cut off it refuses at once: a client
// that comes back soon reaches another data centre.
func (g *Gateway) Do(ctx context.Context, c *cellapi.Call) *cellapi.Reply {
	if g.isolated.Load() {
		return &cellapi.Reply{Refused: "cut off from most control processes"}
	}
	return g.client.Do(ctx, c)
}

// Run announces the gateway to the leader and watches whether one can be reached,
// until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.watch(ctx)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceInterval)
		// The client remembers when it was answered; a failure needs no more.
		_ = g.client.Do(call, &cellapi.Call{AnnounceAdviceCaller: &cellapi.AnnounceAdviceCaller{Peer: g.peer, UnixMS: time.Now().UnixMilli()}})
		cancel()
		if !cellapi.Pause(ctx, announceInterval) {
			return
		}
	}
}

// watch finds out whether the gateway is cut off.
func (g *Gateway) watch(ctx context.Context) {
	for cellapi.Pause(ctx, watchInterval) {
		reached, known := 0, 0
		isolated := false
		if quiet := time.Since(g.client.LastReply()); quiet >= silence {
			reached, known = g.client.Probe(ctx, probeTimeout)
			// Without any control process in reach they may all be down, and the
			// gateway serves again as soon as they are back.
			isolated = reached > 0 && 2*reached < known && time.Since(g.client.LastReply()) >= silence
		}
		if g.isolated.Swap(isolated) != isolated {
			g.logger.Warn("reach of the control processes changed", logging.Step("watch"), "isolated", isolated, "reached", reached, "known", known)
		}
	}
}
