package dispatch

import (
	"math"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task cell.TaskKey
	run  uint32
}

// attemptInfo is what a session has recorded of an attempt beyond the replicated
// state.
type attemptInfo struct {
	// deadlineMS is the deadline of the start order on the worker's clock, 0 if
	// this term has sent none.
	deadlineMS int64
	// startInFlight is set while the start order is being sent.
	startInFlight bool
	// confirmed is set once the worker has started or listed the attempt.
	confirmed   bool
	confirmedAt time.Duration
	// stopped is set once the worker has carried out a stop order.
	stopped    bool
	stoppedAt  time.Duration
	checkpoint string
	// percent is the progress in the newest listing; progressAt is when it last
	// changed, or when the speed of the attempt was last lowered.
	percent    float64
	progressAt time.Duration
	// expected is how long the attempt should run on a worker of mean speed, 0 if that is
	// not known.
	expected time.Duration
	// lasting is set if the task is a daemon's.
	lasting bool
	// orderedBefore is set if the start order was sent before the session, by an earlier leader or
	// to an earlier incarnation.
	orderedBefore bool
	// servingSince is when a daemon attempt was first listed as serving, 0 if
	// the newest listing does not show it as serving.
	servingSince time.Duration
	// speedReduction is by how many percent the speed of the attempt is lowered.
	speedReduction int
	// firstUnlisted is when an attempt without a start order was first missing
	// from a listing.
	firstUnlisted time.Duration
	// startAnsweredAt is when a start order for the attempt was answered, 0 if none was, and
	// listed is set once the incarnation has listed the attempt itself.
	startAnsweredAt time.Duration
	listed          bool
}

// stallTimeout is how long an attempt may run without progress before it is
// stopped, so that it starts elsewhere. The longest tasks advance by one percent
// in 0.2 s on a sound worker and in 1.3 s on one that is 6.5 times slower.
const stallTimeout = 1600 * time.Millisecond

// maxStallDoublings bounds how often stallTimeout is doubled for a task that was stopped
// because it made no progress: the cause may be the task itself.
const maxStallDoublings = 8

// orphanTimeout is how long an attempt may be committed without a start order
// before it is closed. This happens if its proposal had no answer in time, so that
// the order was never sent.
const orphanTimeout = proposeTimeout + time.Second

// commitWaitDivisor is the part of the lease for which its renewal waits for the commit of
// listed ends: a renewal that fails must leave time for others.
const commitWaitDivisor = 3

