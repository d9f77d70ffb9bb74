package dispatch

import (
	"context"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// workerState is a copy of the worker's record in the replicated state.
type workerState struct {
	gone bool
	// departing is set once the worker has announced that it is shutting down.
	departing bool
	// acknowledgedEnd is the number of the newest end that is committed.
	acknowledgedEnd uint64
	attempts        map[cell.TaskKey]cell.Attempt
	// unansweredStarts is the number of unanswered starts that may not have settled, 0 if there
	// are none.
	unansweredStarts uint64
	// hasLosses is set if attempts were lost and it is not known whether the worker has
	// crashed.
	hasLosses bool
	// shortLease is set if all attempts belong to jobs that need a short lease.
	shortLease bool
	// targets holds the targets for the response time tails of the serving tasks,
	// in milliseconds.
	targets map[cell.TaskKey]int64
	// reborn is that of the record.
	reborn bool
	// hasFillers is set if fillers run on the worker.
	hasFillers bool
}

// workerState copies the worker's record. If another incarnation has replaced this
// one, the copy is marked as gone.
func (s *session) workerState() workerState {
	var r workerState
	var lasting []attemptKey
	s.t.leader.Store.View(func(v *cell.View) {
		w := v.Worker(s.target.ID)
		if w == nil || w.Born != s.born {
			r.gone = true
			return
		}
		r.reborn = w.Reborn
		if w.HasUnansweredStarts() {
			r.unansweredStarts = w.UnansweredStarts
		}
		r.gone, r.departing, r.acknowledgedEnd, r.hasLosses = w.Gone, w.Departing, w.LastEnd, len(w.Lost) > 0
		r.attempts = make(map[cell.TaskKey]cell.Attempt, len(w.Attempts))
		for k, a := range w.Attempts {
			r.attempts[k] = a
			r.hasFillers = r.hasFillers || a.Filler
			if j := v.Job(k.Job); j != nil && j.State == cell.Active && j.Steps[k.Step].TailLatencyTargetMS > 0 {
				if r.targets == nil {
					r.targets = map[cell.TaskKey]int64{}
				}
				r.targets[k] = j.Steps[k.Step].TailLatencyTargetMS
			}
		}
		for k, a := range r.attempts {
			if j := v.Job(k.Job); j != nil && j.Steps[k.Step].Daemon {
				lasting = append(lasting, attemptKey{k, a.Run})
			}
		}
		r.shortLease = s.t.allNeedShortLease(v, r.attempts)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range lasting {
		s.attemptInfo(k).lasting = true
	}
	return r
}

// allNeedShortLease reports whether all attempts belong to jobs that need a short
// lease. Attempts of jobs that have ended do not count.
func (t *term) allNeedShortLease(v *cell.View, attempts map[cell.TaskKey]cell.Attempt) bool {
	now := t.leader.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range attempts {
		j := v.Job(k.Job)
		if j == nil || j.State != cell.Active {
			continue
		}
		times, known := t.times[k.OccurrenceKey()]
		if q := v.QueueOf(j); !known && q != nil {
			times, known = t.timesOf(k.StepKey, j, q, t.remainingDurations(j, q), now), true
		}
		if !known || !times.needsShortLease() {
			return false
		}
	}
	return true
}

// renewLease sends one lease renewal and processes the answer.
func (s *session) renewLease(state *workerState) {
	// Read before the leadership is checked: the process may be paused in between, and the lease
	// must not last longer for it.
	sent := s.t.leader.Clock.Now()
	if !s.t.leads() {
		s.t.pause(retryDelay)
		return
	}
	order := RenewLeaseOrder{Fence: s.fence}
	lease, wait := s.t.lease, renewalWait
	if state.shortLease {
		lease, wait = s.t.shortLease, shortRenewalWait
	}
	if state.hasFillers && len(state.targets) > 0 {
		wait = shortRenewalWait // so that the fillers are slowed down in time
	}
	// A start order that is carried out by a later incarnation, followed by an acknowledgement for
	// this one, would end a run there and delete its end unread.
	startUnanswered := s.t.outstanding.hasUnanswered(s.target.ID, sent)
	s.mu.Lock()
	if s.listed && !startUnanswered {
		order.AcknowledgedEnd = state.acknowledgedEnd
	}
	s.listed = false
	if s.fenced && !s.failing && len(state.attempts) > 0 {
		order.MaxWait = wait
	}
	// Do not extend the lease of a worker that does not answer: any of the
	// renewals may have been carried out, so the time at which its lease has
	// certainly expired would move on with each of them.
	if s.clock.known && len(state.attempts) > 0 && !s.failing && !state.departing && !s.needsFence() {
		order.DeadlineMS = s.clock.estimate(sent) + lease.Milliseconds()
		s.latestLeaseEnd = max(s.latestLeaseEnd, s.clock.certainlyPassed(order.DeadlineMS))
		s.lastGrant = sent
	}
	timeout := order.MaxWait + callTimeout
	if remaining := s.leaseEnd() - sent; s.failing && remaining > 0 {
		timeout = min(timeout, remaining+retryDelay) // the attempts are closed soon after
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	listing, err := s.t.leader.Workers.RenewLease(ctx, s.target, &order)
	now := s.t.leader.Clock.Now()
	if err != nil || listing.Answer != Done {
		s.renewalFailed(state, listing, err, now)
		return
	}
	if listing.Born != 0 && listing.Born != s.born {
		s.t.leader.metrics.answersOfSuccessors.Inc(1)
		s.t.leader.Logger.Warn("renewal for an earlier life carried out by its successor", logging.Step("hold"), logging.Peer(s.target.ID), "born", s.born, "successor", listing.Born,
			"acked_upto", order.AcknowledgedEnd, "deadline_ms", order.DeadlineMS, "clock_ms", listing.ClockMS)
		s.incarnationOver(now, "a later incarnation answers")
		s.t.pause(probeInterval)
		return
	}
	s.mu.Lock()
	wasFailing := s.failing
	if s.doubtAt > 0 && sent > s.doubtAt {
		s.doubtAt, s.inheritedEnd, s.inheritedCommitted = 0, 0, false
	}
	s.failing, s.listed = false, true
	s.fenceAccepted(now)
	s.lastContact, s.aliveAt = now, max(s.aliveAt, sent)
	s.clock.observe(listing.ClockMS, now)
	// The worker answered after the wait, so the answer counts from now rather
	// than from when the call was sent.
	s.lastAnswered = now
	s.mu.Unlock()
	if wasFailing {
		s.t.leader.Logger.Info("worker answers again", logging.Step("hold"), logging.Peer(s.target.ID))
	}
	s.processListing(listing, sent, now)
}

// renewalFailed handles a lease renewal that had no answer or was not carried out.
// Once the worker's lease has certainly expired it closes the attempts.
func (s *session) renewalFailed(state *workerState, listing *AttemptListing, err error, now time.Duration) {
	if s.ctx.Err() != nil {
		return
	}
	if err == nil && listing.Answer == WrongIncarnation {
		s.addressReused()
		return
	}
	s.mu.Lock()
	firstFailure := !s.failing
	s.failing = true
	leaseEnd := s.leaseEnd()
	s.mu.Unlock()
	if firstFailure {
		s.t.leader.Logger.Warn("worker does not answer", logging.Step("hold"), logging.Peer(s.target.ID), "attempts", len(state.attempts), "lease_ms", (leaseEnd - now).Milliseconds(), "error", err)
	}
	if expired := s.selectAttempts(state, func(k attemptKey, a cell.Attempt) bool { return s.leaseExpired(k, a, now) }); len(expired) > 0 && s.t.leads() {
		s.endAttempts("its lease has run out", state, expired)
	}
	s.t.pause(retryDelay)
}

// selectAttempts returns the attempts on the incarnation for which selected, which is called
// with the lock held, returns true.
func (s *session) selectAttempts(state *workerState, selected func(k attemptKey, a cell.Attempt) bool) []cell.StartedAttempt {
	var list []cell.StartedAttempt
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, a := range state.attempts {
		if selected(attemptKey{key, a.Run}, a) {
			list = append(list, cell.StartedAttempt{Task: key, Run: a.Run})
		}
	}
	return list
}

// endAttempts commits the ends of attempts on the incarnation that have certainly ended, because
// their lease has expired or the incarnation has ended.
func (s *session) endAttempts(reason string, state *workerState, ended []cell.StartedAttempt) {
	s.mu.Lock()
	leaseEnd, granted := s.leaseEnd(), s.lastGrant
	s.mu.Unlock()
	now := s.t.leader.Clock.Now()
	s.t.leader.metrics.lapses.Inc(1)
	s.t.leader.Logger.Warn("attempts of worker given up", logging.Step("lapse"), logging.Peer(s.target.ID), "born", s.born, "reason", reason, "attempts", len(ended),
		"left", len(state.attempts)-len(ended), "lease_ended_ms", (now - leaseEnd).Milliseconds(), "last_grant_ms", (now - granted).Milliseconds())
	if state.departing {
		s.commitDepartedEnds(ended)
		return
	}
	// The attempts are named because others may be placed before the command is applied.
	s.commitExpiry(&cell.ExpireLease{
		Worker: s.target.ID, Born: s.born, Started: s.startedAttempts(), RanOut: s.leaseRanOut(), Begun: s.runningJobs(), Selected: true, Ended: ended,
	})
}

// commitExpiry commits which attempts have ended or may run on a later incarnation, and reports
// whether it succeeded.
func (s *session) commitExpiry(c *cell.ExpireLease) bool {
	_, err := s.t.leader.propose(s.ctx, &cell.Command{ExpireLease: c})
	if err != nil {
		s.t.leader.Logger.Warn("failed to commit the expiry of the worker's lease", logging.Step("lapse"), logging.Peer(s.target.ID), logging.Error(err))
	}
	return err == nil
}

// addressReused handles an incarnation that has certainly ended, because its address belongs
// to a worker with another ID, which rejects all orders for it.
func (s *session) addressReused() {
	const reason = "the address belongs to another worker"
	s.mu.Lock()
	s.failing = true // before the commit, which takes a while
	s.mu.Unlock()
	state := s.workerState()
	if all := s.selectAttempts(&state, func(attemptKey, cell.Attempt) bool { return true }); len(all) > 0 {
		s.endAttempts(reason, &state, all)
	}
	s.t.leader.Logger.Info("life of worker is over", logging.Step("hold"), logging.Peer(s.target.ID), "reason", reason, "born", s.born)
	s.t.pause(probeInterval)
}
