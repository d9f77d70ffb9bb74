package dispatch

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

const (
	// waitReportInterval is the shortest time between two reports on what steps and
	// attempts wait for, and maxReportLines the number of lines in one.
	waitReportInterval = 5 * time.Second
	maxReportLines     = 5
)

// stepWait is what a ready step whose job has missed its objective waits for.
type stepWait struct {
	key                     cell.StepKey
	reason                  waitReason
	waited, objective       time.Duration
	gang                    bool
	tasks, tasksWithinLimit int
	// usable counts the workers that may get attempts, registered those that the state
	// has. Of the usable ones, allowed have a ticket, valid have one that has not expired,
	// denied have none, and free have room for a task, withheld ones included. roomFor is
	// the number of tasks that fit on those that are allowed and not withheld. Registered
	// workers of evacuated data centres count as evacuated.
	registered, evacuated, usable, allowed, valid, denied, free, withheld, roomFor int
	requestsInFlight, heldPlacements                                               int
	retryIn                                                                        time.Duration
}

// longWaits describes the ready steps that have waited the longest beyond their
// objective. It returns none if the last report is recent.
func (t *term) longWaits(p *planner, readySteps []*readyStep) []*stepWait {
	if p.now < t.waitReportAt {
		return nil
	}
	var late []*readyStep
	for _, rs := range readySteps {
		if p.now > rs.deadline && rs.waitsFor != placedNow {
			late = append(late, rs)
		}
	}
	if len(late) == 0 {
		return nil
	}
	t.waitReportAt = p.now + waitReportInterval
	slices.SortFunc(late, func(a, b *readyStep) int { return cmp.Compare(a.deadline, b.deadline) })
	var waits []*stepWait
	for _, rs := range late[:min(len(late), maxReportLines)] {
		t.mu.Lock()
		times := t.times[rs.key.OccurrenceKey()]
		t.mu.Unlock()
		waits = append(waits, t.describeWait(p, rs, times))
	}
	return waits
}

// describeWait returns what a step waits for after the plan.
func (t *term) describeWait(p *planner, rs *readyStep, times jobTiming) *stepWait {
	w := &stepWait{
		key: rs.key, reason: rs.waitsFor, waited: p.now - times.firstSeen, objective: times.objective,
		gang: rs.step.Gang, tasks: len(p.startableTasks(rs)), tasksWithinLimit: p.tasksWithinLimit(rs),
	}
	t.leader.Store.View(func(v *cell.View) {
		for _, worker := range v.Workers() {
			if worker.Usable() && worker.Service == rs.queue.Service && worker.HasLabel(rs.step.Label) {
				w.registered++
				if v.IsEvacuated(worker.DataCentre) {
					w.evacuated++
				}
			}
		}
	})
	for _, c := range p.candidates {
		if c.service == rs.queue.Service && c.worker.HasLabel(rs.step.Label) {
			w.addCandidate(p, rs, c)
		}
	}
	if rs.advice != nil {
		w.requestsInFlight, w.heldPlacements = rs.advice.inFlight, len(rs.advice.heldPlacements)
		w.retryIn = max(0, rs.advice.retryAt-p.now)
	}
	return w
}

// addCandidate counts a worker that the step may use.
func (w *stepWait) addCandidate(p *planner, rs *readyStep, c *candidate) {
	w.usable++
	fits := p.tasksThatFit(rs, c)
	if fits > 0 {
		w.free++
	}
	if c.withheld {
		w.withheld++
	}
	issued, allowed := rs.advice.ticketFor(c.id)
	allowed = rs.queue.Advice == nil || allowed && issued.born == c.born
	switch {
	case allowed:
		w.allowed++
		if rs.advice != nil && p.isTicketValid(rs.advice, c.id) {
			w.valid++
		}
		if !c.withheld {
			w.roomFor += fits
		}
	case rs.advice.isDenied(c):
		w.denied++
	}
}

// logWaits logs the result of longWaits.
func (t *term) logWaits(waits []*stepWait) {
	if len(waits) == 0 {
		return
	}
	known, idle, avoided := t.advice.callerCounts(t.leader.Clock.Now())
	for _, w := range waits {
		t.leader.Logger.Warn("step waits beyond its objective", logging.Step("plan"), logging.Job(w.key.Job), "occurrence", w.key.Occurrence, "step_index", w.key.Step,
			"reason", w.reason.String(), "waited_ms", w.waited.Milliseconds(), "objective_ms", w.objective.Milliseconds(), "gang", w.gang, "tasks", w.tasks, "within_limit", w.tasksWithinLimit,
			slog.Group("workers", "registered", w.registered, "evacuated", w.evacuated, "usable", w.usable, "allowed", w.allowed, "valid", w.valid, "denied", w.denied, "free", w.free, "withheld", w.withheld, "room_for", w.roomFor),
			slog.Group("advice", "in_flight", w.requestsInFlight, "held", w.heldPlacements, "retry_in_ms", w.retryIn.Milliseconds(), "callers", known, "idle", idle, "avoided", avoided))
	}
}

// callerCounts returns how many processes may be used for advice, and how many of them
// have no request and get none because one failed.
func (b *adviceBroker) callerCounts(now time.Duration) (known, idle, avoided int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.callers {
		switch {
		case now-c.lastSeen > callerTTL:
			continue
		case now < c.avoidUntil:
			avoided++
		case len(c.queue) == 0:
			idle++
		}
		known++
	}
	return known, idle, avoided
}

// reportUnconfirmedAttempts logs attempts that the state has and that their workers have
// not confirmed since the last report.
func (t *term) reportUnconfirmedAttempts() {
	now := t.leader.Clock.Now()
	if now < t.attemptReportAt {
		return
	}
	t.attemptReportAt = now + waitReportInterval
	unconfirmed := map[stopKey]bool{}
	t.leader.Store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			s := t.session(id, w.Born)
			for key, a := range w.Attempts {
				if s == nil || !s.isConfirmed(attemptKey{key, a.Run}) {
					unconfirmed[stopKey{id, key, a.Run}] = true
				}
			}
		}
	})
	lines, total := 0, 0
	for k := range unconfirmed {
		if !t.unconfirmed[k] {
			continue
		}
		total++
		if s := t.sessionOf(k.worker); s != nil && lines < maxReportLines {
			lines++
			s.logUnconfirmed(attemptKey{k.task, k.run})
		}
	}
	if total > lines {
		t.leader.Logger.Warn("more attempts are not confirmed", logging.Step("plan"), "attempts", total)
	}
	t.unconfirmed = unconfirmed
}

// isConfirmed reports whether the worker has started or listed an attempt.
func (s *session) isConfirmed(k attemptKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.attempts[k]
	return info != nil && (info.confirmed || info.progressAt > 0)
}

// logUnconfirmed logs an attempt that the worker has not confirmed.
func (s *session) logUnconfirmed(k attemptKey) {
	s.mu.Lock()
	info := attemptInfo{}
	if known := s.attempts[k]; known != nil {
		info = *known
	}
	failing := s.failing
	s.mu.Unlock()
	s.t.leader.Logger.Warn("attempt is not confirmed by its worker", logging.Step("plan"), logging.Job(k.task.Job), "task", position(k.task), "run", k.run, logging.Peer(s.target.ID),
		"ordered", info.deadlineMS > 0, "in_flight", info.startInFlight, "inherited", info.orderedBefore, "stopped", info.stopped, "unlisted", info.firstUnlisted > 0, "failing", failing)
}