// processListing compares a listing with the attempts that are committed to the
// worker: it stops unwanted and stalled attempts and commits the ends of others.
// sent is when the call was sent.
func (s *session) processListing(listing *AttemptListing, sent, now time.Duration) {
	state := s.workerState()
	listed := map[attemptKey]bool{}
	unknown := 0
	for i := range listing.Ended {
		s.t.outstanding.attemptListed(s.target.ID, attemptKey{listing.Ended[i].Task, listing.Ended[i].Run})
	}
	for i := range listing.Running {
		r := &listing.Running[i]
		listed[attemptKey{r.Task, r.Run}] = true
		s.t.outstanding.attemptListed(s.target.ID, attemptKey{r.Task, r.Run})
		if a, ok := state.attempts[r.Task]; !ok || a.Run != r.Run {
			unknown++
			s.t.leader.metrics.unknownAttempts.Inc(1)
			s.t.leader.Logger.Warn("worker runs an attempt that is not committed to it", logging.Step("hold"), logging.Peer(s.target.ID), "born", s.born, logging.Job(r.Task.Job), "task", position(r.Task), "run", r.Run, "percent", r.ProgressPercent)
			s.t.spawn(func() { s.stop(r.Task, r.Run) })
			continue
		}
		s.recordProgress(r, now)
		if k := (attemptKey{r.Task, r.Run}); s.stalled(k, now) && s.t.runsIndependently(r.Task) {
			s.t.recordStall(k)
			s.t.stats.recordStall(s.target.ID, now)
			s.t.leader.Logger.Warn("attempt stands still", logging.Step("hold"), logging.Peer(s.target.ID), logging.Job(r.Task.Job), "task", position(r.Task), "run", r.Run, "percent", r.ProgressPercent)
			s.t.spawn(func() { s.stop(r.Task, r.Run) })
		}
	}
	s.mu.Lock()
	s.runsUnknown = unknown > 0
	s.mu.Unlock()
	s.commitRunTimes(listing.Running, &state)
	s.pace(listing, &state)
	if s.commitInProgress != nil {
		if !s.awaitCommit(state.shortLease) {
			return // these ends are listed again
		}
		if state = s.workerState(); state.gone {
			return
		}
	}
	lastEnd, heldEnd := state.acknowledgedEnd, uint64(math.MaxUint64)
	var ends []cell.AttemptEnd
	for i := range listing.Ended {
		e := &listing.Ended[i]
		listed[attemptKey{e.Task, e.Run}] = true
		if e.Number <= state.acknowledgedEnd {
			continue
		}
		a, committed := state.attempts[e.Task]
		committed = committed && a.Run == e.Run
		if committed && e.Outcome != cell.EndedDone && s.mayStartAgain(attemptKey{e.Task, e.Run}, now) {
			heldEnd = min(heldEnd, e.Number) // recorded once the task can start elsewhere
			continue
		}
		lastEnd = max(lastEnd, e.Number)
		if committed {
			s.recordEnd(e, now)
			ends = append(ends, e.AttemptEnd)
		} else if e.Outcome == cell.EndedDone {
			s.reportUnrecordedEnd(e)
		}
	}
	lastEnd = min(lastEnd, heldEnd-1)
	s.pauseForEnds = s.heldEndsPause(len(listing.Ended), heldEnd < math.MaxUint64, now)
	if listing.EndsTruncated {
		s.t.leader.metrics.truncatedListings.Inc(1)
	} else {
		ends = append(ends, s.unlistedEnds(listing, listed, &state, sent, now)...)
	}
	alive := state.hasLosses && listing.Born == s.born
	over := state.reborn && s.earlierOrdersOver(now)
	settled := s.settledStarts(&state, now)
	if len(ends) == 0 && lastEnd == state.acknowledgedEnd && !alive && !over && settled == 0 {
		return
	}
	committed := make(chan struct{})
	s.commitInProgress = committed
	s.t.spawn(func() {
		defer close(committed)
		s.commitListed(&cell.RecordEnds{Worker: s.target.ID, Born: s.born, LastEnd: lastEnd, Ends: ends, Alive: alive, EarlierOrdersOver: over, SettledStarts: settled}, now)
	})
	s.awaitCommit(state.shortLease)
}

// mayStartAgain is mayStartLater for an attempt that the incarnation lists as ended.
func (s *session) mayStartAgain(k attemptKey, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayStartLater(k, false, now)
}

// reportUnrecordedEnd logs the end as done of an attempt that is not committed to the worker, if its
// task is not done: the attempt was given up although it ran, and its end will be acknowledged.
func (s *session) reportUnrecordedEnd(e *ListedEnd) {
	if !s.t.isUndone(e.Task) {
		return
	}
	s.t.leader.metrics.unrecordedEnds.Inc(1)
	s.t.leader.Logger.Warn("end of an attempt that was given up", logging.Step("note ends"), logging.Peer(s.target.ID), "born", s.born, logging.Job(e.Task.Job), "task", position(e.Task), "run", e.Run, "number", e.Number)
}

// isUndone reports whether a task of an active job, which a worker names, is not done.
func (t *term) isUndone(k cell.TaskKey) bool {
	undone := false
	t.leader.Store.View(func(v *cell.View) {
		j := v.Job(k.Job)
		if j == nil || j.State != cell.Active || k.Step >= len(j.Steps) || j.Steps[k.Step].Daemon || k.Occurrence >= len(j.Occurrences) {
			return
		}
		tasks := j.Occurrences[k.Occurrence][k.Step].Tasks
		undone = k.Index < len(tasks) && !tasks[k.Index].Done
	})
	return undone
}

