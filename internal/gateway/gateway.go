// Package gateway is the process between clients and the leader of a cell. It
// holds no state: it tells the platform whether it can serve, finds the leader
// and lends itself for calls for advice.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/cellapi"
)

const (
	// announceInterval is how often the gateway tells the leader that it lives.
	announceInterval = 700 * time.Millisecond
	// readyFor is how long the gateway counts as ready after a leader answered.
	readyFor = 2500 * time.Millisecond
)

// Gateway is a running gateway.
type Gateway struct {
	client   *cellapi.Client
	peer     string
	draining atomic.Bool
}

// New returns a gateway that serves calls of other processes at the address.
func New(client *cellapi.Client, peer string) *Gateway { return &Gateway{client: client, peer: peer} }

// Ready reports whether the gateway takes new connections.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && time.Since(g.client.Heard()) < readyFor
}

// Drain makes the gateway report that it is not ready.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Run announces the gateway to the leader until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceInterval)
		// The client remembers when it was answered; a failure needs no more.
		_ = g.client.Do(call, &cellapi.Call{Announce: &cellapi.Announce{Peer: g.peer}})
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}
