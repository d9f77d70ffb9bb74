package entry

import (
	"context"
	"fmt"
	"time"
)

const (
	// drainNotice is how long the entry still answers refusals on open
	// connections, so that clients and the balancer turn to other entries.
	drainNotice = 500 * time.Millisecond
	// drainCheck is how often the end of the calls in progress is looked for.
	drainCheck = 10 * time.Millisecond
	// giveBackLimit bounds the wait for the slots to be given back after the
	// last call; after that the slot lease runs out by itself.
	giveBackLimit = 2 * time.Second
	// answerLimit is how long the answers to abandoned calls may take to leave.
	answerLimit = time.Second
)

// DrainableServer is a server of the entry's handlers.
type DrainableServer interface {
	// Drain asks the clients to use other connections.
	Drain()
	// Shutdown stops listening and waits for the requests in progress.
	Shutdown(ctx context.Context) error
}

// Shutdown ends the entry's service: new work is refused, the requests in
// progress are finished, and the slots are given back while Run still runs. When
// the context ends first, what is in progress is logged and answered as not run
// or unknown, and the error says how much it was.
func (s *Server) Shutdown(ctx context.Context, public, peers DrainableServer) error {
	s.beginDrain()
	public.Drain()
	s.logger.Info("shutdown began", "step", "drain", "calls", s.progress.count.Load())
	pause(ctx, drainNotice)
	// The listeners close connections when their context ends, so they get one
	// that outlasts the answers to abandoned calls.
	closing, closeNow := context.WithCancel(context.WithoutCancel(ctx))
	defer closeNow()
	done := make(chan error, 1)
	go func() { done <- public.Shutdown(closing) }()
	abandoned := s.finishCalls(ctx)
	if abandoned > 0 {
		limited, cancel := context.WithTimeout(closing, answerLimit)
		defer cancel()
		ctx = limited
	}
	err := awaitShutdown(ctx, done, closeNow)
	if err != nil {
		s.logger.Error("requests abandoned", "step", "drain", "answered", "unavailable, or not at all", "error", err)
	}
	if abandoned == 0 {
		s.giveBack(ctx)
	}
	if peerErr := peers.Shutdown(ctx); err == nil {
		err = peerErr
	}
	if abandoned > 0 {
		return fmt.Errorf("shutdown: %d calls abandoned", abandoned)
	}
	return err
}

// awaitShutdown waits for a listener's shutdown, and closes its connections when
// the context ends first.
func awaitShutdown(ctx context.Context, done <-chan error, closeNow func()) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		closeNow()
		return <-done
	}
}

// beginDrain stops the acceptance of new work.
func (s *Server) beginDrain() {
	s.draining.Store(true)
	s.routes.Drain()
	select {
	case s.relist <- struct{}{}:
	default:
	}
}

// finishCalls waits for the calls in progress and for their results to be
// recorded, and returns how many it had to abandon.
func (s *Server) finishCalls(ctx context.Context) int {
	for s.progress.count.Load() > 0 || s.background.Load() > 0 {
		if !pause(ctx, drainCheck) {
			return s.abandon()
		}
	}
	return 0
}

// abandon logs the calls in progress and lets their handlers answer.
func (s *Server) abandon() int {
	calls := s.progress.all()
	for _, p := range calls {
		answered := "not run"
		if !p.closeUnsent() {
			answered = "outcome unknown"
		}
		s.logger.Error("call abandoned", "step", "drain", "request", p.id, "team", p.team, "service", p.service, "answered", answered)
	}
	s.endBase()
	return len(calls)
}

// giveBack waits until the leader has taken the slots back.
func (s *Server) giveBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveBackLimit)
	defer cancel()
	for {
		held, _ := s.routes.HeldInstances()
		if held == 0 {
			return
		}
		if !pause(ctx, drainCheck) {
			s.logger.Warn("slots were not given back; their lease runs out", "step", "drain", "instances", held)
			return
		}
	}
}

// goBackground runs work that a drain waits for.
func (s *Server) goBackground(fn func()) {
	s.background.Add(1)
	go func() {
		defer s.background.Add(-1)
		fn()
	}()
}