// heldEndsPause returns how long to wait before the next renewal, given the number of listed ends
// and whether one of them must stay listed: a worker answers at once as long as it has ends.
func (s *session) heldEndsPause(ends int, held bool, now time.Duration) time.Duration {
	if ends > 0 && (held || s.t.outstanding.hasUnanswered(s.target.ID, now)) {
		return heldEndsInterval
	}
	return 0
}

// settledStarts returns the number of unanswered starts in the state if none of them may be
// carried out any more, 0 if some may or there are none.
func (s *session) settledStarts(state *workerState, now time.Duration) uint64 {
	if s.t.outstanding.hasUnanswered(s.target.ID, now) {
		return 0
	}
	return state.unansweredStarts
}

// unlistedEnds returns the ends of the committed attempts that a complete listing does not
// contain and that have certainly ended or can no longer start.
func (s *session) unlistedEnds(listing *AttemptListing, listed map[attemptKey]bool, state *workerState, sent, now time.Duration) []cell.AttemptEnd {
	var ends []cell.AttemptEnd
	for key, a := range state.attempts {
		k := attemptKey{key, a.Run}
		if listed[k] {
			continue
		}
		if outcome, ended := s.unlistedOutcome(k, listing, sent, now); ended {
			ends = append(ends, cell.AttemptEnd{Task: key, Run: a.Run, Outcome: outcome, Checkpoint: s.checkpointOf(k)})
		}
	}
	return ends
}

// awaitCommit waits for the commit of listed ends that is in progress, but not for so long
// that the lease of the worker's other attempts could expire. It reports whether the commit
// is done.
func (s *session) awaitCommit(shortLease bool) bool {
	lease := s.t.lease
	if shortLease {
		lease = s.t.shortLease
	}
	timer := time.NewTimer(lease / commitWaitDivisor)
	defer timer.Stop()
	select {
	case <-s.commitInProgress:
		s.commitInProgress = nil
		return true
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}

// attemptEnded is the message of the log line for the end of an attempt.
const attemptEnded = "attempt ended"

// commitListed commits ends of attempts that were listed at the time now.
func (s *session) commitListed(c *cell.RecordEnds, now time.Duration) {
	if err := s.t.commitEnds(c); err != nil {
		s.t.leader.Logger.Warn("failed to commit ends of attempts", logging.Step("note ends"), logging.Peer(s.target.ID), logging.Error(err))
		s.t.pause(retryDelay)
		return
	}
	for i := range c.Ends {
		e := &c.Ends[i]
		s.t.leader.metrics.countEnd(e.Outcome)
		if logging.Drops(s.t.leader.Logger, attemptEnded) {
			continue
		}
		s.t.leader.Logger.Info(attemptEnded, logging.Step("note ends"), logging.Job(e.Task.Job), "task", position(e.Task), "run", e.Run, logging.Peer(s.target.ID),
			"how", e.Outcome.String(), "took_ms", s.runTimeOf(e, now).Milliseconds())
	}
	s.t.logEndedJobs(c.Ends)
	s.mu.Lock()
	for i := range c.Ends {
		delete(s.attempts, attemptKey{c.Ends[i].Task, c.Ends[i].Run})
	}
	s.mu.Unlock()
}

// attemptInfo returns the record of an attempt and creates it if needed. The
// caller holds s.mu.
func (s *session) attemptInfo(k attemptKey) *attemptInfo {
	info := s.attempts[k]
	if info == nil {
		info = &attemptInfo{}
		s.attempts[k] = info
	}
	return info
}

// recordProgress records an attempt that is listed as running.
func (s *session) recordProgress(r *RunningAttempt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.attemptInfo(attemptKey{r.Task, r.Run})
	info.listed = true
	if !info.confirmed {
		info.confirmed, info.confirmedAt = true, now
	}
	if r.Checkpoint != "" {
		info.checkpoint = r.Checkpoint
	}
	switch {
	case r.ProgressPercent < fullPace:
		info.servingSince = 0
	case info.servingSince == 0:
		info.servingSince = now
	}
	if r.ProgressPercent != info.percent || info.progressAt == 0 || info.speedReduction > 0 {
		info.percent, info.progressAt = r.ProgressPercent, now
	}
}

// hasServedSince reports whether a daemon attempt was serving at a time and has
// been since.
func (s *session) hasServedSince(k attemptKey, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.attempts[k]
	return info != nil && !info.stopped && info.servingSince > 0 && info.servingSince <= at
}

// stalled reports whether an attempt has made no progress for longer than its task may and
// was not stopped yet.
func (s *session) stalled(k attemptKey, now time.Duration) bool {
	timeout := s.t.stallTimeout(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.attemptInfo(k)
	return now-info.progressAt > timeout && !info.stopped
}

// taskStalls counts the attempts of a task that were stopped because they made no progress.
type taskStalls struct {
	count int
	// run is the newest of them.
	run uint32
}

// stallTimeout returns how long an attempt may run without progress.
func (t *term) stallTimeout(k attemptKey) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	stalls := t.stalls[k.task]
	earlier := stalls.count
	if stalls.run == k.run {
		earlier-- // the count includes this attempt, whose stop may have to be repeated
	}
	return stallTimeout << max(0, min(earlier, maxStallDoublings))
}

// recordStall records that an attempt is being stopped because it makes no progress.
func (t *term) recordStall(k attemptKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stalls := t.stalls[k.task]; stalls.run != k.run {
		t.stalls[k.task] = taskStalls{stalls.count + 1, k.run}
	}
}

// checkpointOf returns the newest listed checkpoint of an attempt.
func (s *session) checkpointOf(k attemptKey) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attemptInfo(k).checkpoint
}

