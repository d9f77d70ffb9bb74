package dispatch

import (
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

type attemptKey struct {
	task cell.TaskKey
	run  uint32
}

// attemptInfo is what is known of an attempt beyond the replicated state.
type attemptInfo struct {
	deadlineMS  int64
	sending     bool
	confirmed   bool
	confirmedAt time.Duration
	stopped     bool
	stoppedAt   time.Duration
	saved       string
	// percent is the progress listed last, movedAt when it was seen to change.
	percent float64
	movedAt time.Duration
	// inherited attempts were committed by an earlier leader.
	inherited bool
	// workingAt is when a lasting attempt was first listed at work without a break.
	workingAt time.Duration
	// slowedBy is by how many percent its pace was lowered.
	slowedBy int
	// seenAt is when an attempt without an order was first looked at.
	seenAt time.Duration
}

// standstill is after how long without progress an attempt is stopped and started
// elsewhere: the longest tasks advance by a percent in 0.2 s on a sound worker and
// in 1.3 s on one that is 6.5 times slower.
const standstill = 1600 * time.Millisecond

// orphanAge is after how long an attempt that was committed but never ordered is
// given up: its proposal had no answer in time and it was never sent.
const orphanAge = proposeTimeout + time.Second

// takeIn compares a listing with the attempts committed to the worker.
func (s *session) takeIn(listing *AttemptListing, sent, now time.Duration) {
	state := s.view()
	listed := map[attemptKey]bool{}
	for i := range listing.Running {
		r := &listing.Running[i]
		listed[attemptKey{r.Task, r.Run}] = true
		if a, ok := state.attempts[r.Task]; !ok || a.Run != r.Run {
			s.t.spawn(func() { s.stop(r.Task, r.Run) })
			continue
		}
		s.progress(r, now)
		if k := (attemptKey{r.Task, r.Run}); s.stuck(k, now) && s.t.single(r.Task) {
			s.t.speeds.hung(s.target.ID, now)
			s.t.l.Logger.Warn("attempt stands still", logging.Step("hold"), logging.Peer(s.target.ID), logging.Job(r.Task.Job), "task", position(r.Task), "run", r.Run, "percent", r.ProgressPercent)
			s.t.spawn(func() { s.stop(r.Task, r.Run) })
		}
	}
	s.pace(listing, &state)
	upto := state.noted
	var ends []cell.AttemptEnd
	for i := range listing.Ended {
		e := &listing.Ended[i]
		listed[attemptKey{e.Task, e.Run}] = true
		if e.Number <= state.noted {
			continue
		}
		upto = max(upto, e.Number)
		if a, ok := state.attempts[e.Task]; ok && a.Run == e.Run {
			s.finished(e, now)
			ends = append(ends, e.AttemptEnd)
		}
	}
	for key, a := range state.attempts {
		k := attemptKey{key, a.Run}
		if listed[k] {
			continue
		}
		if how, gone := s.absent(k, listing, sent, now); gone {
			ends = append(ends, cell.AttemptEnd{Task: key, Run: a.Run, Outcome: how, Checkpoint: s.savedOf(k)})
		}
	}
	if len(ends) == 0 && upto == state.noted {
		return
	}
	if err := s.t.note(s.target.ID, s.born, upto, ends); err != nil {
		s.t.l.Logger.Warn("ends not committed", logging.Step("note ends"), logging.Peer(s.target.ID), logging.Error(err))
		s.t.pause(retryPause)
		return
	}
	for i := range ends {
		e := &ends[i]
		s.t.l.metrics.ended(e.Outcome)
		s.t.l.Logger.Info("attempt ended", logging.Step("note ends"), logging.Job(e.Task.Job), "task", position(e.Task), "run", e.Run, logging.Peer(s.target.ID),
			"how", e.Outcome.String(), "took_ms", s.tookOf(e, now).Milliseconds())
	}
	s.t.logEnded(ends)
	s.mu.Lock()
	for i := range ends {
		delete(s.attempts, attemptKey{ends[i].Task, ends[i].Run})
	}
	s.mu.Unlock()
}

// info returns what is known of an attempt.
func (s *session) info(k attemptKey) *attemptInfo {
	i := s.attempts[k]
	if i == nil {
		i = &attemptInfo{}
		s.attempts[k] = i
	}
	return i
}

func (s *session) progress(r *RunningAttempt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.info(attemptKey{r.Task, r.Run})
	if !i.confirmed {
		i.confirmed, i.confirmedAt = true, now
	}
	if r.Checkpoint != "" {
		i.saved = r.Checkpoint
	}
	switch {
	case r.ProgressPercent < fullPace:
		i.workingAt = 0
	case i.workingAt == 0:
		i.workingAt = now
	}
	if r.ProgressPercent != i.percent || i.movedAt == 0 {
		i.percent, i.movedAt = r.ProgressPercent, now
	}
}

// atWorkSince reports whether an attempt was at work at a time and has been since.
func (s *session) atWorkSince(k attemptKey, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.attempts[k]
	return i != nil && !i.stopped && i.workingAt > 0 && i.workingAt <= at
}

// stuck reports whether an attempt has stood still for too long.
func (s *session) stuck(k attemptKey, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.info(k)
	return now-i.movedAt > standstill && !i.stopped
}

func (s *session) savedOf(k attemptKey) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info(k).saved
}

// tookOf returns how long an attempt ran as far as is known.
func (s *session) tookOf(e *cell.AttemptEnd, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.info(attemptKey{e.Task, e.Run}); i.confirmed {
		return now - i.confirmedAt
	}
	return 0
}

// finished learns from an attempt that has ended.
func (s *session) finished(e *ListedEnd, now time.Duration) {
	took := s.tookOf(&e.AttemptEnd, now)
	if e.Outcome == cell.EndedFailed {
		s.t.failed(s.target.ID, e.Task, now)
	}
	if e.Outcome == cell.EndedDone {
		s.t.learn(s.target.ID, e.Task, took)
	}
}

// absent decides on an attempt that the worker lists neither as running nor as
// ended.
func (s *session) absent(k attemptKey, listing *AttemptListing, sent, now time.Duration) (cell.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.info(k)
	switch {
	case i.sending:
		return 0, false
	case i.confirmed && i.confirmedAt < sent:
		return cell.EndedEarly, true
	case i.confirmed:
		return 0, false
	case i.stopped && i.stoppedAt < sent:
		return cell.EndedUnstarted, true
	case i.inherited:
		// The worker refuses the fence under which it was ordered.
		return cell.EndedUnstarted, true
	case i.deadlineMS > 0:
		return cell.EndedUnstarted, listing.ClockMS > i.deadlineMS
	case i.seenAt == 0:
		i.seenAt = now
	}
	return cell.EndedUnstarted, now-i.seenAt > orphanAge
}
