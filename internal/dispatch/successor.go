package dispatch

import (
	"context"
	"sync"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// rejectPollInterval is how often a worker is asked whether an attempt that it stops has
// ended.
const rejectPollInterval = 20 * time.Millisecond

// isReplaced reports whether a later incarnation with the same ID is known.
func (s *session) isReplaced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced
}

// answeredBySuccessor reports whether the reply to an order that was sent at a time is
// certainly of a later incarnation, whose clock has started anew. Rejections may not state
// the clock.
func (s *session) answeredBySuccessor(sent time.Duration, r *OrderReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stated := r.ClockMS > 0 || r.Answer == Done
	return stated && s.clock.known && r.ClockMS < s.clock.atLeast(sent)
}

// rejectEarlierOrders makes the sender of a report reject the start orders for an earlier
// incarnation with its ID. Calls name the ID only, so the sender may have received them.
func (t *term) rejectEarlierOrders(r *cell.Register) {
	if s := t.sessionOf(r.ID); s != nil && s.born < r.Born {
		s.rejectOrders(Target{r.ID, r.Address})
	}
}

// rejectOrders makes the successor of the incarnation reject the start orders which the
// incarnation has not confirmed, and waits for the end of those that it has carried out. The
// tasks may start elsewhere once the incarnation is known to have ended.
func (s *session) rejectOrders(successor Target) {
	attempts := s.workerState().attempts
	rejected := map[attemptKey]bool{}
	s.mu.Lock()
	s.replaced = true
	for k, info := range s.attempts {
		if a, ok := attempts[k.task]; !info.confirmed && (info.startInFlight || ok && a.Run == k.run) {
			rejected[k] = true
		}
	}
	s.mu.Unlock()
	if len(rejected) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.t.ctx, callTimeout)
	defer cancel()
	var stops sync.WaitGroup
	for k := range rejected {
		stops.Go(func() {
			r, err := s.t.leader.Workers.Stop(ctx, successor, &StopOrder{Task: k.task, Run: k.run, Fence: s.fence})
			s.t.leader.Logger.Info("start order for an earlier life rejected", logging.Step("register"), logging.Peer(successor.ID), logging.Job(k.task.Job), "task", position(k.task), "run", k.run, "answer", r.Answer.String(), "error", err)
		})
	}
	stops.Wait()
	for ctx.Err() == nil {
		listing, err := s.t.leader.Workers.RenewLease(ctx, successor, &RenewLeaseOrder{Fence: s.fence})
		if err != nil || listing.Answer != Done || !lists(listing, rejected) {
			return
		}
		s.t.pause(rejectPollInterval)
	}
}

// lists reports whether one of the attempts is listed as running.
func lists(listing *AttemptListing, attempts map[attemptKey]bool) bool {
	for i := range listing.Running {
		if attempts[attemptKey{listing.Running[i].Task, listing.Running[i].Run}] {
			return true
		}
	}
	return false
}