// runTimeOf returns how long an attempt has run since its start was confirmed, 0
// if it was not.
func (s *session) runTimeOf(e *cell.AttemptEnd, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if info := s.attemptInfo(attemptKey{e.Task, e.Run}); info.confirmed {
		return now - info.confirmedAt
	}
	return 0
}

// recordEnd adds an ended attempt to the worker's statistics.
func (s *session) recordEnd(e *ListedEnd, now time.Duration) {
	took, tookCold := s.runTimeOf(&e.AttemptEnd, now), time.Duration(0)
	if i := (incarnation{s.target.ID, s.born}); s.t.cold.isCold(i, now-took) {
		if s.t.cold.isCold(i, now) {
			tookCold = took
		}
		took = 0 // its run time says nothing about the speed of the worker once it is warm
	}
	if e.Outcome == cell.EndedFailed {
		s.t.recordFailure(s.target.ID, e.Task, now)
	}
	if e.Outcome == cell.EndedDone {
		s.t.recordDone(s.target.ID, e.Task, took, tookCold)
	}
}

// unlistedOutcome returns the outcome of an attempt that the worker lists neither
// as running nor as ended, and whether the attempt has certainly ended or can no
// longer start.
func (s *session) unlistedOutcome(k attemptKey, listing *AttemptListing, sent, now time.Duration) (cell.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.attemptInfo(k)
	switch {
	case info.startInFlight || s.mayStartLater(k, s.isLater && info.orderedBefore, now):
		return 0, false
	case info.confirmed && info.confirmedAt < sent:
		s.t.leader.metrics.missingAttempts.Inc(1)
		s.t.leader.Logger.Warn("attempt is missing from the listing", logging.Step("hold"), logging.Peer(s.target.ID), "born", s.born, logging.Job(k.task.Job), "task", position(k.task), "run", k.run, "percent", info.percent)
		return cell.EndedEarly, true
	case info.confirmed:
		return 0, false
	case info.stopped && info.stoppedAt < sent:
		return cell.EndedUnstarted, true
	case info.orderedBefore:
		// The worker now rejects the fence of the leader that sent the order.
		return cell.EndedUnstarted, true
	case info.deadlineMS > 0:
		return cell.EndedUnstarted, listing.ClockMS > info.deadlineMS
	case info.firstUnlisted == 0:
		info.firstUnlisted = now
	}
	return cell.EndedUnstarted, now-info.firstUnlisted > orphanTimeout
}
