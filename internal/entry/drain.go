package entry

import (
	"context"
	"fmt"
	"time"
)

const (
	// drainRefusalTime is how long the entry still refuses requests on open
	// connections, so that clients and the load balancer turn to other entries.
	drainRefusalTime = 500 * time.Millisecond
	// drainPollInterval is how often a drain checks whether the calls have ended or
	// the slots are released.
	drainPollInterval = 10 * time.Millisecond
	// slotReleaseTimeout limits how long a drain waits after the last call for the
	// slots to be released. Slots that are not released stay unused until their lease
	// expires.
	slotReleaseTimeout = 2 * time.Second
	// abandonedAnswerTimeout limits the time for sending the answers to abandoned calls.
	abandonedAnswerTimeout = time.Second
)

// DrainableServer is an HTTP server of one of the entry's handlers.
type DrainableServer interface {
	// Drain makes the server ask its clients to use other connections.
	Drain()
	// Shutdown stops listening and waits for the requests in progress until the
	// context ends.
	Shutdown(ctx context.Context) error
}

// Shutdown refuses new work, waits for the requests in progress, and waits until the
// entry's slots are released, for which Run must still be running. If the context
// ends first, the calls in progress are logged and answered as not run or unknown,
// and the error says how many they were.
func (s *Server) Shutdown(ctx context.Context, public, peers DrainableServer) error {
	s.beginDrain()
	public.Drain()
	s.logger.Info("shutdown began", "step", "drain", "calls", s.activeCalls.count.Load())
	sleep(ctx, drainRefusalTime)
	// The servers close their connections when their context ends. The context of
	// the public server therefore ends only after the answers to abandoned calls.
	serverContext, closeNow := context.WithCancel(context.WithoutCancel(ctx))
	defer closeNow()
	done := make(chan error, 1)
	go func() { done <- public.Shutdown(serverContext) }()
	abandoned := s.finishCalls(ctx)
	if abandoned > 0 {
		limited, cancel := context.WithTimeout(serverContext, abandonedAnswerTimeout)
		defer cancel()
		ctx = limited
	}
	err := awaitShutdown(ctx, done, closeNow)
	if err != nil {
		s.logger.Error("requests abandoned", "step", "drain", "answered", "unavailable, or not at all", "error", err)
	}
	if abandoned == 0 {
		s.awaitSlotRelease(ctx)
	}
	if peerErr := peers.Shutdown(ctx); err == nil {
		err = peerErr
	}
	if abandoned > 0 {
		return fmt.Errorf("shutdown: %d calls abandoned", abandoned)
	}
	return err
}

// awaitShutdown waits for the shutdown of a server, and closes its connections if
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

// beginDrain makes the entry refuse new work, and announces this to the leader at
// once, so that the leader assigns the slots to other entries.
func (s *Server) beginDrain() {
	s.draining.Store(true)
	s.routes.Drain()
	select {
	case s.relistRequested <- struct{}{}:
	default:
	}
}

// finishCalls waits until the calls in progress have ended and their results are
// recorded. If the context ends first, it abandons the calls and returns how many
// they were.
func (s *Server) finishCalls(ctx context.Context) int {
	for s.activeCalls.count.Load() > 0 || s.background.Load() > 0 {
		if !sleep(ctx, drainPollInterval) {
			return s.abandon()
		}
	}
	return 0
}

// abandon logs the calls in progress, makes their handlers answer, and returns how
// many calls they were.
func (s *Server) abandon() int {
	calls := s.activeCalls.all()
	for _, p := range calls {
		outcome := "not run"
		if !p.preventSend() {
			outcome = "outcome unknown"
		}
		s.logger.Error("call abandoned", "step", "drain", "request", p.id, "team", p.team, "service", p.service, "answered", outcome)
	}
	s.cancelBase()
	return len(calls)
}

// awaitSlotRelease waits until the leader no longer assigns slots to this entry.
func (s *Server) awaitSlotRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, slotReleaseTimeout)
	defer cancel()
	for {
		held, _ := s.routes.HeldInstances()
		if held == 0 {
			return
		}
		if !sleep(ctx, drainPollInterval) {
			s.logger.Warn("slots were not released before the timeout; they stay unused until their lease expires", "step", "drain", "instances", held)
			return
		}
	}
}

// goBackground runs a function in a goroutine whose end a drain waits for.
func (s *Server) goBackground(fn func()) {
	s.background.Add(1)
	go func() {
		defer s.background.Add(-1)
		fn()
	}()
}
