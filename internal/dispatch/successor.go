package dispatch

import (
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// maxOrderDelay is after how long an order that had no answer is certainly not carried out any
// more. The platform says that it may be carried out seconds later.
const maxOrderDelay = 15 * time.Second

// longestLease returns the time within which the longest lease that a worker accepts has
// certainly expired, even on the slowest clock: the margin is twice the drift.
func (t *term) longestLease() time.Duration {
	return t.leader.Bounds.MaxLease + t.leader.Bounds.MaxLease/25 + 10*timerMargin
}

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

// earlierIncarnation is what a leader knows about the incarnation that a registration replaces.
type earlierIncarnation struct {
	// born is 0 if the worker's ID is new.
	born int64
	// unprovenStarts is the number of attempts whose start order may be carried out by the
	// successor.
	unprovenStarts int
	// leaseUnproven is how long ago an order was sent that extends the lease and that the
	// earlier incarnation has not certainly received, 0 if there is none.
	leaseUnproven time.Duration
}

// earlierIncarnation describes the incarnation that a registration replaces under the same ID.
func (t *term) earlierIncarnation(r *cell.Register) earlierIncarnation {
	s := t.sessionOf(r.ID)
	if s == nil || s.born >= r.Born {
		return earlierIncarnation{}
	}
	state := s.workerState()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := earlierIncarnation{born: s.born}
	for key, a := range state.attempts {
		if !s.isProven(attemptKey{key, a.Run}, t.leader.Clock.Now()) {
			e.unprovenStarts++
		}
	}
	if s.lastGrant > s.aliveAt {
		e.leaseUnproven = t.leader.Clock.Now() - s.lastGrant
	}
	return e
}

// isProven reports whether an attempt certainly ends with the incarnation: that has listed it, or
// was still there after the start order had been answered, and no try of the order may still be
// carried out. The answer to a start alone may be that of a successor. The caller holds s.mu.
func (s *session) isProven(k attemptKey, now time.Duration) bool {
	info := s.attempts[k]
	switch {
	case info == nil || s.t.outstanding.mayArrive(s.target.ID, k, now):
		return false
	case info.orderedBefore && s.aliveAt < s.began+maxOrderDelay:
		return false // it is not known which tries had no answer
	}
	return info.listed || info.startAnsweredAt > 0 && s.aliveAt > info.startAnsweredAt
}

// replaceIncarnation makes the session of the incarnation before a registration send no more starts, and
// returns the attempts that the incarnation itself has certainly started. They have ended with
// it. The successor may carry out the start orders for the others.
func (t *term) replaceIncarnation(r *cell.Register) (proven []cell.StartedAttempt) {
	s := t.sessionOf(r.ID)
	if s == nil || s.born >= r.Born {
		return nil
	}
	state, now := s.workerState(), t.leader.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = true
	for key, a := range state.attempts {
		if s.isProven(attemptKey{key, a.Run}, now) {
			proven = append(proven, cell.StartedAttempt{Task: key, Run: a.Run})
		}
	}
	return proven
}

// incarnationOver handles an incarnation that has certainly ended although its ID may go on.
// Attempts that may run on a later incarnation are left until that has registered, or until none
// of them can run any more.
func (s *session) incarnationOver(now time.Duration, reason string) {
	s.mu.Lock()
	if !s.incarnationIsOver {
		s.inheritedEnd = now + maxOrderDelay + s.t.longestLease()
	}
	s.failing, s.replaced, s.incarnationIsOver = true, true, true // before the commit, which takes a while
	over := now > s.inheritedEnd
	s.mu.Unlock()
	state := s.workerState()
	if ended := s.selectAttempts(&state, func(k attemptKey, _ cell.Attempt) bool { return over || s.isProven(k, now) }); len(ended) > 0 {
		s.endAttempts(reason, &state, ended)
	}
	s.commitInherited()
	s.t.leader.Logger.Info("life of worker is over", logging.Step("hold"), logging.Peer(s.target.ID), "reason", reason, "born", s.born)
}

// incarnationInDoubt handles the answer to a start order that seems to be of a later incarnation.
// The next listing states which one it is of. Until then the attempts that are not proven are
// treated as if they ran on the later one.
func (s *session) incarnationInDoubt(now time.Duration) {
	s.mu.Lock()
	if s.doubtAt == 0 && !s.incarnationIsOver {
		s.inheritedEnd = now + maxOrderDelay + s.t.longestLease()
	}
	s.doubtAt, s.listed = now, false
	s.mu.Unlock()
	s.wakeUp()
	s.commitInherited()
}

// commitInherited commits which attempts may run on a later incarnation, unless it has succeeded
// before. Later leaders have to know them.
func (s *session) commitInherited() {
	state, now := s.workerState(), s.t.leader.Clock.Now()
	left := s.selectAttempts(&state, func(k attemptKey, a cell.Attempt) bool { return !a.Inherited && !s.isProven(k, now) })
	s.mu.Lock()
	stated := s.inheritedCommitted
	s.mu.Unlock()
	if stated || len(left) == 0 {
		return
	}
	if s.commitExpiry(&cell.ExpireLease{Worker: s.target.ID, Born: s.born, Selected: true, Inherited: left}) {
		s.mu.Lock()
		s.inheritedCommitted = true
		s.mu.Unlock()
	}
}

// leaseEnd returns the time from which every lease of the incarnation has certainly expired. The
// caller holds s.mu.
func (s *session) leaseEnd() time.Duration { return max(s.latestLeaseEnd, s.earlierLeaseEnd) }

// mayStartLater reports whether a later incarnation may carry out a start order for an attempt that
// had no answer. If none is known, one has to be expected only where workers come back under their
// IDs, and lasting tasks must not wait for one: they have to be at work again soon. The caller holds
// s.mu.
func (s *session) mayStartLater(k attemptKey, laterIsKnown bool, now time.Duration) bool {
	info := s.attempts[k]
	isExpected := s.t.workersReturn.Load() && (info == nil || !info.lasting)
	return (laterIsKnown || isExpected) && s.t.outstanding.mayArrive(s.target.ID, k, now)
}

// leaseExpired reports whether an attempt has certainly ended because no lease under which it
// may run is left, and cannot start any more. The caller holds s.mu.
func (s *session) leaseExpired(k attemptKey, a cell.Attempt, now time.Duration) bool {
	mayRunElsewhere := a.Inherited || (s.incarnationIsOver || s.doubtAt > 0) && !s.isProven(k, now)
	if s.mayStartLater(k, mayRunElsewhere, now) {
		return false
	}
	if mayRunElsewhere && now <= s.inheritedEnd {
		return false
	}
	return now > s.leaseEnd()
}

// fenceAccepted records that the incarnation has accepted an order of this term: from now on it
// rejects those for earlier incarnations. Each of them may have given it the longest lease just
// before. The caller holds s.mu.
func (s *session) fenceAccepted(now time.Duration) {
	if s.fenced {
		return
	}
	s.fenced = true
	if s.isLater {
		s.earlierLeaseEnd = now + s.t.longestLease()
	}
	s.inheritedEnd = min(s.inheritedEnd, now+s.t.longestLease())
}

// earlierOrdersOver reports whether no order for an earlier incarnation can have an effect any
// more: this one rejects them, and the leases that they may have given it have expired.
func (s *session) earlierOrdersOver(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fenced && now > s.earlierLeaseEnd && now > s.inheritedEnd
}
