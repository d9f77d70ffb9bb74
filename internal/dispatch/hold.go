package dispatch

import (
	"context"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// local is the worker's record as the session sees it.
type local struct {
	gone     bool
	noted    uint64
	attempts map[cell.TaskKey]cell.Attempt
	// brief is set if all of the attempts are of brief jobs.
	brief bool
	// targets are the bounds on the tails of the tasks that serve, in milliseconds,
	// and fills is set if others fill beside them.
	targets map[cell.TaskKey]int64
	fills   bool
}

func (s *session) view() local {
	var r local
	s.t.l.Store.View(func(v *cell.View) {
		w := v.Worker(s.target.ID)
		if w == nil || w.Born != s.born {
			r.gone = true
			return
		}
		r.gone, r.noted = w.Gone, w.LastEnd
		r.attempts = make(map[cell.TaskKey]cell.Attempt, len(w.Attempts))
		r.targets = map[cell.TaskKey]int64{}
		for k, a := range w.Attempts {
			r.attempts[k] = a
			r.fills = r.fills || a.Filler
			if j := v.Job(k.Job); j != nil && j.State == cell.Active && j.Steps[k.Step].TailLatencyTargetMS > 0 {
				r.targets[k] = j.Steps[k.Step].TailLatencyTargetMS
			}
		}
		r.brief = s.t.allBrief(v, r.attempts)
	})
	return r
}

// allBrief reports whether all of the attempts are of brief jobs, or of such that
// have ended.
func (t *term) allBrief(v *cell.View, attempts map[cell.TaskKey]cell.Attempt) bool {
	now := t.l.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range attempts {
		j := v.Job(k.Job)
		if j == nil || j.State != cell.Active {
			continue
		}
		times, known := t.times[k.OccurrenceKey()]
		if q := v.Queue(j.Queue); !known && q != nil {
			times, known = t.timesOf(k.StepKey, j, q, t.chains(j, q), now), true
		}
		if !known || !times.brief() {
			return false
		}
	}
	return true
}

// hold makes one hold and takes in its answer.
func (s *session) hold(state *local) {
	if !s.t.leads() {
		s.t.pause(retryPause)
		return
	}
	sent := s.t.l.Clock.Now()
	order := RenewLeaseOrder{Fence: s.t.number, AcknowledgedEnd: state.noted}
	lease, wait := s.t.lease, holdWait
	if state.brief {
		lease, wait = s.t.briefLease, briefHoldWait
	}
	if state.fills && len(state.targets) > 0 {
		wait = briefHoldWait // the tails are seen, and the fillers paced, in time
	}
	s.mu.Lock()
	if s.fenced && !s.failing && len(state.attempts) > 0 {
		order.MaxWait = wait
	}
	// A worker that does not answer gets no longer lease: any of the holds may
	// have been carried out, and its lease would never be known to have run out.
	if s.clock.known && len(state.attempts) > 0 && !s.failing {
		order.DeadlineMS = s.clock.estimate(sent) + lease.Milliseconds()
		s.leaseBound = max(s.leaseBound, s.clock.passed(order.DeadlineMS))
	}
	limit := order.MaxWait + callTimeout
	if left := s.leaseBound - sent; s.failing && left > 0 {
		limit = min(limit, left+retryPause) // the attempts are given up soon after
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	listing, err := s.t.l.Workers.RenewLease(ctx, s.target, &order)
	now := s.t.l.Clock.Now()
	if err != nil || listing.Answer != Done {
		s.holdFailed(state, listing, err, now)
		return
	}
	s.mu.Lock()
	wasFailing := s.failing
	s.failing, s.fenced = false, true
	s.heardAt = now
	s.clock.observe(listing.ClockMS, now)
	// The answer was given after the wait, so it tells of the present.
	s.answeredAt = now
	s.mu.Unlock()
	if wasFailing {
		s.t.l.Logger.Info("worker answers again", logging.Step("hold"), logging.Peer(s.target.ID))
	}
	if listing.Born != 0 && listing.Born != s.born {
		s.lifeOver("another life answers", listing.Born)
		return
	}
	s.takeIn(listing, sent, now)
}

// holdFailed handles a worker that does not answer.
func (s *session) holdFailed(state *local, listing *AttemptListing, err error, now time.Duration) {
	if s.ctx.Err() != nil {
		return
	}
	if err == nil && listing.Answer == WrongIncarnation {
		s.lifeOver("the address belongs to another worker", 0)
		return
	}
	s.mu.Lock()
	first := !s.failing
	s.failing = true
	bound := s.leaseBound
	s.mu.Unlock()
	if first {
		s.t.l.Logger.Warn("worker does not answer", logging.Step("hold"), logging.Peer(s.target.ID), "attempts", len(state.attempts), "lease_ms", (bound - now).Milliseconds(), "error", err)
	}
	if len(state.attempts) > 0 && now > bound && s.t.leads() {
		s.lapse("its lease has run out")
	}
	s.t.pause(retryPause)
}

// lapse gives up all attempts of the life.
func (s *session) lapse(why string) {
	s.t.l.metrics.lapses.Inc(1)
	s.t.l.Logger.Warn("attempts of worker given up", logging.Step("lapse"), logging.Peer(s.target.ID), "reason", why)
	if _, err := s.t.l.propose(s.ctx, &cell.Command{ExpireLease: &cell.ExpireLease{Worker: s.target.ID, Born: s.born}}); err != nil {
		s.t.l.Logger.Warn("lapse not committed", logging.Step("lapse"), logging.Peer(s.target.ID), logging.Error(err))
	}
}

// lifeOver handles a life that has certainly ended.
func (s *session) lifeOver(why string, successor int64) {
	s.lapse(why)
	s.mu.Lock()
	s.failing = true
	s.mu.Unlock()
	s.t.l.Logger.Info("life of worker is over", logging.Step("hold"), logging.Peer(s.target.ID), "reason", why, "born", s.born, "successor", successor)
	s.t.pause(probeInterval)
}
